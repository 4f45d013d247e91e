#ifndef DECISIONS_DEDUP_CLAIM_H_
#define DECISIONS_DEDUP_CLAIM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "decisions/dedup_types.h"
#include "kernel/time.h"

namespace skylarkhoist {

struct dedup_claim_options {
  // Interval between requests to the same replica; doubles from the minimum to
  // the maximum.
  duration min_poll_interval = std::chrono::milliseconds(25);
  duration max_poll_interval = std::chrono::milliseconds(400);
  // How long a round waits for a majority while no running copy is known.
  duration undecided_timeout = std::chrono::seconds(2);
  // How long after the start of its round a grant may be used; far below the
  // lifetime of a record.
  duration max_grant_age = std::chrono::seconds(60);
  // How long a round waits for the replies of all replicas before it yields to
  // a copy that one of them reported.
  duration yield_delay = std::chrono::milliseconds(100);
  // Fault injection for tests: accepts one grant instead of a majority.
  bool fault_single_grant = false;
};

enum class dedup_verdict : uint8_t {
  // This copy may run, until `valid_until`.
  kRun,
  // Another copy has ended with `answer`.
  kAnswered,
  // Another copy held the key and may have run; its result is not known.
  kUnknown,
  // No majority of the replicas could decide. This copy does not run.
  kUnavailable,
};

struct dedup_resolution {
  dedup_verdict verdict = dedup_verdict::kUnavailable;
  // Set for kAnswered.
  stored_answer answer;
  // For kRun: the copy must not be sent to its target after this time.
  time_point valid_until;
};

// The claim of one copy to be the one that runs, from its first request to the
// verdict.
//
//   dedup_claim claim(request, deadline, options, now);
//   claim.SetGroup(version, group, now);       // and at each roster change
//   for (auto& [to, message] : claim.TakeMessages()) { send }
//   claim.OnReply(from, reply, now);
//   claim.OnTick(now);                         // at claim.next_wake()
//   if (claim.resolution()) { ... }
//
// Unless the verdict is kRun, the caller must then report the outcome kReleased
// to the group, since replicas may have recorded this copy.
//
// Two concurrent copies may each get the grants of some replicas, but no
// majority. Then the copy with the higher id yields: it returns its grants and
// only queries, so that the other one can get a majority. It claims again, in a
// new round, when a majority replies that the key is free. Grants of earlier
// rounds or roster versions do not count.
class dedup_claim {
 public:
  dedup_claim(const dedup_claim_request& request,
              time_point deadline,
              const dedup_claim_options& options,
              time_point now);

  void SetGroup(uint64_t version, const dedup_group& group, time_point now);
  void OnReply(uint64_t from, const dedup_claim_reply& reply, time_point now);
  // The process of this incarnation has ended; a silent process does not count.
  void OnMemberGone(uint64_t incarnation, time_point now);
  void OnTick(time_point now);

  std::vector<std::pair<dedup_member, dedup_claim_request>> TakeMessages();

  const std::optional<dedup_resolution>& resolution() const {
    return resolution_;
  }
  time_point next_wake() const;
  const dedup_claim_request& request() const { return request_; }

 private:
  void StartRound(bool query_only, time_point now);
  // Queues a request to each replica that has not granted the claim.
  void PollReplicas(time_point now);
  void Evaluate(time_point now);
  void Resolve(dedup_verdict verdict, stored_answer answer = {});

  dedup_claim_request request_;
  time_point deadline_;
  dedup_claim_options options_;
  time_point round_started_;
  time_point next_poll_;
  duration poll_interval_;
  dedup_group group_;
  // Latest reply of each member in this round and roster version.
  std::map<uint64_t, dedup_claim_reply> replies_;
  std::set<uint64_t> gone_members_;
  // A replica reported another copy since the key was last free.
  bool other_copy_seen_ = false;
  std::vector<std::pair<dedup_member, dedup_claim_request>> messages_;
  std::optional<dedup_resolution> resolution_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_DEDUP_CLAIM_H_
