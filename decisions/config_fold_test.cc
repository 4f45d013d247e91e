#include "decisions/config_fold.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(config_fold) {
  config_fold fold;
  int next_id = 0;

  config_record Change(const std::string& path, uint64_t base, json value) {
    config_record record;
    record.id = "r" + std::to_string(++next_id);
    record.unix_ms = 1'000'000;
    record.author = "ann";
    record.path = path;
    record.base_version = base;
    if (!value.is_null())
      record.value = std::move(value);
    return record;
  }
  config_record Member(record_kind kind, uint64_t incarnation,
                       const std::string& address) {
    config_record record;
    record.kind = kind;
    record.id = "r" + std::to_string(++next_id);
    record.unix_ms = 1'000'000;
    record.member = {"node-" + address, "z", address, incarnation};
    return record;
  }
  apply_outcome Apply(const config_record& record) {
    return fold.Apply(fold.offset() + 1, RecordToText(record)).outcome;
  }
};

// Guards against a change that overwrites one which its author has not seen.
TEST(config_fold, StaleBaseVersionIsVoid) {
  CHECK(apply_outcome::kApplied == Apply(Change("/rates/a", 0, {{"v", 1}})));
  CHECK(apply_outcome::kVoid == Apply(Change("/rates/a", 0, {{"v", 2}})));
  CHECK(apply_outcome::kApplied == Apply(Change("/rates/a", 1, {{"v", 3}})));
  CHECK_EQUAL(3, fold.entries().at("/rates/a").version);
  CHECK_TRUE(json({{"v", 3}}) == *fold.entries().at("/rates/a").value);
  CHECK_TRUE(fold.FindRecord("r2")->is_void);
}

// Guards against a deleted path that an old change brings back.
TEST(config_fold, DeletionKeepsItsVersion) {
  Apply(Change("/rates/a", 0, {{"v", 1}}));
  CHECK(apply_outcome::kApplied == Apply(Change("/rates/a", 1, nullptr)));
  CHECK(apply_outcome::kVoid == Apply(Change("/rates/a", 0, {{"v", 2}})));
  CHECK(apply_outcome::kApplied == Apply(Change("/rates/a", 2, {{"v", 2}})));
}

// Guards against a resent record that takes effect twice.
TEST(config_fold, SameRecordIdIsDropped) {
  const config_record record = Change("/rates/a", 0, {{"v", 1}});
  CHECK(apply_outcome::kApplied == Apply(record));
  CHECK(apply_outcome::kDuplicate == Apply(record));
  const config_record join = Member(record_kind::kJoin, 7, "x:1");
  Apply(join);
  Apply(Member(record_kind::kEvict, 7, ""));
  CHECK(apply_outcome::kDuplicate == Apply(join));
  CHECK_EQUAL(0, fold.roster().members.size());
}

// Guards against records that stop a node or make it lose its place.
TEST(config_fold, UnreadableRecordsAreSkipped) {
  const struct {
    const char* data;
    apply_outcome outcome;
  } cases[] = {
      {"", apply_outcome::kMalformed},
      {"[]", apply_outcome::kMalformed},
      {"\xff", apply_outcome::kMalformed},
      {R"({"format":1})", apply_outcome::kMalformed},
      {R"({"format":1,"kind":"change"})", apply_outcome::kMalformed},
      {R"({"format":2,"kind":"change"})", apply_outcome::kNewerFormat},
      {R"({"format":1,"kind":"merge"})", apply_outcome::kUnknownKind},
      {R"({"format":1,"kind":"evict","id":"a","unix_ms":1,"author":"",)"
       R"("incarnation":12})",
       apply_outcome::kMalformed},
      {R"({"format":1,"kind":"change","id":"a","unix_ms":1,"author":"",)"
       R"("path":"/rates/a/b","base_version":0,"value":{}})",
       apply_outcome::kMalformed},
      {R"({"format":1,"kind":"change","id":"a","unix_ms":1,"author":"",)"
       R"("path":"/rates/a","base_version":0,"value":{},"deleted":true})",
       apply_outcome::kMalformed},
  };
  for (const auto& item : cases) {
    const uint64_t offset = fold.offset() + 1;
    CHECK_TEXT(item.outcome == fold.Apply(offset, item.data).outcome,
               item.data);
    CHECK_EQUAL(offset, fold.offset());
  }
  CHECK_EQUAL(2, fold.skipped_newer());
}

// Guards against a state that goes back or leaves records out.
TEST(config_fold, OffsetOnlyMovesForwardByOne) {
  const std::string data = RecordToText(Change("/rates/a", 0, {{"v", 1}}));
  CHECK(apply_outcome::kGap == fold.Apply(2, data).outcome);
  CHECK(apply_outcome::kApplied == fold.Apply(1, data).outcome);
  CHECK(apply_outcome::kOld == fold.Apply(1, data).outcome);
  config_fold older;
  CHECK_FALSE(fold.Advance(older));
  CHECK_EQUAL(1, fold.offset());
}

