#include "decisions/config_state.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace skylarkhoist {
namespace {

constexpr int64_t kRecordIdLifetimeMs = int64_t{60} * 60 * 1000;

// Largest step of the record clock. Without this bound, a writer whose clock is
// a day ahead would expire all record ids at once.
constexpr int64_t kMaxClockStepMs = int64_t{10} * 60 * 1000;

// Memory bounds; the oldest items are dropped first. A fleet of the planned
// size has 1,000 changes and 72 restarts a day, which is far below both bounds.
constexpr size_t kMaxRecordIds = 20'000;
constexpr size_t kMaxTombstones = 4'096;

constexpr std::array<std::pair<std::string_view, record_kind>, 5>
    kRecordKindNames = {{
        {"change", record_kind::kChange},
        {"snapshot", record_kind::kSnapshot},
        {"join", record_kind::kJoin},
        {"leave", record_kind::kLeave},
        {"evict", record_kind::kEvict},
    }};

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= 64 &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

// 64-bit numbers are written as hex text, since jq and other readers of the log
// keep only 53 bits of a JSON number.
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

// Returns null when the field is missing.
const json* FindField(const json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() ? nullptr : &*found;
}

// The Read functions set `ok` to false on failure and never to true, so that a
// caller reads all fields and then checks it once.
std::string ReadString(const json& object, const char* name, bool& ok) {
  const json* value = FindField(object, name);
  if (value == nullptr || !value->is_string()) {
    ok = false;
    return {};
  }
  return value->get<std::string>();
}

uint64_t ReadNumber(const json& object, const char* name, bool& ok) {
  const json* value = FindField(object, name);
  // Numbers parsed from text are unsigned; those that ToJson of this process
  // wrote may be signed.
  if (value == nullptr || !value->is_number_integer() ||
      (!value->is_number_unsigned() && value->get<int64_t>() < 0)) {
    ok = false;
    return 0;
  }
  return value->get<uint64_t>();
}

int64_t ReadUnixMs(const json& object, const char* name, bool& ok) {
  const uint64_t value = ReadNumber(object, name, ok);
  // Rejects times after the year 2255, which would overflow sums with the
  // clock.
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
  member.node = ReadString(value, "node", ok);
  member.zone = ReadString(value, "zone", ok);
  member.peer_address = ReadString(value, "peer_address", ok);
  const json* incarnation = FindField(value, "incarnation");
  const auto number =
      incarnation != nullptr ? FromHex(*incarnation) : std::nullopt;
  ok = ok && number.has_value() && !member.node.empty() &&
       !member.peer_address.empty();
  member.incarnation = number.value_or(0);
  return member;
}

tl::expected<config_record, record_error> ReadRecord(const json& value,
                                                     record_kind kind) {
  config_record record;
  record.kind = kind;
  bool ok = true;
  record.id = ReadString(value, "id", ok);
  record.unix_ms = ReadUnixMs(value, "unix_ms", ok);
  record.author = ReadString(value, "author", ok);
  ok = ok && !record.id.empty() && record.id.size() <= 64;
  const json* body = nullptr;
  switch (kind) {
    case record_kind::kChange:
      record.path = ReadString(value, "path", ok);
      record.base_version = ReadNumber(value, "base_version", ok);
      body = FindField(value, "value");
      // A change has either "value" or "deleted".
      ok = ok && IsConfigPath(record.path) &&
           (body != nullptr) != value.contains("deleted") &&
           (body == nullptr || body->is_object());
      if (body != nullptr)
        record.value = *body;
      break;
    case record_kind::kSnapshot:
      body = FindField(value, "state");
      ok = ok && body != nullptr && body->is_object();
      if (ok)
        record.state = *body;
      break;
    case record_kind::kJoin:
      body = FindField(value, "member");
      ok = ok && body != nullptr;
      if (ok)
        record.member = MemberFromJson(*body, ok);
      break;
    case record_kind::kLeave:
    case record_kind::kEvict: {
      body = FindField(value, "incarnation");
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
    json item_json = {{"version", item.version}};
    if (item.value)
      item_json["value"] = *item.value;
    list.push_back(std::move(item_json));
  }
  return list;
}

std::optional<json> OptionalValue(const json& object) {
  const json* value = FindField(object, "value");
  return value == nullptr ? std::nullopt : std::optional<json>(*value);
}

config_entry EntryFromJson(const json& value, bool& ok) {
  config_entry entry;
  if (!value.is_object()) {
    ok = false;
    return entry;
  }
  entry.version = ReadNumber(value, "version", ok);
  entry.author = ReadString(value, "author", ok);
  entry.unix_ms = ReadUnixMs(value, "unix_ms", ok);
  entry.value = OptionalValue(value);
  const json* past = FindField(value, "past");
  if (past == nullptr || !past->is_array() || past->size() > kMaxPastValues) {
    ok = false;
    return entry;
  }
  for (const json& item : *past) {
    if (!item.is_object()) {
      ok = false;
      return entry;
    }
    entry.past.push_back(
        {ReadNumber(item, "version", ok), OptionalValue(item)});
  }
  return entry;
}

}  // namespace

bool IsConfigPath(std::string_view path) {
  if (path.empty() || path[0] != '/')
    return false;
  const size_t middle = path.find('/', 1);
  return middle != std::string_view::npos &&
         IsValidName(path.substr(1, middle - 1)) &&
         IsValidName(path.substr(middle + 1));
}

std::string RecordToText(const config_record& record) {
  json value = {{"format", kConfigRecordFormat},
                {"id", record.id},
                {"unix_ms", record.unix_ms},
                {"author", record.author}};
  for (const auto& [name, kind] : kRecordKindNames) {
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
  return JsonText(value);
}

tl::expected<config_record, record_error> ParseRecord(std::string_view data) {
  const auto parsed = ParseJson(data);
  if (!parsed || !parsed->is_object())
    return tl::unexpected(record_error::kMalformed);
  bool ok = true;
  const uint64_t format = ReadNumber(*parsed, "format", ok);
  if (!ok)
    return tl::unexpected(record_error::kMalformed);
  if (format > kConfigRecordFormat)
    return tl::unexpected(record_error::kNewerFormat);
  const std::string kind = ReadString(*parsed, "kind", ok);
  if (!ok)
    return tl::unexpected(record_error::kMalformed);
  for (const auto& [name, value] : kRecordKindNames) {
    if (name == kind)
      return ReadRecord(*parsed, value);
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

apply_result config_state::Apply(uint64_t offset, std::string_view data) {
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
  if (processed_records_.count(record->id) != 0) {
    result.outcome = apply_outcome::kDuplicate;
    return result;
  }
  clock_ms_ = clock_ms_ == 0 ? record->unix_ms
                             : std::clamp(record->unix_ms, clock_ms_,
                                          clock_ms_ + kMaxClockStepMs);
  const uint64_t roster_version_before = roster_.version;
  switch (record->kind) {
    case record_kind::kChange:
      result.outcome = ApplyChange(*record);
      break;
    case record_kind::kSnapshot:
      // This state includes all records before the snapshot, so the snapshot
      // adds nothing to it.
      last_snapshot_offset_ = offset;
      result.outcome = apply_outcome::kNoEffect;
      break;
    default:
      result.outcome = ApplyRosterRecord(*record);
      break;
  }
  RememberRecordId(record->id, result.outcome == apply_outcome::kVoid);
  result.roster_changed = roster_.version != roster_version_before;
  return result;
}

apply_outcome config_state::ApplyChange(const config_record& record) {
  const auto found = entries_.find(record.path);
  const uint64_t current_version =
      found == entries_.end() ? 0 : found->second.version;
  if (record.base_version != current_version)
    return apply_outcome::kVoid;
  config_entry& entry = entries_[record.path];
  if (entry.version != 0) {
    tombstone_count_ -= entry.value ? 0 : 1;
    entry.past.insert(entry.past.begin(),
                      {entry.version, std::move(entry.value)});
    if (entry.past.size() > kMaxPastValues)
      entry.past.pop_back();
  }
  entry.version = offset_;
  entry.value = record.value;
  entry.author = record.author;
  entry.unix_ms = record.unix_ms;
  if (!entry.value) {
    ++tombstone_count_;
    LimitTombstones();
  }
  return apply_outcome::kApplied;
}

apply_outcome config_state::ApplyRosterRecord(const config_record& record) {
  auto& members = roster_.members;
  const bool is_member = roster_.Find(record.member.incarnation) != nullptr;
  const bool is_join = record.kind == record_kind::kJoin;
  if (is_member == is_join)
    return apply_outcome::kNoEffect;
  // A join at an address that a member has means that the process of that
  // member has ended.
  members.erase(std::remove_if(members.begin(), members.end(),
                               [&](const roster_member& member) {
                                 return is_join ? member.peer_address ==
                                                      record.member.peer_address
                                                : member.incarnation ==
                                                      record.member.incarnation;
                               }),
                members.end());
  if (is_join)
    members.push_back(record.member);
  roster_.version = offset_;
  return apply_outcome::kApplied;
}

void config_state::RememberRecordId(const std::string& id, bool is_void) {
  processed_records_[id] = {offset_, clock_ms_, is_void};
  record_ids_.push_back(id);
  while (record_ids_.size() > kMaxRecordIds ||
         processed_records_[record_ids_.front()].clock_ms <
             clock_ms_ - kRecordIdLifetimeMs) {
    processed_records_.erase(record_ids_.front());
    record_ids_.pop_front();
  }
}

void config_state::LimitTombstones() {
  if (tombstone_count_ <= kMaxTombstones)
    return;
  auto oldest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (!it->second.value && (oldest == entries_.end() ||
                              it->second.version < oldest->second.version))
      oldest = it;
  }
  entries_.erase(oldest);
  --tombstone_count_;
}

json config_state::ToJson() const {
  json entries = json::object();
  for (const auto& [path, entry] : entries_) {
    json item_json = {{"version", entry.version},
                      {"author", entry.author},
                      {"unix_ms", entry.unix_ms},
                      {"past", PastToJson(entry.past)}};
    if (entry.value)
      item_json["value"] = *entry.value;
    entries[path] = std::move(item_json);
  }
  json members = json::array();
  for (const roster_member& member : roster_.members)
    members.push_back(MemberToJson(member));
  json ids = json::array();
  for (const std::string& id : record_ids_) {
    const processed_record& processed = processed_records_.at(id);
    ids.push_back({{"id", id},
                   {"offset", processed.offset},
                   {"clock_ms", processed.clock_ms},
                   {"void", processed.is_void}});
  }
  return {{"format", kConfigRecordFormat},
          {"offset", offset_},
          {"clock_ms", clock_ms_},
          {"last_snapshot", last_snapshot_offset_},
          {"skipped_newer", skipped_newer_},
          {"entries", std::move(entries)},
          {"roster",
           {{"version", roster_.version}, {"members", std::move(members)}}},
          {"ids", std::move(ids)}};
}

tl::expected<config_state, findings> config_state::FromJson(const json& value) {
  findings problems;
  const auto fail = [&problems](const char* place, const char* message) {
    problems.Add(place, message);
    return tl::unexpected(problems);
  };
  if (!value.is_object())
    return fail("/", "must be an object");
  bool ok = true;
  config_state state;
  const uint64_t format = ReadNumber(value, "format", ok);
  state.offset_ = ReadNumber(value, "offset", ok);
  state.clock_ms_ = ReadUnixMs(value, "clock_ms", ok);
  state.last_snapshot_offset_ = ReadNumber(value, "last_snapshot", ok);
  state.skipped_newer_ = ReadNumber(value, "skipped_newer", ok);
  if (!ok)
    return fail("/",
                "format, offset, clock_ms, last_snapshot and skipped_newer "
                "must be non-negative integers");
  if (format > kConfigRecordFormat)
    return fail("/format", "is newer than this version can read");
  // The writer, a node of an older version, skipped records that this version
  // would have applied.
  if (format < kConfigRecordFormat && state.skipped_newer_ > 0)
    return fail("/skipped_newer",
                "must be 0 in a state of an older format: its writer skipped "
                "records that this version can read");
  const json* entries = FindField(value, "entries");
  if (entries == nullptr || !entries->is_object())
    return fail("/entries", "must be an object");
  for (const auto& [path, item] : entries->items()) {
    config_entry entry = EntryFromJson(item, ok);
    if (!ok || !IsConfigPath(path) || entry.version == 0 ||
        entry.version > state.offset_)
      return fail("/entries", "contains an invalid path or entry");
    state.tombstone_count_ += entry.value ? 0 : 1;
    state.entries_.emplace(path, std::move(entry));
  }
  const json* roster = FindField(value, "roster");
  if (roster == nullptr || !roster->is_object())
    return fail("/roster", "must be an object");
  state.roster_.version = ReadNumber(*roster, "version", ok);
  const json* members = FindField(*roster, "members");
  if (!ok || members == nullptr || !members->is_array())
    return fail("/roster", "must have a version number and a list of members");
  for (const json& member : *members)
    state.roster_.members.push_back(MemberFromJson(member, ok));
  const json* ids = FindField(value, "ids");
  if (!ok || ids == nullptr || !ids->is_array())
    return fail(
        "/ids",
        "must be a list, and each item of /roster/members must be valid");
  for (const json& item : *ids) {
    const json* is_void = item.is_object() ? FindField(item, "void") : nullptr;
    if (is_void == nullptr || !is_void->is_boolean())
      return fail("/ids", "contains an invalid item");
    const std::string id = ReadString(item, "id", ok);
    const processed_record processed{ReadNumber(item, "offset", ok),
                                     ReadUnixMs(item, "clock_ms", ok),
                                     is_void->get<bool>()};
    if (!ok || !state.processed_records_.emplace(id, processed).second)
      return fail("/ids", "contains an invalid item");
    state.record_ids_.push_back(id);
  }
  return state;
}

bool config_state::ReplaceIfNewer(config_state other) {
  if (other.offset_ <= offset_)
    return false;
  *this = std::move(other);
  return true;
}

const processed_record* config_state::FindRecord(const std::string& id) const {
  const auto found = processed_records_.find(id);
  return found == processed_records_.end() ? nullptr : &found->second;
}

}  // namespace skylarkhoist
