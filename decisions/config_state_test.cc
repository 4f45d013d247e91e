#include "decisions/config_state.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(config_state) {
  config_state state;
  int next_id = 0;

  config_record Change(const std::string& path, uint64_t base_version,
                       json value) {
    config_record record;
    record.id = "r" + std::to_string(++next_id);
    record.unix_ms = 1'000'000;
    record.author = "ann";
    record.path = path;
    record.base_version = base_version;
    if (!value.is_null())
      record.value = std::move(value);
    return record;
  }
  config_record RosterRecord(record_kind kind, uint64_t incarnation,
                             const std::string& address) {
    config_record record;
    record.kind = kind;
    record.id = "r" + std::to_string(++next_id);
    record.unix_ms = 1'000'000;
    record.member = {"node-" + address, "z", address, incarnation};
    return record;
  }
  apply_outcome Apply(const config_record& record) {
    return state.Apply(state.offset() + 1, RecordToText(record)).outcome;
  }
};

// Guards against a change that overwrites another one that its author has not
// seen.
TEST(config_state, StaleBaseVersionIsVoid) {
  CHECK(apply_outcome::kApplied == Apply(Change("/rates/a", 0, {{"v", 1}})));
  CHECK(apply_outcome::kVoid == Apply(Change("/rates/a", 0, {{"v", 2}})));
  CHECK(apply_outcome::kApplied == Apply(Change("/rates/a", 1, {{"v", 3}})));
  CHECK_EQUAL(3, state.entries().at("/rates/a").version);
  CHECK_TRUE(json({{"v", 3}}) == *state.entries().at("/rates/a").value);
  CHECK_TRUE(state.FindRecord("r2")->is_void);
}

// Guards against an old change that restores a deleted path.
TEST(config_state, DeletedPathKeepsItsVersion) {
  Apply(Change("/rates/a", 0, {{"v", 1}}));
  CHECK(apply_outcome::kApplied == Apply(Change("/rates/a", 1, nullptr)));
  CHECK(apply_outcome::kVoid == Apply(Change("/rates/a", 0, {{"v", 2}})));
  CHECK(apply_outcome::kApplied == Apply(Change("/rates/a", 2, {{"v", 2}})));
}

// Guards against a record that was appended twice and takes effect twice.
TEST(config_state, RepeatedRecordIdIsDropped) {
  const config_record record = Change("/rates/a", 0, {{"v", 1}});
  CHECK(apply_outcome::kApplied == Apply(record));
  CHECK(apply_outcome::kDuplicate == Apply(record));
  const config_record join = RosterRecord(record_kind::kJoin, 7, "x:1");
  Apply(join);
  Apply(RosterRecord(record_kind::kEvict, 7, ""));
  CHECK(apply_outcome::kDuplicate == Apply(join));
  CHECK_EQUAL(0, state.roster().members.size());
}

// Guards against unreadable records that stop a node, or that do not advance
// its offset.
TEST(config_state, UnreadableRecordsAreSkipped) {
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
    const uint64_t offset = state.offset() + 1;
    CHECK_TEXT(item.outcome == state.Apply(offset, item.data).outcome,
               item.data);
    CHECK_EQUAL(offset, state.offset());
  }
  CHECK_EQUAL(2, state.skipped_newer());
}

// Guards against a state that goes back to an older offset or leaves out
// records.
TEST(config_state, OffsetOnlyAdvancesByOne) {
  const std::string data = RecordToText(Change("/rates/a", 0, {{"v", 1}}));
  CHECK(apply_outcome::kGap == state.Apply(2, data).outcome);
  CHECK(apply_outcome::kApplied == state.Apply(1, data).outcome);
  CHECK(apply_outcome::kOld == state.Apply(1, data).outcome);
  config_state older;
  CHECK_FALSE(state.ReplaceIfNewer(older));
  CHECK_EQUAL(1, state.offset());
}

