#ifndef NODE_DEDUP_SERVICE_H_
#define NODE_DEDUP_SERVICE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "decisions/dedup_claim.h"
#include "decisions/dedup_replica.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "kernel/wall_clock.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

struct dedup_options {
  // Incarnation and peer address of this node, as in the roster.
  uint64_t incarnation = 0;
  std::string address;
  dedup_replica_options replica;
  dedup_claim_options claim;
  duration tick_interval = std::chrono::milliseconds(50);
  // How long the end of a request is sent again to replicas that have not
  // confirmed it.
  duration report_timeout = std::chrono::seconds(30);
  // Longest time from Drain to its callback.
  duration drain_timeout = std::chrono::seconds(3);
};

// The result of a claim, as reported to the caller of Claim.
struct dedup_decision {
  dedup_verdict verdict = dedup_verdict::kUnavailable;
  // Set for kAnswered.
  std::shared_ptr<const fbs::call_answerT> answer;
  // For kRun: the request must be sent to its target before this time. Check it
  // immediately before sending, since the process may have been paused.
  time_point valid_until;
};

// Runs requests with an idempotency key at most once, however often callers
// send them: claims the keys of this node's callers, and acts as a replica for
// the claims of all nodes (section 3.4 of docs/design.md).
//
//   service.Claim(customer, key, id, deadline, [](const dedup_decision& d) {});
//   service.Finish(customer, key, id, outcome, answer);   // after kRun only
//
// The node must forward roster changes, link events and the four dedup
// messages. The user of this class must refuse requests with a key while its
// configuration is stale (section 5.1), both at admission and before sending
// them to a target: incomplete replicas rely on it.
//
// The message dedup_verdict is the reply of one replica to a claim
// (dedup_claim_reply). The enum dedup_verdict is the result of the whole claim.
class dedup_service {
 public:
  using claim_callback = std::function<void(const dedup_decision&)>;

  // All pointers must outlive this object.
  dedup_service(loop* run_loop,
                peer_transport* transport,
                const dedup_options& options,
                const wall_clock* wall,
                metrics* counters);
  ~dedup_service();
  dedup_service(const dedup_service&) = delete;
  dedup_service& operator=(const dedup_service&) = delete;

  void SetRoster(const roster_view& roster);

  // To be called when a peer reports its roster version.
  void OnPeerRosterVersion(uint64_t incarnation, uint64_t version);

  // To be called when the process of `incarnation` has ended: its address
  // refuses connections, or another incarnation answers there. Must not be
  // called for a peer that is only silent.
  void OnPeerGone(const std::string& address, uint64_t incarnation);

  // Handles dedup_claim, dedup_verdict, dedup_result and dedup_sync messages.
  // Returns false for other messages.
  bool OnPeerMessage(const peer_info& from, const fbs::envelopeT& message);

  // Claims `key` for the copy `id` of a request. `done` is called exactly once,
  // by the deadline, and not before Claim returns. Each `id` may claim only
  // once. Finish is not needed after a verdict other than kRun.
  void Claim(const std::string& customer,
             const std::string& key,
             const request_id& id,
             time_point deadline,
             claim_callback done);

  // Reports the end of a request whose verdict was kRun. kRefused (it did not
  // run) releases the key; kFailed keeps it, with an unknown result.
  void Finish(const std::string& customer,
              const std::string& key,
              const request_id& id,
              fbs::outcome outcome,
              std::shared_ptr<const fbs::call_answerT> answer);

  // Stops granting claims and sends the records to the members of the next
  // groups. `done` is called when they have confirmed and the ends of all
  // requests are reported, or after `drain_timeout`.
  void Drain(std::function<void()> done);

  const dedup_replica& replica() const { return replica_; }

 private:
  // A claim without a verdict.
  struct pending_claim {
    dedup_claim claim;
    claim_callback done;
    timer_id timer = 0;
  };
  // The end of a request that replicas are to confirm.
  struct pending_result {
    dedup_result result;
    // Incarnations of the replicas that have confirmed it.
    std::set<uint64_t> confirmed;
    time_point give_up_at;
    time_point next_send;
    duration report_interval;
  };
  // A sync state of which some chunks have not arrived.
  struct partial_sync_state {
    uint32_t round = 0;
    // Numbers of the chunks that have arrived.
    std::set<uint32_t> chunks;
    dedup_sync_state state;
  };
  // A sync state that `to` has not confirmed.
  struct pending_hand_over {
    dedup_member to;
    dedup_sync_state state;
  };

  void OnClaimMessage(const peer_info& from, const fbs::dedup_claimT& message);
  void OnVerdictMessage(const peer_info& from,
                        const fbs::dedup_verdictT& message);
  void OnResultMessage(const peer_info& from,
                       const fbs::dedup_resultT& message);
  void OnSyncMessage(const peer_info& from, const fbs::dedup_syncT& message);

  void OnTick();
  // Sends the queued messages of a claim, or ends it when it has a verdict.
  void AdvanceClaim(const request_id& id);
  void ReportResult(const dedup_result& result);
  void SendResult(pending_result& pending);
  bool IsConfirmedByAll(const pending_result& pending) const;
  void SendSyncState(const dedup_member& to,
                     const dedup_sync_state& state,
                     uint32_t round,
                     bool hand_over);
  // Messages to this node are delivered to it directly, in a later loop turn.
  void Send(const std::string& address, const fbs::envelopeT& message);
  // Runs `action` after `delay` unless this object has been destroyed by then.
  void RunLater(duration delay, std::function<void()> action);

  loop* loop_;
  peer_transport* transport_;
  dedup_options options_;
  const wall_clock* wall_;
  dedup_replica replica_;
  std::unordered_map<request_id, pending_claim, request_id_hash>
      pending_claims_;
  std::unordered_map<request_id, pending_result, request_id_hash>
      pending_results_;
  // Both by the incarnation of the peer and the shard.
  std::map<std::pair<uint64_t, uint32_t>, partial_sync_state>
      partial_sync_states_;
  std::map<std::pair<uint64_t, uint32_t>, pending_hand_over>
      pending_hand_overs_;
  uint32_t last_sync_round_ = 0;
  // Roster versions that peers have reported since the last call of SetRoster.
  std::unordered_map<uint64_t, uint64_t> peer_versions_;
  std::function<void()> drain_done_;
  time_point drain_deadline_;
  timer_id tick_timer_ = 0;
  std::array<prometheus::Counter*, 4> verdict_counters_{};
  prometheus::Counter* double_runs_;
  prometheus::Counter* malformed_messages_;
  prometheus::Gauge* record_gauge_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Returns the hash of a customer and an idempotency key, under which the key is
// claimed.
dedup_key DedupKeyOf(const std::string& customer, const std::string& key);

}  // namespace skylarkhoist

#endif  // NODE_DEDUP_SERVICE_H_
