#ifndef DECISIONS_CONFIG_STATE_H_
#define DECISIONS_CONFIG_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <unordered_map>
#include <vector>

#include "decisions/roster.h"
#include "kernel/findings.h"
#include "kernel/json.h"

namespace skylarkhoist {

// The published configuration and the roster: the result of applying the
// records of the log in order. Uses neither a clock nor the schema, so that
// nodes of different versions reach the same state from the same records.
//
//   config_state state;
//   for (const log_entry& entry : batch.entries)
//     state.Apply(entry.offset, entry.data);
//   state.entries().at("/rates/acme").value;

// Format number in each record and state that this version writes. A new record
// kind or field must raise it: readers skip and count records of a newer
// format.
constexpr int kConfigRecordFormat = 1;

// Number of older values kept for each path. When the newest value has
// findings, nodes use the last valid one instead; since these values are part
// of the state, all nodes use the same one.
constexpr size_t kMaxPastValues = 4;

enum class record_kind { kChange, kSnapshot, kJoin, kLeave, kEvict };

// One record of the log. Its kind determines which fields are used.
struct config_record {
  record_kind kind = record_kind::kChange;
  // Chosen by the writer; the same for every attempt to append the record.
  std::string id;
  // Wall clock of the writer. Apply uses it only to expire record ids.
  int64_t unix_ms = 0;
  std::string author;
  // For kChange. A change without a value deletes the path.
  std::string path;
  uint64_t base_version = 0;
  std::optional<json> value;
  // kJoin uses all fields, kLeave and kEvict only the incarnation.
  roster_member member;
  // For kSnapshot: the whole state, as ToJson returns it.
  json state;
};

// Returns the record as JSON text, the form in which it is appended to the log.
std::string RecordToText(const config_record& record);

// Why a record could not be parsed.
enum class record_error { kMalformed, kNewerFormat, kUnknownKind };
tl::expected<config_record, record_error> ParseRecord(std::string_view data);

// True for "/SUBTREE/NAME" when both parts have 1 to 64 characters, each a
// letter, a digit, '.', '_' or '-'.
bool IsConfigPath(std::string_view path);

struct past_value {
  uint64_t version = 0;
  std::optional<json> value;

  bool operator==(const past_value& other) const {
    return version == other.version && value == other.value;
  }
};

// The newest accepted change of one path. A deleted path keeps an entry without
// a value (a tombstone), so that its version still rejects stale changes.
struct config_entry {
  uint64_t version = 0;
  std::optional<json> value;
  std::string author;
  int64_t unix_ms = 0;
  // Newest first, at most kMaxPastValues.
  std::vector<past_value> past;
};

enum class apply_outcome {
  kApplied,
  // Valid, but without effect: a join of a member of the roster, a leave or an
  // eviction of another incarnation, or a snapshot, which adds nothing to the
  // records before it.
  kNoEffect,
  // A change that was rejected because its base version is not the current
  // version of its path.
  kVoid,
  // A record with this id was applied before.
  kDuplicate,
  // The state already includes this offset.
  kOld,
  // Records before this offset are missing; the state is unchanged.
  kGap,
  kMalformed,
  kNewerFormat,
  kUnknownKind,
};
std::string_view NameOf(apply_outcome outcome);

struct apply_result {
  apply_outcome outcome = apply_outcome::kOld;
  // Empty when the record could not be parsed.
  std::string record_id;
  bool roster_changed = false;
};

// Result of one record, kept for an hour. It is part of the state, so that a
// node that received the state from a peer can also tell a writer whether its
// change was void.
struct processed_record {
  uint64_t offset = 0;
  // Record clock when the record was applied; see RememberRecordId.
  int64_t clock_ms = 0;
  bool is_void = false;
};

class config_state {
 public:
  // Applies the record at `offset`, which must be the next offset. Records that
  // cannot be parsed also advance the offset.
  apply_result Apply(uint64_t offset, std::string_view data);

  // The whole state, in the form of snapshots and of messages to peers. Equal
  // on all nodes at the same offset.
  json ToJson() const;
  static tl::expected<config_state, findings> FromJson(const json& value);

  // Replaces this state with `other` if that is newer, and returns whether it
  // did.
  bool ReplaceIfNewer(config_state other);

  uint64_t offset() const { return offset_; }
  const std::map<std::string, config_entry>& entries() const {
    return entries_;
  }
  const roster_view& roster() const { return roster_; }
  // Offset of the last snapshot record, 0 when there is none.
  uint64_t last_snapshot_offset() const { return last_snapshot_offset_; }
  // Number of skipped records of a newer format or an unknown kind. When above
  // 0, nodes of a newer version have applied more than this state includes, so
  // it must not be written as a snapshot.
  uint64_t skipped_newer() const { return skipped_newer_; }
  const processed_record* FindRecord(const std::string& id) const;

 private:
  apply_outcome ApplyChange(const config_record& record);
  apply_outcome ApplyRosterRecord(const config_record& record);
  // Records the result of `id` and drops results that are older than an hour.
  // Their age is measured by the record clock: the highest `unix_ms` of the
  // records so far, which one record raises by a bounded step at most.
  void RememberRecordId(const std::string& id, bool is_void);
  void LimitTombstones();

  uint64_t offset_ = 0;
  // The record clock; see RememberRecordId.
  int64_t clock_ms_ = 0;
  uint64_t last_snapshot_offset_ = 0;
  uint64_t skipped_newer_ = 0;
  std::map<std::string, config_entry> entries_;
  size_t tombstone_count_ = 0;
  roster_view roster_;
  std::unordered_map<std::string, processed_record> processed_records_;
  // Keys of `processed_records_` in offset order.
  std::deque<std::string> record_ids_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CONFIG_STATE_H_
