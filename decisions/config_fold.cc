#include "decisions/config_fold.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace skylarkhoist {
namespace {

constexpr int64_t kIdLifetimeMs = int64_t{60} * 60 * 1000;

// One record moves the clock of the fold by at most this much. A writer whose
// clock is a day ahead would otherwise expire all ids at once.
constexpr int64_t kMaxClockStepMs = int64_t{10} * 60 * 1000;

// Bounds for memory; the oldest go first. 1,000 changes and 72 restarts a day
// at the target size stay far below both.
constexpr size_t kMaxIds = 20'000;
constexpr size_t kMaxTombstones = 4'096;

constexpr std::array<std::pair<std::string_view, record_kind>, 5> kKinds = {{
    {"change", record_kind::kChange},
    {"snapshot", record_kind::kSnapshot},
    {"join", record_kind::kJoin},
    {"leave", record_kind::kLeave},
    {"evict", record_kind::kEvict},
}};

bool IsPlainName(std::string_view name) {
  return !name.empty() && name.size() <= 64 &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

// 64-bit numbers are text, since jq and other readers of the log keep only 53
// bits of a JSON number.
std::string ToHex(uint64_t value) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(value));
  return text.data();
}

std::optional<uint64_t> FromHex(const json& value) {
  if (!value.is_string())
    return std::nullopt;
  const auto& text = value.get_ref<const std::string&>();
  if (text.size() != 16)
    return std::nullopt;
  uint64_t result = 0;
  for (const char c : text) {
    if (c >= '0' && c <= '9')
      result = result * 16 + static_cast<uint64_t>(c - '0');
    else if (c >= 'a' && c <= 'f')
      result = result * 16 + static_cast<uint64_t>(c - 'a' + 10);
    else
      return std::nullopt;
  }
  return result;
}

// Readers of single fields. They report failure through `ok`, so that a record
// or state is read in one pass.
const json* Field(const json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

std::string TextField(const json& object, const char* name, bool& ok) {
  const json* value = Field(object, name);
  if (value == nullptr || !value->is_string()) {
    ok = false;
    return {};
  }
  return value->get<std::string>();
}

uint64_t NumberField(const json& object, const char* name, bool& ok) {
  const json* value = Field(object, name);
  // Numbers parsed from text are unsigned; those that this process put into a
  // state may be signed.
  if (value == nullptr || !value->is_number_integer() ||
      (!value->is_number_unsigned() && value->get<int64_t>() < 0)) {
    ok = false;
    return 0;
  }
  return value->get<uint64_t>();
}

int64_t TimeField(const json& object, const char* name, bool& ok) {
  const uint64_t value = NumberField(object, name, ok);
  // Year 2255 and later would overflow sums with the clock.
  if (value > uint64_t{9'000'000'000'000}) {
    ok = false;
    return 0;
  }
  return static_cast<int64_t>(value);
}

json MemberToJson(const roster_member& member) {
  return {{"node", member.node},
          {"zone", member.zone},
          {"peer_address", member.peer_address},
          {"incarnation", ToHex(member.incarnation)}};
}

roster_member MemberFromJson(const json& value, bool& ok) {
  roster_member member;
  if (!value.is_object()) {
    ok = false;
    return member;
  }
  member.node = TextField(value, "node", ok);
  member.zone = TextField(value, "zone", ok);
  member.peer_address = TextField(value, "peer_address", ok);
  const json* incarnation = Field(value, "incarnation");
  const auto number =
      incarnation != nullptr ? FromHex(*incarnation) : std::nullopt;
  ok = ok && number.has_value() && !member.node.empty() &&
       !member.peer_address.empty();
  member.incarnation = number.value_or(0);
  return member;
}

tl::expected<config_record, record_error> ReadFields(const json& value,
                                                     record_kind kind) {
  config_record record;
  record.kind = kind;
  bool ok = true;
  record.id = TextField(value, "id", ok);
  record.unix_ms = TimeField(value, "unix_ms", ok);
  record.author = TextField(value, "author", ok);
  ok = ok && !record.id.empty() && record.id.size() <= 64;
  const json* body = nullptr;
  switch (kind) {
    case record_kind::kChange:
      record.path = TextField(value, "path", ok);
      record.base_version = NumberField(value, "base_version", ok);
      body = Field(value, "value");
      // A change has either a value or the mark of a deletion.
      ok = ok && IsConfigPath(record.path) &&
           (body != nullptr) != value.contains("deleted") &&
           (body == nullptr || body->is_object());
      if (body != nullptr)
        record.value = *body;
      break;
    case record_kind::kSnapshot:
      body = Field(value, "state");
      ok = ok && body != nullptr && body->is_object();
      if (ok)
        record.state = *body;
      break;
    case record_kind::kJoin:
      body = Field(value, "member");
      ok = ok && body != nullptr;
      if (ok)
        record.member = MemberFromJson(*body, ok);
      break;
    case record_kind::kLeave:
    case record_kind::kEvict: {
      body = Field(value, "incarnation");
      const auto number = body != nullptr ? FromHex(*body) : std::nullopt;
      ok = ok && number.has_value();
      record.member.incarnation = number.value_or(0);
      break;
    }
  }
  if (!ok)
    return tl::unexpected(record_error::kMalformed);
  return record;
}

json PastToJson(const std::vector<past_value>& past) {
  json list = json::array();
  for (const past_value& item : past) {
    json one = {{"version", item.version}};
    if (item.value)
      one["value"] = *item.value;
    list.push_back(std::move(one));
  }
  return list;
}

std::optional<json> OptionalValue(const json& object) {
  const json* value = Field(object, "value");
  return value == nullptr ? std::nullopt : std::optional<json>(*value);
}

config_entry EntryFromJson(const json& value, bool& ok) {
  config_entry entry;
  if (!value.is_object()) {
    ok = false;
    return entry;
  }
  entry.version = NumberField(value, "version", ok);
  entry.author = TextField(value, "author", ok);
  entry.unix_ms = TimeField(value, "unix_ms", ok);
  entry.value = OptionalValue(value);
  const json* past = Field(value, "past");
  if (past == nullptr || !past->is_array() || past->size() > kPastValues) {
    ok = false;
    return entry;
  }
  for (const json& item : *past) {
    if (!item.is_object()) {
      ok = false;
      return entry;
    }
    entry.past.push_back(
        {NumberField(item, "version", ok), OptionalValue(item)});
  }
  return entry;
}

}  // namespace

