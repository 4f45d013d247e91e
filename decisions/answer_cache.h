#ifndef DECISIONS_ANSWER_CACHE_H_
#define DECISIONS_ANSWER_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <unordered_map>
#include <utility>

#include "decisions/request_types.h"
#include "kernel/time.h"

namespace skylarkhoist {

struct answer_cache_limits {
  // How long the record of a finished call and its answer are kept.
  duration retention = std::chrono::seconds(30);
  // Bound on the total size of the stored answers.
  size_t max_answer_bytes = size_t{8} << 20;
  // Bound on records of finished calls, with or without an answer.
  size_t max_finished_calls = 50000;
  // How long an id that a query reported as never seen is stored; after that,
  // the watermark of its caller covers it.
  duration fenced_id_retention = std::chrono::seconds(60);
  size_t max_fenced_ids = 20000;
  // Bound on callers (incarnations) with a watermark: the highest sequence
  // number of their dropped records.
  size_t max_watermarks = 8192;
};

// What the cache knows of the id of an arriving call.
enum class call_arrival {
  // First arrival: the executor queues it.
  kNew,
  // Already received: the executor drops this message; the answer is sent for
  // the first one.
  kDuplicate,
  // A query for this id was answered with kNeverSeen: the executor refuses the
  // call, which has not run.
  kFenced,
  // At or below the watermark of its caller, so its record may have been
  // dropped. It must not run, and its result is reported as unknown, since an
  // earlier message with this id may have run.
  kForgotten,
};

enum class call_progress {
  // Never arrived; it will be refused if it arrives later.
  kNeverSeen,
  kQueued,
  kRunning,
  // The answer is null when it was dropped to stay within the size bound.
  kFinished,
  // At or below the watermark of its caller: it may have run.
  kForgotten,
};

namespace detail {

// The part of answer_cache that does not depend on the type of the answers.
class call_table {
 public:
  explicit call_table(const answer_cache_limits& limits) : limits_(limits) {}

  call_arrival RecordArrival(const request_id& id, time_point now);
  void MarkRunning(const request_id& id);
  void Finish(const request_id& id,
              std::shared_ptr<const void> answer,
              size_t answer_bytes,
              time_point now);
  std::pair<call_progress, std::shared_ptr<const void>> Query(
      const request_id& id,
      time_point now);
  void Expire(time_point now);

  size_t open_calls() const { return calls_.size() - finished_.size(); }
  size_t finished_calls() const { return finished_.size(); }
  size_t fenced_ids() const { return fenced_ids_.size(); }
  size_t answer_bytes() const { return answer_bytes_; }

 private:
  struct call {
    call_progress progress = call_progress::kQueued;
    std::shared_ptr<const void> answer;
    size_t answer_bytes = 0;
  };
  struct watermark {
    uint64_t sequence = 0;
    // Position of the caller in `watermark_order_`.
    std::list<uint64_t>::iterator order_position;
  };

  bool IsForgotten(const request_id& id) const;
  void RaiseWatermark(const request_id& id);
  void DropAnswer(call& record);

  answer_cache_limits limits_;
  std::unordered_map<request_id, call, request_id_hash> calls_;
  // Finished calls with their end times, oldest first.
  std::deque<std::pair<time_point, request_id>> finished_;
  // Finished calls are numbered from 0 over the life of the table.
  // `next_answer_to_drop_` is the number of the oldest call whose answer may
  // still be stored, `removed_calls_` that of the front of `finished_`.
  uint64_t next_answer_to_drop_ = 0;
  uint64_t removed_calls_ = 0;
  size_t answer_bytes_ = 0;
  std::unordered_map<request_id, bool, request_id_hash> fenced_ids_;
  std::deque<std::pair<time_point, request_id>> fenced_id_order_;
  std::unordered_map<uint64_t, watermark> watermarks_;
  // Incarnations with a watermark, least recently raised first.
  std::list<uint64_t> watermark_order_;
};

}  // namespace detail

// Progress and answers of the calls that reached this executor, by request id.
// An entry whose link to the executor broke queries them:
//
//   switch (cache.RecordArrival(id, now)) { ... }  // a call message arrived
//   cache.MarkRunning(id);                         // the call was sent to the
//   target cache.Finish(id, answer, bytes, now);          // answered, refused
//   or failed auto [progress, answer] = cache.Query(id, now);
//
// Invariant: Query never returns kNeverSeen for a call that arrived, however
// long ago, and a call that was reported as kNeverSeen never runs. Dropped
// records leave the highest dropped sequence number of each caller as a
// watermark; ids up to it that have no record are reported as kForgotten.
template <typename answer_type>
class answer_cache {
 public:
  struct query_result {
    call_progress progress = call_progress::kNeverSeen;
    // Set when the call finished and its answer was not dropped.
    std::shared_ptr<const answer_type> answer;
  };

  explicit answer_cache(const answer_cache_limits& limits = {})
      : table_(limits) {}

  call_arrival RecordArrival(const request_id& id, time_point now) {
    return table_.RecordArrival(id, now);
  }
  // The call was sent to its target.
  void MarkRunning(const request_id& id) { table_.MarkRunning(id); }
  // The call was answered, refused or failed.
  void Finish(const request_id& id,
              std::shared_ptr<const answer_type> answer,
              size_t answer_bytes,
              time_point now) {
    table_.Finish(id, std::move(answer), answer_bytes, now);
  }
  // Fences an id that never arrived, so that a later arrival is refused.
  query_result Query(const request_id& id, time_point now) {
    auto [progress, answer] = table_.Query(id, now);
    return {progress, std::static_pointer_cast<const answer_type>(answer)};
  }
  // Drops records and answers that are too old or beyond the bounds.
  // RecordArrival, Finish and Query do this too.
  void Expire(time_point now) { table_.Expire(now); }

  // Calls that are queued or running.
  size_t open_calls() const { return table_.open_calls(); }
  size_t finished_calls() const { return table_.finished_calls(); }
  size_t fenced_ids() const { return table_.fenced_ids(); }
  size_t answer_bytes() const { return table_.answer_bytes(); }

 private:
  detail::call_table table_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_ANSWER_CACHE_H_