TEST(config_state, RosterFollowsMembers) {
  Apply(RosterRecord(record_kind::kJoin, 1, "x:1"));
  Apply(RosterRecord(record_kind::kJoin, 2, "x:2"));
  CHECK(apply_outcome::kNoEffect ==
        Apply(RosterRecord(record_kind::kJoin, 2, "x:2")));
  CHECK_EQUAL(2, state.roster().version);
  // A new incarnation at an address replaces the former one.
  Apply(RosterRecord(record_kind::kJoin, 3, "x:2"));
  CHECK_EQUAL(2, state.roster().members.size());
  CHECK_TRUE(state.roster().Find(2) == nullptr);
  CHECK(apply_outcome::kNoEffect ==
        Apply(RosterRecord(record_kind::kLeave, 9, "")));
  Apply(RosterRecord(record_kind::kLeave, 3, ""));
  Apply(RosterRecord(record_kind::kEvict, 1, ""));
  CHECK_EQUAL(7, state.roster().version);
  CHECK_TRUE(state.roster().members.empty());
}

// Guards against a node that starts from a snapshot and later has another state
// than the nodes that applied all records.
TEST(config_state, SnapshotEqualsTheRecordsBeforeIt) {
  for (int i = 0; i < 8; ++i) {
    Apply(Change("/rates/a", state.offset(), {{"v", i}}));
  }
  Apply(Change("/rates/b", 0, {{"v", 1}}));
  Apply(Change("/rates/b", 9, nullptr));
  Apply(Change("/rates/b", 9, {{"v", 2}}));
  Apply(RosterRecord(record_kind::kJoin, 0xffffffffffffffff, "x:1"));
  config_record snapshot;
  snapshot.kind = record_kind::kSnapshot;
  snapshot.id = "s";
  snapshot.state = state.ToJson();
  const auto record = ParseRecord(RecordToText(snapshot));
  CHECK_TRUE(record.has_value());
  auto loaded = config_state::FromJson(record->state);
  CHECK_TRUE(loaded.has_value());
  CHECK(apply_outcome::kNoEffect == Apply(snapshot));
  loaded->Apply(13, RecordToText(snapshot));
  const config_record last = Change("/rates/b", 10, {{"v", 9}});
  Apply(last);
  loaded->Apply(14, RecordToText(last));
  CHECK_TRUE(state.ToJson() == loaded->ToJson());
  CHECK_EQUAL(13, state.last_snapshot_offset());
  CHECK_EQUAL(kMaxPastValues, state.entries().at("/rates/a").past.size());
}

// Guards against a node that fails on an invalid snapshot instead of reporting
// findings.
TEST(config_state, InvalidStatesAreRejected) {
  Apply(Change("/rates/a", 0, {{"v", 1}}));
  const json valid = state.ToJson();
  CHECK_TRUE(config_state::FromJson(valid).has_value());
  for (const auto& [name, value] : valid.items()) {
    json invalid = valid;
    invalid.erase(name);
    CHECK_FALSE_TEXT(config_state::FromJson(invalid).has_value(), name.c_str());
    invalid[name] = "x";
    CHECK_FALSE_TEXT(config_state::FromJson(invalid).has_value(), name.c_str());
  }
  for (const char* place :
       {"/entries/~1rates~1a/version", "/entries/~1rates~1a/past",
        "/roster/members", "/roster/version", "/ids/0/id", "/ids/0/void"}) {
    json invalid = valid;
    invalid[json::json_pointer(place)] = -1;
    CHECK_FALSE_TEXT(config_state::FromJson(invalid).has_value(), place);
  }
}

// Guards against a writer with a fast clock that expires record ids early, and
// against ids that never expire.
TEST(config_state, RecordIdsExpireAfterAnHourOfTheRecordClock) {
  config_record early = Change("/rates/a", 0, {{"v", 1}});
  Apply(early);
  config_record fast = Change("/rates/b", 0, {{"v", 1}});
  fast.unix_ms += int64_t{24} * 3600 * 1000;
  Apply(fast);
  CHECK(apply_outcome::kDuplicate == Apply(early));
  for (int i = 0; i < 7; ++i) {
    fast =
        Change("/rates/b", state.entries().at("/rates/b").version, {{"v", i}});
    fast.unix_ms += int64_t{24} * 3600 * 1000;
    Apply(fast);
  }
  CHECK_TRUE(state.FindRecord(early.id) == nullptr);
  // The base version still prevents the record from taking effect again.
  CHECK(apply_outcome::kVoid == Apply(early));
}

}  // namespace
}  // namespace skylarkhoist
