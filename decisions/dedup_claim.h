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
  // Interval between questions to the same replica; doubles up to the second.
  duration first_poll = std::chrono::milliseconds(25);
  duration longest_poll = std::chrono::milliseconds(400);
  // How long replicas are waited for while no other copy is known.
  duration undecided = std::chrono::seconds(2);
  // How long after its question was sent a grant may be used; far below the
  // life of a record.
  duration max_age = std::chrono::seconds(60);
  // How long a replica's answer is waited for before yielding to a copy that
  // another one named.
  duration patience = std::chrono::milliseconds(100);
  // A deliberate fault for tests of the checkers: one grant is enough.
  bool fault_single_grant = false;
};

enum class dedup_verdict : uint8_t {
  // This copy may run, until `valid_until`.
  kRun,
  // Another copy has ended with `answer`.
  kAnswered,
  // Another copy was seen and may have run; its result is not known.
  kUnknown,
  // The replicas could not decide. This copy does not run.
  kUnavailable,
};

struct dedup_resolution {
  dedup_verdict verdict = dedup_verdict::kUnavailable;
  stored_answer answer;
  time_point valid_until;
};

// One copy's attempt to become the one that runs.
//
//   dedup_claim claim(request, deadline, options, now);
//   claim.SetGroup(version, group, now);       // and at each roster change
//   for (auto& [to, message] : claim.TakeMessages()) { send }
//   claim.OnReply(from, reply, now);
//   claim.OnTick(now);                         // at claim.next_wake()
//   if (claim.resolution()) { ... }
//
// Unless the verdict is kRun, the caller then reports the end kReleased to the
// group, since replicas may have recorded this copy.
//
// Two copies at the same time may each get one replica. The copy with the
// higher id gives its grants back and only asks from then on, so the other one
// gets its majority. It claims again, in a new round, when a majority says that
// the key is free. Grants of earlier rounds or roster versions do not count.
class dedup_claim {
 public:
  dedup_claim(const dedup_request& request,
              time_point deadline,
              const dedup_claim_options& options,
              time_point now);

  void SetGroup(uint64_t version, const dedup_group& group, time_point now);
  void OnReply(uint64_t from, const dedup_reply& reply, time_point now);
  // The process of this incarnation has ended.
  void OnMemberGone(uint64_t incarnation, time_point now);
  void OnTick(time_point now);

  std::vector<std::pair<dedup_member, dedup_request>> TakeMessages();

  const std::optional<dedup_resolution>& resolution() const {
    return resolution_;
  }
  time_point next_wake() const;
  const dedup_request& request() const { return request_; }

 private:
  void StartRound(bool query_only, time_point now);
  void Ask(time_point now);
  void Evaluate(time_point now);
  void Resolve(dedup_verdict verdict, stored_answer answer = {});

  dedup_request request_;
  time_point deadline_;
  dedup_claim_options options_;
  time_point round_started_;
  time_point next_ask_;
  duration interval_;
  dedup_group group_;
  // Latest answer of each member in this round and roster version.
  std::map<uint64_t, dedup_reply> replies_;
  std::set<uint64_t> gone_;
  // Another copy held the key when last heard.
  bool other_seen_ = false;
  std::vector<std::pair<dedup_member, dedup_request>> messages_;
  std::optional<dedup_resolution> resolution_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_DEDUP_CLAIM_H_
