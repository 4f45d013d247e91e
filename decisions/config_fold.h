#ifndef DECISIONS_CONFIG_FOLD_H_
#define DECISIONS_CONFIG_FOLD_H_

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

// The fold of the log's records into the published state. It reads no clock
// and knows no schema, so that nodes of different versions reach the same state
// from the same records.
//
//   config_fold fold;
//   for (const log_entry& entry : batch.entries)
//     fold.Apply(entry.offset, entry.data);
//   fold.entries().at("/rates/acme").value;

// Writers state this format; records of a newer one are skipped and counted. A
// new record kind or field raises it.
constexpr int kConfigRecordFormat = 1;

// Values kept of each path besides the newest, so that a value with findings
// can fall back to the last valid one on every node alike.
constexpr size_t kPastValues = 4;

enum class record_kind { kChange, kSnapshot, kJoin, kLeave, kEvict };

// One record of the log. Which fields matter depends on the kind.
struct config_record {
  record_kind kind = record_kind::kChange;
  // Chosen by the writer; equal on every attempt to append the record.
  std::string id;
  // Wall clock of the writer. It only bounds how long record ids are kept.
  int64_t unix_ms = 0;
  std::string author;
  // kChange. No value means deletion.
  std::string path;
  uint64_t base_version = 0;
  std::optional<json> value;
  // kJoin in full; kLeave and kEvict use the incarnation.
  roster_member member;
  // kSnapshot: ToJson of the fold.
  json state;
};

std::string RecordToText(const config_record& record);

// Why a record could not be read.
enum class record_error { kMalformed, kNewerFormat, kUnknownKind };
tl::expected<config_record, record_error> ParseRecord(std::string_view data);

// True for "/SUBTREE/NAME" with a name of 1 to 64 characters out of letters,
// digits, '.', '_', '-'.
bool IsConfigPath(std::string_view path);

struct past_value {
  uint64_t version = 0;
  std::optional<json> value;

  bool operator==(const past_value& other) const {
    return version == other.version && value == other.value;
  }
};

// The newest change in force of one path. A deletion stays as an entry without
// a value, so that its version still guards against stale changes.
struct config_entry {
  uint64_t version = 0;
  std::optional<json> value;
  std::string author;
  int64_t unix_ms = 0;
  // Newest first, at most kPastValues.
  std::vector<past_value> past;
};

enum class apply_outcome {
  kApplied,
  // Read, but without effect on the state: a member that is already there or
  // already gone, or a snapshot that the state covers.
  kNoEffect,
  // A change whose base version is not the version in force.
  kVoid,
  // The record id was seen before.
  kDuplicate,
  // The offset is part of the state already.
  kOld,
  // Records between the state and this offset are missing; nothing was done.
  kGap,
  kMalformed,
  kNewerFormat,
  kUnknownKind,
};
std::string_view NameOf(apply_outcome outcome);

struct apply_result {
  apply_outcome outcome = apply_outcome::kOld;
  // Empty when the record could not be read.
  std::string record_id;
  bool roster_changed = false;
};

// What became of a record, kept for an hour. Both sides of a void change can be
// shown even by a node that took over the whole state from a peer.
struct record_verdict {
  uint64_t offset = 0;
  // Clock of the fold when the record was seen.
  int64_t clock_ms = 0;
  bool is_void = false;
};

class config_fold {
 public:
  // Takes the record at `offset`, which must follow the state directly.
  // Records that cannot be read still move the offset.
  apply_result Apply(uint64_t offset, std::string_view data);

  // Whole state, as snapshots and peers carry it. Equal on all nodes with the
  // same offset.
  json ToJson() const;
  static tl::expected<config_fold, findings> FromJson(const json& value);

  // Replaces this state by a newer one. Returns false, and changes nothing,
  // when `other` is not newer.
  bool Advance(config_fold other);

  uint64_t offset() const { return offset_; }
  const std::map<std::string, config_entry>& entries() const {
    return entries_;
  }
  const roster_view& roster() const { return roster_; }
  // Offset of the last snapshot record, 0 when there is none.
  uint64_t last_snapshot() const { return last_snapshot_; }
  // Records of a newer format or an unknown kind. When above 0, nodes of a
  // newer version know more than this state, so it must not become a snapshot.
  uint64_t skipped_newer() const { return skipped_newer_; }
  const record_verdict* FindRecord(const std::string& id) const;

 private:
  apply_outcome ApplyChange(const config_record& record);
  apply_outcome ApplyMember(const config_record& record);
  void Remember(const std::string& id, bool is_void);
  void LimitTombstones();

  uint64_t offset_ = 0;
  // Highest wall clock of the records so far, see Remember.
  int64_t clock_ms_ = 0;
  uint64_t last_snapshot_ = 0;
  uint64_t skipped_newer_ = 0;
  std::map<std::string, config_entry> entries_;
  size_t tombstones_ = 0;
  roster_view roster_;
  std::unordered_map<std::string, record_verdict> verdicts_;
  // Ids of `verdicts_` in offset order.
  std::deque<std::string> id_order_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CONFIG_FOLD_H_
