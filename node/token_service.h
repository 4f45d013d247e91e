#ifndef NODE_TOKEN_SERVICE_H_
#define NODE_TOKEN_SERVICE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "decisions/config_view.h"
#include "decisions/reason.h"
#include "decisions/token_mint.h"
#include "decisions/token_purse.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Holds customers to their rates over all nodes. Each customer's tokens are
// minted by one node, which all nodes choose alike by rendezvous hashing over
// the nodes that they have links with; the others ask it for tokens.
//
// Invariant: a node mints only while it has links with a majority of the nodes
// that are not known to have ended, so two nodes mint for the same customer at
// most for the time in which a cut stays unnoticed. Nodes that a cut separates
// from the mint go on at the rate that they had.
class token_service {
 public:
  token_service(loop* loop,
                peer_transport* transport,
                std::string own_address,
                std::string own_name,
                metrics* counters);
  ~token_service();
  token_service(const token_service&) = delete;
  token_service& operator=(const token_service&) = delete;

  void SetConfig(std::shared_ptr<const config_view> config);

  // Names of the nodes with a link, by peer address, with this one.
  void SetMembers(const std::map<std::string, std::string>& names,
                  bool has_majority);

  // Takes a token for one request of `customer`: reports reason::kOk, or
  // kRateLimited when there is none. May call back at once.
  void Acquire(const std::string& customer, std::function<void(reason)> done);

  // The request for which a token was taken did not run.
  void Return(const std::string& customer);

  void HandleRequest(const peer_info& from, const fbs::token_requestT& request);
  void HandleGrant(const peer_info& from, const fbs::token_grantT& grant);

 private:
  struct waiter {
    std::function<void(reason)> done;
    time_point until;
  };
  struct account {
    token_purse purse;
    std::deque<waiter> waiters;
    // Peer address of the node that mints; empty while it is unknown.
    std::string owner;
  };
  // The exchange with one owner.
  struct lender {
    uint64_t round = 0;
    bool asked = false;
    // It has not answered, or does not mint for this node.
    bool away = false;
    time_point asked_at;
    timer_id timer = 0;
  };

  std::string OwnerOf(const std::string& customer) const;
  void AssignOwners();
  bool MintsHere(const std::string& customer, const account& checked) const;
  bool IsReachable(const account& checked) const;
  account* FindAccount(const std::string& customer);
  int64_t MintHere(const std::string& customer, int64_t wanted, bool* is_short);
  void AskSoon(const std::string& owner);
  void Ask(const std::string& owner);
  void OnSilence(const std::string& owner);
  void Serve(account& served);
  void FailWaiters(const std::string& owner);
  void SetAway(const std::string& owner, bool away, const char* cause);

  loop* loop_;
  peer_transport* transport_;
  std::string own_address_;
  std::string own_name_;
  std::shared_ptr<const config_view> config_ =
      std::make_shared<const config_view>();
  std::map<std::string, std::string> names_;
  bool has_majority_ = false;
  std::map<std::string, account> accounts_;
  std::map<std::string, token_mint> mints_;
  std::map<std::string, lender> lenders_;
  prometheus::Counter& granted_;
  prometheus::Counter& refused_;
  prometheus::Counter& blind_;
};

}  // namespace skylarkhoist

#endif  // NODE_TOKEN_SERVICE_H_
