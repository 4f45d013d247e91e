#ifndef NODE_RATE_SERVICE_H_
#define NODE_RATE_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "decisions/config_view.h"
#include "decisions/lease_holder.h"
#include "decisions/lease_witness.h"
#include "decisions/rate_borrower.h"
#include "decisions/rate_bucket.h"
#include "decisions/reason.h"
#include "decisions/roster.h"
#include "decisions/shard_group.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Customers are grouped into this many shards, each with one lease, which
// bounds the number of lease renewals.
constexpr unsigned kRateShards = 64;

unsigned RateShardOf(const std::string& customer);
std::string RateShardName(unsigned shard);

struct rate_service_options {
  uint64_t incarnation = 0;
  // Peer address of this node.
  std::string address;
  // Fault for tests that check the checker: every group member owns the shard
  // without asking the witnesses.
  bool fault_skip_lease = false;
};

// One node's part of the fleet-wide rate limit. It has three roles:
//   borrower  Borrows tokens for the calls that enter the fleet at this node.
//   owner     Lends tokens of the customers in the shards whose lease it holds.
//   witness   Votes on the leases of the shards whose group it belongs to.
//
// A new owner sends a recall to all nodes. They answer with a report of the
// tokens that they hold for the shard, which become loans of the new owner.
//
// The node passes in configuration, roster, peer messages and what it learns
// about peers:
//
//   service.SetConfig(view); service.SetRoster(roster);
//   service.Acquire("acme", deadline, [](reason r) { ... });
class rate_service {
 public:
  rate_service(loop* run_loop,
               peer_transport* transport,
               rate_service_options options,
               metrics* counters);
  ~rate_service();
  rate_service(const rate_service&) = delete;
  rate_service& operator=(const rate_service&) = delete;

  void SetConfig(std::shared_ptr<const config_view> config);
  void SetRoster(const roster_view& roster);

  // A peer has applied the roster of `version`. To be called for each heartbeat
  // and gossip entry of the peer.
  void OnPeerRosterVersion(uint64_t incarnation, uint64_t version);

  // The process has certainly exited: its address refused a connection
  // (`incarnation` is 0 when no link was up), or a new incarnation runs there.
  void OnPeerGone(const std::string& address, uint64_t incarnation);

  // A link to `address` went down, perhaps because the process has exited.
  // Probes the address, so that an exit is noticed at once.
  void OnLinkLost(const std::string& address);

  void HandleLeaseRequest(const peer_info& from,
                          const fbs::lease_requestT& message);
  void HandleLeaseGrant(const peer_info& from,
                        const fbs::lease_grantT& message);
  void HandleRateRequest(const peer_info& from,
                         const fbs::rate_requestT& message);
  void HandleRateGrant(const peer_info& from, const fbs::rate_grantT& message);

  // Takes one token of the customer, waiting for it at most 50 ms and until
  // `deadline`. Calls `done` once with kOk, kRateLimited or kRateUnavailable,
  // possibly before Acquire returns. A customer without a rate is not limited.
  void Acquire(const std::string& customer,
               time_point deadline,
               std::function<void(reason)> done);

  // Returns tokens and releases leases for a planned stop; `done` runs within
  // 500 ms.
  void Drain(std::function<void()> done);

  // True when this node holds the lease of the customer's shard and lends its
  // tokens.
  bool Owns(const std::string& customer) const;

 private:
  struct waiting_call {
    time_point deadline;
    std::function<void(reason)> done;
  };

  struct customer_state {
    std::string name;
    unsigned shard_index = 0;
    rate_borrower borrower;
    std::deque<waiting_call> waiting_calls;
    timer_id wait_timer = 0;
    // Time of the last accepted grant.
    time_point owner_answered_at;
  };

  // State of a shard at its owner; exists while this node holds the lease.
  struct owned_shard {
    uint64_t epoch = 0;
    // False until all loans of previous owners have been reported or have
    // expired.
    bool ready = false;
    // By then the loans of previous owners have expired.
    time_point loans_end_at;
    // True when this node knows all possible borrowers of previous owners, so
    // that it can start as soon as all of them have reported.
    bool early_start_allowed = false;
    time_point recall_sent_at;
    // Addresses of the nodes that have not reported their loans, by
    // incarnation.
    std::map<uint64_t, std::string> unreported;
    std::map<std::string, rate_bucket> buckets;
  };

  // A borrower that is not in the roster that the witnesses know, for example
  // because it cannot join while the log is down. Lease requests list it, so
  // that the next owner knows it. The lease messages call it a "guest".
  struct nonmember_borrower {
    // First lease round that listed it, 0 before. It may borrow once a majority
    // has granted this round or a later one.
    uint64_t listed_round = 0;
    time_point last_request_at;
  };

  struct shard_state {
    shard_state(unsigned number, uint64_t incarnation);
    unsigned index;
    std::string name;
    bool has_customers = false;
    shard_group group;
    lease_witness witness;
    lease_holder holder;
    std::unique_ptr<owned_shard> owned;

