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
#include "decisions/rate_ledger.h"
#include "decisions/reason.h"
#include "decisions/roster.h"
#include "decisions/shard_group.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Customers are grouped into this many shards, which bounds lease renewals.
constexpr unsigned kRateShards = 64;

unsigned RateShardOf(const std::string& customer);
std::string RateShardName(unsigned shard);

struct rate_service_options {
  uint64_t incarnation = 0;
  // Own peer address.
  std::string address;
  // Deliberate fault for tests of the checker: any group member owns its
  // shards without asking the witnesses.
  bool fault_skip_lease = false;
};

// The rate limit of the whole fleet on one node: borrows tokens for the calls
// that enter here, owns the shards whose lease it holds, and is a witness for
// the shards whose group it is in.
//
// The node that contains it passes in configuration, roster, peer messages and
// what it learns about peers:
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

  // A peer has applied the roster of `version`: from heartbeats and gossip, to
  // be repeated with each of them.
  void OnPeerVersion(uint64_t incarnation, uint64_t version);

  // The process is certainly gone: its address refused a connection
  // (`incarnation` 0 when no link was up), or a new incarnation runs there.
  void OnPeerGone(const std::string& address, uint64_t incarnation);

  // A hint: a link to `address` went down. Starts a probe, so that a process
  // that is gone is noticed at once.
  void OnLinkLost(const std::string& address);

  void HandleLeaseRequest(const peer_info& from,
                          const fbs::lease_requestT& message);
  void HandleLeaseGrant(const peer_info& from,
                        const fbs::lease_grantT& message);
  void HandleRateRequest(const peer_info& from,
                         const fbs::rate_requestT& message);
  void HandleRateGrant(const peer_info& from, const fbs::rate_grantT& message);

  // Takes one token of the customer, waiting for it up to 50 ms or `deadline`.
  // Calls `done` once with kOk, kRateLimited or kRateUnavailable, perhaps
  // before it returns. A customer without a rate has no limit.
  void Acquire(const std::string& customer,
               time_point deadline,
               std::function<void(reason)> done);

  // Gives tokens and leases back for a planned stop; `done` runs within 500 ms.
  void Drain(std::function<void()> done);

  // Holds the lease of the customer's shard and mints its tokens.
  bool Owns(const std::string& customer) const;

 private:
  struct waiter {
    time_point until;
    std::function<void(reason)> done;
  };

  struct customer_state {
    std::string name;
    unsigned shard = 0;
    rate_borrower borrower;
    std::deque<waiter> waiting;
    timer_id timer = 0;
    // Last answer of an owner.
    time_point answered_at;
  };

  // Present while this node holds the lease.
  struct owned_shard {
    uint64_t epoch = 0;
    // False until all loans of former owners have been reported or have ended.
    bool ready = false;
    time_point ready_at;
    bool early_start = false;
    time_point recalled_at;
    // Members that have not reported their loans.
    std::map<uint64_t, std::string> pending;
    std::map<std::string, rate_ledger> ledgers;
  };

  struct guest {
    // First round that listed it; it may borrow once a majority has granted
    // this round or a later one.
    uint64_t round = 0;
    time_point asked_at;
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

    bool attempting = false;
    time_point attempt_at;
    time_point next_attempt;
    duration backoff = duration::zero();
    size_t refusals = 0;
    uint64_t granted_round = 0;
    std::optional<time_point> free_since;
    // What the witnesses of an acquisition know of former holders.
    std::map<uint64_t, std::string> former_guests;
    bool young_witness = false;
    // Borrowers outside the recorded roster.
    std::map<uint64_t, guest> guests;

    // Where requests for tokens go: the last known owner, or else the group
    // members in turn.
    std::string owner_address;
    size_t candidate = 0;
    std::optional<time_point> asked_at;

    // Loans moved at the last recall, to be reported again if it is repeated.
    uint64_t report_epoch = 0;
    std::vector<fbs::rate_loanT> report;
  };

  struct known_peer {
    std::string address;
    time_point seen_at;
    // First roster version with this member; the highest value before that.
    uint64_t seen_version = UINT64_MAX;
    // Set while it is not in the roster.
    std::optional<time_point> removed_at;
    bool gone = false;
  };

  void Tick();
  void ScheduleTick(duration delay);
  void TickSoon();
  bool Busy(time_point now) const;

  void LeaseTick(shard_state& shard, time_point now);
  void SendLeaseRound(shard_state& shard);
  void FailAttempt(shard_state& shard);
  void ReleaseLease(shard_state& shard);
  void BecomeOwner(shard_state& shard, uint64_t epoch);
  void LoseLease(shard_state& shard);
  // Checks the lease. Must precede each use of `shard.owned`.
  bool HoldsLease(shard_state& shard, time_point now);

  void OwnerTick(shard_state& shard, time_point now);
  void SendRecalls(shard_state& shard);
  void MarkReported(shard_state& shard, uint64_t incarnation);
  void StartMinting(shard_state& shard, bool early);
  void AdoptReport(shard_state& shard,
                   uint64_t borrower,
                   const std::vector<fbs::rate_loanT>& loans);
  // Whether a successor of this owner would know of the borrower.
  bool MayBorrow(shard_state& shard, const peer_info& borrower);
  void ServeShortage(shard_state& shard, const std::string& customer);
  rate_ledger* LedgerOf(shard_state& shard, const std::string& customer);

  customer_state& CustomerOf(const std::string& name);
  void BorrowTick(customer_state& customer);
  void SendBorrow(customer_state& customer, const borrower_request& request);
  void ServeWaiting(customer_state& customer);
  void ExpireWaiting(customer_state& customer);
  void ArmTimer(customer_state& customer);
  const std::vector<fbs::rate_loanT>& MoveLoans(shard_state& shard,
                                                uint64_t epoch);
  std::string OwnerAddress(const shard_state& shard) const;
  void NextCandidate(shard_state& shard);
  void CheckDrained();

  // A message of this process shows that older ones at its address are gone.
  void NoteAlive(const peer_info& peer);
  void MarkGone(uint64_t incarnation);

  template <typename table>
  void SendTo(const std::string& address, table message);
  void Probe(const std::string& address);
  shard_state* ShardNamed(const std::string& name);
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
  std::optional<time_point> started_at_;
  // Members, former members and guests by incarnation.
  std::map<uint64_t, known_peer> peers_;
  // Incarnation that spoke last at each address.
  std::map<std::string, uint64_t> alive_at_;
  std::vector<shard_state> shards_;
  std::map<std::string, customer_state> customers_;
  std::map<std::string, time_point> probed_at_;
  time_point confirm_probed_at_;
  timer_id tick_ = 0;
  time_point tick_at_;
  bool draining_ = false;
  time_point drain_until_;
  std::function<void()> drained_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_RATE_SERVICE_H_
