#ifndef NODE_TOKEN_SERVICE_H_
#define NODE_TOKEN_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decisions/config_view.h"
#include "decisions/fallback_shares.h"
#include "decisions/reach_history.h"
#include "decisions/reason.h"
#include "decisions/token_bucket.h"
#include "decisions/token_cache.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// The nodes among which the owners of token buckets are chosen.
struct token_members {
  // Names of this node and of the live nodes in its reach, by peer address.
  std::map<std::string, std::string> names;
  // Peer addresses of the nodes that are out of reach and not known to have
  // ended.
  std::set<std::string> out_of_reach;
  // They are a majority of the nodes that are not known to have ended.
  bool has_majority = false;
  // All of them choose owners among a few nodes only, as this version does.
  bool all_limit_owners = true;
};

// Limits each customer to its rate over all nodes together. One node, the
// owner, holds the token bucket of a customer; the others request tokens from
// it. Every node chooses the owner by rendezvous hashing over a few of the live
// nodes, so that it needs links with few of them.
//
// Invariant: a node grants tokens from its buckets only while a majority of the
// nodes that are not known to have ended are in its reach. So two nodes grant
// tokens of the same customer at most until they detect a network partition.
// Nodes that a partition separates from the owner continue at their share of
// the rate, which the owner sets aside for them (fallback_shares).
class token_service {
 public:
  token_service(loop* loop,
                peer_transport* transport,
                std::string own_address,
                std::string own_name,
                uint64_t incarnation,
                metrics* counters);
  ~token_service();
  token_service(const token_service&) = delete;
  token_service& operator=(const token_service&) = delete;

  void SetConfig(std::shared_ptr<const config_view> config);

  void SetMembers(const token_members& members);

  // Takes a token for one request of `customer`. Reports reason::kOk, or
  // kRateLimited when there is none. May call `done` before it returns.
  void Acquire(const std::string& customer, std::function<void(reason)> done);

  // Returns the token of a request that did not run.
  void Return(const std::string& customer);

  void HandleRequest(const peer_info& from, const fbs::token_requestT& request);
  void HandleGrant(const peer_info& from, const fbs::token_grantT& grant);

 private:
  struct waiter {
    std::function<void(reason)> done;
    time_point deadline;
  };
  struct account {
    // Tokens that this node holds for its next requests.
    token_cache tokens;
    std::deque<waiter> waiters;
    // Peer address of the node with the token bucket; empty while unknown.
    std::string owner;
    // When the owner was last told this node's share.
    time_point share_told_at;
    // The owner was not ready to learn the share.
    bool must_tell_share = false;
  };
  // State of the token requests to one owner.
  struct owner_session {
    // Number of the last request; grants of earlier ones are ignored.
    uint64_t round = 0;
    bool request_pending = false;
    // It has not answered in time, or does not consider itself the owner.
    bool unavailable = false;
    time_point requested_at;
    timer_id timer = 0;
  };

  void ChooseOwnerCandidates();
  std::string OwnerOf(const std::string& customer) const;
  void AssignOwners();
  bool OwnsBucket(const std::string& customer, const account& checked) const;
  bool IsOwnerReachable(const account& checked) const;
  account* FindAccount(const std::string& customer);
  // State of a customer's rate at its owner.
  struct owned_rate {
    token_bucket bucket;
    fallback_shares shares;
    // Tokens are reserved for nodes out of contact.
    bool has_reserved = false;
  };
  struct grant_result {
    int64_t granted = 0;
    bool is_short = false;
    fallback_share share;
  };

  // Grants tokens to a node, which may be this one, and sets its share.
  grant_result Grant(const std::string& customer,
                     const peer_info& node,
                     int64_t wanted,
                     const fallback_share& held,
                     uint64_t generated);
  // Tokens per second of a node that uses little of the customer's rate.
  double MinShare(const std::string& customer) const;
  owned_rate& OwnedRate(const std::string& customer);
  // Takes the tokens of nodes out of contact from the bucket.
  void TakeReserved(const std::string& customer, owned_rate* from);
  // Tells an owner, without a request for tokens, which shares this node holds
  // or has given up.
  void TellShares(const std::string& owner,
                  const std::vector<std::string>& customers);
  void KeepShares();
  void ScheduleKeepShares();
  void ScheduleRequest(const std::string& owner);
  void SendRequest(const std::string& owner);
  void OnRequestTimeout(const std::string& owner);
  void ServeWaiters(account& served);
  void ServeWaitersOf(const std::string& owner);
  void SetUnavailable(const std::string& owner,
                      bool unavailable,
                      const char* cause);

  loop* loop_;
  peer_transport* transport_;
  std::string own_address_;
  std::string own_name_;
  uint64_t incarnation_;
  std::shared_ptr<const config_view> config_ =
      std::make_shared<const config_view>();
  token_members members_;
  reach_history history_;
  // Names of the nodes that may own a bucket, by peer address.
  std::map<std::string, std::string> owner_candidates_;
  // By customer; the second are those that this node owns.
  std::map<std::string, account> accounts_;
  std::map<std::string, owned_rate> owned_rates_;
  // By peer address.
  std::map<std::string, owner_session> owner_sessions_;
  prometheus::Counter& granted_;
  prometheus::Counter& refused_;
  prometheus::Counter& granted_without_owner_;
  prometheus::Counter& reserved_;
  timer_id keep_timer_ = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_TOKEN_SERVICE_H_
