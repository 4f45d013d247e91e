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
  // How long a finished call and its answer are kept.
  duration keep = std::chrono::seconds(30);
  // Bound on the bytes of all kept answers.
  size_t max_bytes = size_t{8} << 20;
  // Bound on finished calls, with or without an answer.
  size_t max_finished = 50000;
  duration fence_keep = std::chrono::seconds(60);
  size_t max_fences = 20000;
  // Bound on callers (incarnations) whose forgotten ids are remembered as one
  // number.
  size_t max_floors = 8192;
};

// What an executor does with a call that arrives.
enum class call_arrival {
  // First arrival: queue it.
  kNew,
  // Known already: drop this copy, the first one gets the answer.
  kDuplicate,
  // A query for this id was told "never seen": refuse it, it did not run.
  kFenced,
  // Older than what is remembered. It must not run, and an earlier copy may
  // have run, so it ends as unknown.
  kForgotten,
};

enum class call_progress {
  // Never arrived, and cannot run any more.
  kNeverSeen,
  kQueued,
  kRunning,
  // The answer may have been dropped for space; it is null then.
  kFinished,
  // Older than what is remembered: may have run.
  kForgotten,
};

namespace detail {

// The states of an executor's calls, without the type of the answers.
class call_table {
 public:
  explicit call_table(const answer_cache_limits& limits) : limits_(limits) {}

  call_arrival Arrive(const request_id& id, time_point now);
  void Start(const request_id& id);
  void Finish(const request_id& id,
              std::shared_ptr<const void> answer,
              size_t bytes,
              time_point now);
  std::pair<call_progress, std::shared_ptr<const void>> Query(
      const request_id& id,
      time_point now);
  void Expire(time_point now);

  size_t open() const { return calls_.size() - finished_.size(); }
  size_t finished() const { return finished_.size(); }
  size_t fences() const { return fences_.size(); }
  size_t bytes() const { return bytes_; }

 private:
  struct call {
    call_progress stage = call_progress::kQueued;
    std::shared_ptr<const void> answer;
    size_t bytes = 0;
  };
  struct floor {
    uint64_t sequence = 0;
    std::list<uint64_t>::iterator use;
  };

  bool IsForgotten(const request_id& id) const;
  void RaiseFloor(const request_id& id);
  void DropAnswer(call& entry);

  answer_cache_limits limits_;
  std::unordered_map<request_id, call, request_id_hash> calls_;
  // Finished calls in order of their end.
  std::deque<std::pair<time_point, request_id>> finished_;
  // Index in `finished_`, counted from the first call ever, of the first call
  // whose answer may still be held; and the same count for the front.
  uint64_t next_to_drop_ = 0;
  uint64_t front_count_ = 0;
  size_t bytes_ = 0;
  std::unordered_map<request_id, bool, request_id_hash> fences_;
  std::deque<std::pair<time_point, request_id>> fence_order_;
  std::unordered_map<uint64_t, floor> floors_;
  // Incarnations with a floor, least recently raised first.
  std::list<uint64_t> floor_order_;
};

}  // namespace detail

// What became of the calls that reached this executor, by request id, so that
// an entry that lost its link can ask:
//
//   switch (cache.Arrive(id, now)) { ... }   // a call message
//   cache.Start(id);                          // handed over to the target
//   cache.Finish(id, answer, bytes, now);     // answered, refused or failed
//   auto [progress, answer] = cache.Query(id, now);
//
// Invariant: Query never says kNeverSeen for a call that arrived, however long
// ago; and a call that was reported as kNeverSeen never runs. Ids that were
// dropped are remembered as the highest sequence number dropped for each
// caller, so lower ones count as forgotten instead of never seen.
template <typename answer>
class answer_cache {
 public:
  struct state {
    call_progress progress = call_progress::kNeverSeen;
    // Set when finished and not dropped for space.
    std::shared_ptr<const answer> stored;
  };

  explicit answer_cache(const answer_cache_limits& limits = {})
      : table_(limits) {}

  call_arrival Arrive(const request_id& id, time_point now) {
    return table_.Arrive(id, now);
  }
  // The call is handed over to its target.
  void Start(const request_id& id) { table_.Start(id); }
  // The call ended; `bytes` is the size of the answer.
  void Finish(const request_id& id,
              std::shared_ptr<const answer> stored,
              size_t bytes,
              time_point now) {
    table_.Finish(id, std::move(stored), bytes, now);
  }
  // Fences an id that never arrived.
  state Query(const request_id& id, time_point now) {
    auto [progress, stored] = table_.Query(id, now);
    return {progress, std::static_pointer_cast<const answer>(stored)};
  }
  // Drops what is too old. Arrive, Finish and Query do it as well.
  void Expire(time_point now) { table_.Expire(now); }

  // Calls that are queued or running.
  size_t open() const { return table_.open(); }
  size_t finished() const { return table_.finished(); }
  size_t fences() const { return table_.fences(); }
  size_t bytes() const { return table_.bytes(); }

 private:
  detail::call_table table_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_ANSWER_CACHE_H_