bool IsConfigPath(std::string_view path) {
  if (path.empty() || path[0] != '/')
    return false;
  const size_t middle = path.find('/', 1);
  return middle != std::string_view::npos &&
         IsPlainName(path.substr(1, middle - 1)) &&
         IsPlainName(path.substr(middle + 1));
}

std::string RecordToText(const config_record& record) {
  json value = {{"format", kConfigRecordFormat},
                {"id", record.id},
                {"unix_ms", record.unix_ms},
                {"author", record.author}};
  for (const auto& [name, kind] : kKinds) {
    if (kind == record.kind)
      value["kind"] = name;
  }
  switch (record.kind) {
    case record_kind::kChange:
      value["path"] = record.path;
      value["base_version"] = record.base_version;
      if (record.value)
        value["value"] = *record.value;
      else
        value["deleted"] = true;
      break;
    case record_kind::kSnapshot:
      value["state"] = record.state;
      break;
    case record_kind::kJoin:
      value["member"] = MemberToJson(record.member);
      break;
    case record_kind::kLeave:
    case record_kind::kEvict:
      value["incarnation"] = ToHex(record.member.incarnation);
      break;
  }
  // Invalid UTF-8 is replaced, since dump would throw otherwise.
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

tl::expected<config_record, record_error> ParseRecord(std::string_view data) {
  const auto parsed = ParseJson(data);
  if (!parsed || !parsed->is_object())
    return tl::unexpected(record_error::kMalformed);
  bool ok = true;
  const uint64_t format = NumberField(*parsed, "format", ok);
  if (!ok)
    return tl::unexpected(record_error::kMalformed);
  if (format > kConfigRecordFormat)
    return tl::unexpected(record_error::kNewerFormat);
  const std::string kind = TextField(*parsed, "kind", ok);
  if (!ok)
    return tl::unexpected(record_error::kMalformed);
  for (const auto& [name, value] : kKinds) {
    if (name == kind)
      return ReadFields(*parsed, value);
  }
  return tl::unexpected(record_error::kUnknownKind);
}

std::string_view NameOf(apply_outcome outcome) {
  switch (outcome) {
    case apply_outcome::kApplied:
      return "applied";
    case apply_outcome::kNoEffect:
      return "no_effect";
    case apply_outcome::kVoid:
      return "void";
    case apply_outcome::kDuplicate:
      return "duplicate";
    case apply_outcome::kOld:
      return "old";
    case apply_outcome::kGap:
      return "gap";
    case apply_outcome::kMalformed:
      return "malformed";
    case apply_outcome::kNewerFormat:
      return "newer_format";
    case apply_outcome::kUnknownKind:
      return "unknown_kind";
  }
  return "unknown";
}

apply_result config_fold::Apply(uint64_t offset, std::string_view data) {
  apply_result result;
  if (offset <= offset_)
    return result;
  if (offset != offset_ + 1) {
    result.outcome = apply_outcome::kGap;
    return result;
  }
  offset_ = offset;
  const auto record = ParseRecord(data);
  if (!record) {
    switch (record.error()) {
      case record_error::kMalformed:
        result.outcome = apply_outcome::kMalformed;
        break;
      case record_error::kNewerFormat:
        result.outcome = apply_outcome::kNewerFormat;
        ++skipped_newer_;
        break;
      case record_error::kUnknownKind:
        result.outcome = apply_outcome::kUnknownKind;
        ++skipped_newer_;
        break;
    }
    return result;
  }
  result.record_id = record->id;
  if (verdicts_.count(record->id) != 0) {
    result.outcome = apply_outcome::kDuplicate;
    return result;
  }
  clock_ms_ = clock_ms_ == 0 ? record->unix_ms
                             : std::clamp(record->unix_ms, clock_ms_,
                                          clock_ms_ + kMaxClockStepMs);
  const uint64_t roster_before = roster_.version;
  switch (record->kind) {
    case record_kind::kChange:
      result.outcome = ApplyChange(*record);
      break;
    case record_kind::kSnapshot:
      // A reader that gets here has all records up to this one, so the
      // snapshot cannot add to its state.
      last_snapshot_ = offset;
      result.outcome = apply_outcome::kNoEffect;
      break;
    default:
      result.outcome = ApplyMember(*record);
      break;
  }
  Remember(record->id, result.outcome == apply_outcome::kVoid);
  result.roster_changed = roster_.version != roster_before;
  return result;
}

apply_outcome config_fold::ApplyChange(const config_record& record) {
  const auto found = entries_.find(record.path);
  const uint64_t in_force = found == entries_.end() ? 0 : found->second.version;
  if (record.base_version != in_force)
    return apply_outcome::kVoid;
  config_entry& entry = entries_[record.path];
  if (entry.version != 0) {
    tombstones_ -= entry.value ? 0 : 1;
    entry.past.insert(entry.past.begin(),
                      {entry.version, std::move(entry.value)});
    if (entry.past.size() > kPastValues)
      entry.past.pop_back();
  }
  entry.version = offset_;
  entry.value = record.value;
  entry.author = record.author;
  entry.unix_ms = record.unix_ms;
  if (!entry.value) {
    ++tombstones_;
    LimitTombstones();
  }
  return apply_outcome::kApplied;
}

apply_outcome config_fold::ApplyMember(const config_record& record) {
  auto& members = roster_.members;
  const bool known = roster_.Find(record.member.incarnation) != nullptr;
  const bool joins = record.kind == record_kind::kJoin;
  if (known == joins)
    return apply_outcome::kNoEffect;
  // A new process at an address means that the former one there is gone.
  members.erase(std::remove_if(members.begin(), members.end(),
                               [&](const roster_member& member) {
                                 return joins ? member.peer_address ==
                                                    record.member.peer_address
                                              : member.incarnation ==
                                                    record.member.incarnation;
                               }),
                members.end());
  if (joins)
    members.push_back(record.member);
  roster_.version = offset_;
  return apply_outcome::kApplied;
}

void config_fold::Remember(const std::string& id, bool is_void) {
  verdicts_[id] = {offset_, clock_ms_, is_void};
  id_order_.push_back(id);
  while (id_order_.size() > kMaxIds ||
         verdicts_[id_order_.front()].clock_ms < clock_ms_ - kIdLifetimeMs) {
    verdicts_.erase(id_order_.front());
    id_order_.pop_front();
  }
}

void config_fold::LimitTombstones() {
  if (tombstones_ <= kMaxTombstones)
    return;
  auto oldest = entries_.end();
  for (auto at = entries_.begin(); at != entries_.end(); ++at) {
    if (!at->second.value && (oldest == entries_.end() ||
                              at->second.version < oldest->second.version))
      oldest = at;
  }
  entries_.erase(oldest);
  --tombstones_;
}

json config_fold::ToJson() const {
  json entries = json::object();
  for (const auto& [path, entry] : entries_) {
    json one = {{"version", entry.version},
                {"author", entry.author},
                {"unix_ms", entry.unix_ms},
                {"past", PastToJson(entry.past)}};
    if (entry.value)
      one["value"] = *entry.value;
    entries[path] = std::move(one);
  }
  json members = json::array();
  for (const roster_member& member : roster_.members)
    members.push_back(MemberToJson(member));
  json ids = json::array();
  for (const std::string& id : id_order_) {
    const record_verdict& verdict = verdicts_.at(id);
    ids.push_back({{"id", id},
                   {"offset", verdict.offset},
                   {"clock_ms", verdict.clock_ms},
                   {"void", verdict.is_void}});
  }
  return {{"format", kConfigRecordFormat},
          {"offset", offset_},
          {"clock_ms", clock_ms_},
          {"last_snapshot", last_snapshot_},
          {"skipped_newer", skipped_newer_},
          {"entries", std::move(entries)},
          {"roster",
           {{"version", roster_.version}, {"members", std::move(members)}}},
          {"ids", std::move(ids)}};
}

tl::expected<config_fold, findings> config_fold::FromJson(const json& value) {
  findings problems;
  const auto fail = [&problems](const char* place, const char* message) {
    problems.Add(place, message);
    return tl::unexpected(problems);
  };
  if (!value.is_object())
    return fail("/", "must be an object");
  bool ok = true;
  config_fold fold;
  const uint64_t format = NumberField(value, "format", ok);
  fold.offset_ = NumberField(value, "offset", ok);
  fold.clock_ms_ = TimeField(value, "clock_ms", ok);
  fold.last_snapshot_ = NumberField(value, "last_snapshot", ok);
  fold.skipped_newer_ = NumberField(value, "skipped_newer", ok);
  if (!ok)
    return fail("/", "lacks a number");
  if (format > kConfigRecordFormat)
    return fail("/format", "is newer than this version reads");
  // A node of an older version skipped records that this one would apply.
  if (format < kConfigRecordFormat && fold.skipped_newer_ > 0)
    return fail("/skipped_newer", "the state lacks records of this format");
  const json* entries = Field(value, "entries");
  if (entries == nullptr || !entries->is_object())
    return fail("/entries", "must be an object");
  for (const auto& [path, item] : entries->items()) {
    config_entry entry = EntryFromJson(item, ok);
    if (!ok || !IsConfigPath(path) || entry.version == 0 ||
        entry.version > fold.offset_)
      return fail("/entries", "has a damaged entry");
    fold.tombstones_ += entry.value ? 0 : 1;
    fold.entries_.emplace(path, std::move(entry));
  }
  const json* roster = Field(value, "roster");
  if (roster == nullptr || !roster->is_object())
    return fail("/roster", "must be an object");
  fold.roster_.version = NumberField(*roster, "version", ok);
  const json* members = Field(*roster, "members");
  if (!ok || members == nullptr || !members->is_array())
    return fail("/roster", "is damaged");
  for (const json& member : *members)
    fold.roster_.members.push_back(MemberFromJson(member, ok));
  const json* ids = Field(value, "ids");
  if (!ok || ids == nullptr || !ids->is_array())
    return fail("/ids", "must be a list");
  for (const json& item : *ids) {
    const json* is_void = item.is_object() ? Field(item, "void") : nullptr;
    if (is_void == nullptr || !is_void->is_boolean())
      return fail("/ids", "has a damaged item");
    const std::string id = TextField(item, "id", ok);
    const record_verdict verdict{NumberField(item, "offset", ok),
                                 TimeField(item, "clock_ms", ok),
                                 is_void->get<bool>()};
    if (!ok || !fold.verdicts_.emplace(id, verdict).second)
      return fail("/ids", "has a damaged item");
    fold.id_order_.push_back(id);
  }
  return fold;
}

bool config_fold::Advance(config_fold other) {
  if (other.offset_ <= offset_)
    return false;
  *this = std::move(other);
  return true;
}

const record_verdict* config_fold::FindRecord(const std::string& id) const {
  const auto found = verdicts_.find(id);
  return found == verdicts_.end() ? nullptr : &found->second;
}

}  // namespace skylarkhoist