    // Acquisition of the lease by this node.
    bool acquiring = false;
    time_point acquisition_started_at;
    time_point next_acquisition_at;
    duration backoff = duration::zero();
    size_t refusals = 0;
    // Last lease round that a majority granted.
    uint64_t granted_round = 0;
    std::optional<time_point> lease_free_since;
    // Borrowers of previous holders that are not in the roster, as reported by
    // the witnesses during an acquisition: addresses by incarnation.
    std::map<uint64_t, std::string> previous_nonmember_borrowers;
    // A witness joined the group so recently that it may not know all of them.
    bool witness_lacks_history = false;
    // By incarnation, at the owner.
    std::map<uint64_t, nonmember_borrower> nonmember_borrowers;

    // Last known owner, which gets the requests for tokens. When empty, they go
    // to the group member at `candidate_index`.
    std::string owner_address;
    size_t candidate_index = 0;
    // Time of the first request that has not been answered.
    std::optional<time_point> unanswered_since;

    // Epoch of the last recall and the loans moved to it, which are reported
    // again when the recall is repeated.
    uint64_t report_epoch = 0;
    std::vector<fbs::rate_loanT> reported_loans;
  };

  struct known_peer {
    std::string address;
    time_point first_seen_at;
    // First known roster version with this member; UINT64_MAX before that.
    uint64_t first_roster_version = UINT64_MAX;
    // Set while the peer is not in the roster.
    std::optional<time_point> removed_at;
    bool gone = false;
  };

  void Tick();
  void ScheduleTick(duration delay);
  void TickSoon();
  bool IsBusy(time_point now) const;

  void LeaseTick(shard_state& shard, time_point now);
  void SendLeaseRound(shard_state& shard);
  void AbandonAcquisition(shard_state& shard);
  void ReleaseLease(shard_state& shard);
  void BecomeOwner(shard_state& shard, uint64_t epoch);
  void OnLeaseExpired(shard_state& shard);
  // Returns whether this node holds the lease; drops `shard.owned` if it has
  // expired. Must be called before each use of `shard.owned`.
  bool HoldsLease(shard_state& shard, time_point now);

  void OwnerTick(shard_state& shard, time_point now);
  void SendRecalls(shard_state& shard);
  void MarkReported(shard_state& shard, uint64_t incarnation);
  void StartServing(shard_state& shard, bool early);
  void AdoptReportedLoans(shard_state& shard,
                          uint64_t borrower,
                          const std::vector<fbs::rate_loanT>& loans);
  // Returns whether the next owner would know of the borrower. If not, lists
  // the borrower in the following lease requests, so that it may borrow later.
  bool MayBorrow(shard_state& shard, const peer_info& borrower);
  void ServeUnmetDemand(shard_state& shard, const std::string& customer);
  // Returns null for a customer without a rate.
  rate_bucket* BucketFor(shard_state& shard, const std::string& customer);

  customer_state& CustomerFor(const std::string& name);
  void SendDueRequest(customer_state& customer);
  void SendBorrowRequest(customer_state& customer,
                         const borrower_request& request);
  void ServeWaitingCalls(customer_state& customer);
  void ExpireWaitingCalls(customer_state& customer);
  void ArmWaitTimer(customer_state& customer);
  // Returns the loans to report to the owner of `epoch`.
  const std::vector<fbs::rate_loanT>& MoveLoansToEpoch(shard_state& shard,
                                                       uint64_t epoch);
  // Address that requests for tokens go to; empty when there is none.
  std::string RequestDestination(const shard_state& shard) const;
  void TryNextCandidate(shard_state& shard);
  void FinishDrainIfDone();

  // A message from `peer` shows that earlier processes at its address have
  // exited.
  void MarkPredecessorsGone(const peer_info& peer);
  void MarkGone(uint64_t incarnation);

  template <typename table>
  void SendTo(const std::string& address, table message);
  // Asks for the roster version of a peer; a refused connection shows that its
  // process has exited.
  void Probe(const std::string& address);
  shard_state* FindShard(const std::string& name);
  std::string AddressOf(uint64_t incarnation) const;

  loop* loop_;
  peer_transport* transport_;
  rate_service_options options_;
  prometheus::Counter& granted_;
  prometheus::Counter& limited_;
  prometheus::Counter& unavailable_;
  prometheus::Counter& early_starts_;
  prometheus::Counter& waited_starts_;
  prometheus::Counter& leases_lost_;

  std::shared_ptr<const config_view> config_;
  roster_view roster_;
  std::optional<time_point> first_roster_at_;
  // Members, past members and borrowers outside the roster, by incarnation.
  std::map<uint64_t, known_peer> peers_;
  // Incarnation of the last sender at each address.
  std::map<std::string, uint64_t> incarnation_by_address_;
  std::vector<shard_state> shards_;
  std::map<std::string, customer_state> customers_;
  std::map<std::string, time_point> probed_at_;
  time_point confirmations_probed_at_;
  timer_id tick_timer_ = 0;
  time_point tick_at_;
  bool draining_ = false;
  time_point drain_deadline_;
  std::function<void()> on_drained_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_RATE_SERVICE_H_
