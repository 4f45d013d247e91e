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
  // Of this node, as in the roster.
  uint64_t incarnation = 0;
  std::string address;
  dedup_replica_options replica;
  dedup_claim_options claim;
  duration tick = std::chrono::milliseconds(50);
  // How long an end is repeated to replicas that have not confirmed it.
  duration report = std::chrono::seconds(30);
  duration drain = std::chrono::seconds(3);
};

struct dedup_decision {
  dedup_verdict verdict = dedup_verdict::kUnavailable;
  // With kAnswered.
  std::shared_ptr<const fbs::call_answerT> answer;
  // With kRun: the request must be sent before this time. Check it immediately
  // before the send, since the process may have been paused.
  time_point valid_until;
};

// At most once across resends: claims for the requests of this node's callers,
// and the replica role for others (section 3.4 of docs/design.md).
//
//   service.Claim(customer, key, id, deadline, [](const dedup_decision& d) {});
//   service.Finish(customer, key, id, outcome, answer);   // after kRun only
//
// The node forwards roster changes, link events and the four dedup messages.
// The caller must refuse keyed work while its configuration is stale (section
// 5.1), at admission and at hand-over: a blind replica relies on it.
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

  // A peer reported its roster version in a heartbeat or in gossip.
  void OnPeerVersion(uint64_t incarnation, uint64_t version);

  // The process has ended: its address refuses connections, or another
  // incarnation answers there. Never call it for a peer that is only silent.
  void OnPeerGone(const std::string& address, uint64_t incarnation);

  // Takes a message if it is one of dedup_claim, dedup_verdict, dedup_result
  // and dedup_sync, and returns whether it is.
  bool OnPeerMessage(const peer_info& from, const fbs::envelopeT& message);

  // Asks for the right to run. `done` runs exactly once, by the deadline, and
  // not before Claim returns. Each `id` claims once. A verdict other than kRun
  // needs no Finish.
  void Claim(const std::string& customer,
             const std::string& key,
             const request_id& id,
             time_point deadline,
             claim_callback done);

  // Reports the end of a request that got kRun. kRefused (it did not run)
  // releases the key; kFailed keeps it, with an unknown result.
  void Finish(const std::string& customer,
              const std::string& key,
              const request_id& id,
              fbs::outcome outcome,
              std::shared_ptr<const fbs::call_answerT> answer);

  // Hands the records over and grants nothing any more. `done` runs when the
  // next members have confirmed and all ends are reported, or after a bound.
  void Drain(std::function<void()> done);

  const dedup_replica& replica() const { return replica_; }

 private:
  struct open_claim {
    dedup_claim claim;
    claim_callback done;
    timer_id timer = 0;
  };
  struct open_end {
    dedup_end end;
    std::set<uint64_t> confirmed;
    time_point until;
    time_point next_send;
    duration interval;
  };
  struct partial_state {
    uint32_t round = 0;
    std::set<uint32_t> chunks;
    dedup_sync_state state;
  };
  struct open_hand_over {
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
  // Sends what the claim has to send, or ends it.
  void Pump(const request_id& id);
  void Report(const dedup_end& end);
  void SendEnds(open_end& open);
  bool IsReported(const open_end& open) const;
  void SendState(const dedup_member& to,
                 const dedup_sync_state& state,
                 uint32_t round,
                 bool hand_over);
  void Send(const std::string& address, const fbs::envelopeT& message);
  void After(duration delay, std::function<void()> action);

  loop* loop_;
  peer_transport* transport_;
  dedup_options options_;
  const wall_clock* wall_;
  dedup_replica replica_;
  std::unordered_map<request_id, open_claim, request_id_hash> claims_;
  std::unordered_map<request_id, open_end, request_id_hash> ends_;
  std::map<std::pair<uint64_t, uint32_t>, partial_state> partial_;
  std::map<std::pair<uint64_t, uint32_t>, open_hand_over> hand_overs_;
  uint32_t sync_round_ = 0;
  // Roster versions that peers reported since the last change here.
  std::unordered_map<uint64_t, uint64_t> peer_versions_;
  std::function<void()> drained_;
  time_point drain_until_;
  timer_id tick_ = 0;
  std::array<prometheus::Counter*, 4> verdicts_{};
  prometheus::Counter* double_runs_;
  prometheus::Counter* malformed_;
  prometheus::Gauge* records_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Hash under which a (customer, idempotency key) is claimed.
dedup_key DedupKeyOf(const std::string& customer, const std::string& key);

}  // namespace skylarkhoist

#endif  // NODE_DEDUP_SERVICE_H_