TEST(config_fold, RosterFollowsMembers) {
  Apply(Member(record_kind::kJoin, 1, "x:1"));
  Apply(Member(record_kind::kJoin, 2, "x:2"));
  CHECK(apply_outcome::kNoEffect ==
        Apply(Member(record_kind::kJoin, 2, "x:2")));
  CHECK_EQUAL(2, fold.roster().version);
  // A new run of the process at an address replaces the former one.
  Apply(Member(record_kind::kJoin, 3, "x:2"));
  CHECK_EQUAL(2, fold.roster().members.size());
  CHECK_TRUE(fold.roster().Find(2) == nullptr);
  CHECK(apply_outcome::kNoEffect == Apply(Member(record_kind::kLeave, 9, "")));
  Apply(Member(record_kind::kLeave, 3, ""));
  Apply(Member(record_kind::kEvict, 1, ""));
  CHECK_EQUAL(7, fold.roster().version);
  CHECK_TRUE(fold.roster().members.empty());
}

// Guards against a node that starts from a snapshot and differs from the others
// later on.
TEST(config_fold, SnapshotStandsForTheRecordsBeforeIt) {
  for (int i = 0; i < 8; ++i) {
    Apply(Change("/rates/a", fold.offset(), {{"v", i}}));
  }
  Apply(Change("/rates/b", 0, {{"v", 1}}));
  Apply(Change("/rates/b", 9, nullptr));
  Apply(Change("/rates/b", 9, {{"v", 2}}));
  Apply(Member(record_kind::kJoin, 0xffffffffffffffff, "x:1"));
  config_record snapshot;
  snapshot.kind = record_kind::kSnapshot;
  snapshot.id = "s";
  snapshot.state = fold.ToJson();
  const auto record = ParseRecord(RecordToText(snapshot));
  CHECK_TRUE(record.has_value());
  auto loaded = config_fold::FromJson(record->state);
  CHECK_TRUE(loaded.has_value());
  CHECK(apply_outcome::kNoEffect == Apply(snapshot));
  loaded->Apply(13, RecordToText(snapshot));
  const config_record last = Change("/rates/b", 10, {{"v", 9}});
  Apply(last);
  loaded->Apply(14, RecordToText(last));
  CHECK_TRUE(fold.ToJson() == loaded->ToJson());
  CHECK_EQUAL(13, fold.last_snapshot());
  CHECK_EQUAL(kPastValues, fold.entries().at("/rates/a").past.size());
}

// Guards against a node that stops at a damaged snapshot.
TEST(config_fold, DamagedStatesAreFindings) {
  Apply(Change("/rates/a", 0, {{"v", 1}}));
  const json good = fold.ToJson();
  CHECK_TRUE(config_fold::FromJson(good).has_value());
  for (const auto& [name, value] : good.items()) {
    json bad = good;
    bad.erase(name);
    CHECK_FALSE_TEXT(config_fold::FromJson(bad).has_value(), name.c_str());
    bad[name] = "x";
    CHECK_FALSE_TEXT(config_fold::FromJson(bad).has_value(), name.c_str());
  }
  for (const char* place :
       {"/entries/~1rates~1a/version", "/entries/~1rates~1a/past",
        "/roster/members", "/roster/version", "/ids/0/id", "/ids/0/void"}) {
    json bad = good;
    bad[json::json_pointer(place)] = -1;
    CHECK_FALSE_TEXT(config_fold::FromJson(bad).has_value(), place);
  }
}

// Guards against a writer with a fast clock that makes the fold forget ids, and
// against ids that are kept for ever.
TEST(config_fold, IdsAreKeptForAnHourOfTheRecords) {
  config_record early = Change("/rates/a", 0, {{"v", 1}});
  Apply(early);
  config_record fast = Change("/rates/b", 0, {{"v", 1}});
  fast.unix_ms += int64_t{24} * 3600 * 1000;
  Apply(fast);
  CHECK(apply_outcome::kDuplicate == Apply(early));
  for (int i = 0; i < 7; ++i) {
    fast =
        Change("/rates/b", fold.entries().at("/rates/b").version, {{"v", i}});
    fast.unix_ms += int64_t{24} * 3600 * 1000;
    Apply(fast);
  }
  CHECK_TRUE(fold.FindRecord(early.id) == nullptr);
  // Its base version still keeps it from taking effect again.
  CHECK(apply_outcome::kVoid == Apply(early));
}

}  // namespace
}  // namespace skylarkhoist
