#ifndef DECISIONS_FALLBACK_SHARES_H_
#define DECISIONS_FALLBACK_SHARES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "kernel/time.h"

namespace skylarkhoist {

// What a node holds of a customer's rate for the time in which it cannot reach
// the owner of the token bucket.
struct fallback_share {
  // Tokens per second that the node may generate itself.
  double per_second = 0;
  // The same of all nodes together, when this share was granted.
  double total_per_second = 0;
  // Incarnation of the owner that granted the share; 0 if none did.
  uint64_t granted_by = 0;
};

// Divides a customer's rate among the nodes that use it, at the owner of its
// token bucket. While a node is out of reach, the owner takes the tokens that
// the node may generate from the bucket, so that both sides of a network
// partition together stay within the rate.
//
// Invariant: the shares of all nodes add up to at most the rate. A new owner
// learns from the nodes that it reaches what the former one had granted, and
// leaves the rest to the nodes that it does not reach.
//
//   bucket.Charge(shares.OnContact(node, incarnation, held, generated, now));
//   bucket.Charge(shares.TakeReserved(is_live, now));
//   granted = bucket.Grant(wanted, now);
//   share = shares.ShareAfterGrant(node, granted, rate, min_share, now);
class fallback_shares {
 public:
  // How long a share lasts without contact with the owner. An owner reserves it
  // for as long, since a node that has lost power looks like one that is cut
  // off.
  static constexpr duration kRetention = std::chrono::seconds(30);
  // A node that has no demand for this long gives up its share.
  static constexpr duration kMaxIdleTime = std::chrono::seconds(3);

  fallback_shares(uint64_t owner_incarnation, time_point now)
      : owner_incarnation_(owner_incarnation), created_at_(now) {}

  // A node contacts the owner. `generated` counts the tokens that this run of
  // it has ever generated itself. Returns how many tokens to charge for the
  // time since the last contact; negative when too many were taken for it.
  double OnContact(const std::string& node,
                   uint64_t incarnation,
                   const fallback_share& held,
                   uint64_t generated,
                   time_point now);

  // Returns the tokens that nodes out of contact may have generated since the
  // last call. `is_live` tells whether a node is in reach.
  double TakeReserved(const std::function<bool(const std::string&)>& is_live,
                      time_point now);

  // Records a grant to the node and returns its share from now on.
  // `min_per_second` is the share of a node with little use of the rate.
  fallback_share ShareAfterGrant(const std::string& node,
                                 int64_t granted,
                                 double rate,
                                 double min_per_second,
                                 time_point now);

 private:
  struct entry {
    uint64_t incarnation = 0;
    // Moving average of the tokens per second that the node used.
    double use_per_second = 0;
    time_point averaged_at;
    double share = 0;
    time_point heard_at;
    // Until when the share was taken from the bucket, and how much since the
    // last contact.
    time_point charged_until;
    double charged = 0;
    uint64_t generated = 0;
  };

  static double DecayedUse(const entry& each, time_point now);
  // The part of the rate that a former owner granted to nodes that have not
  // contacted this one.
  double Inherited(time_point now) const;

  uint64_t owner_incarnation_;
  time_point created_at_;
  // By peer address.
  std::map<std::string, entry> entries_;
  // Shares of all nodes under the former owner, and of those of them that have
  // contacted this one.
  double former_total_ = 0;
  double former_reported_ = 0;
  time_point inherited_charged_until_ = created_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_FALLBACK_SHARES_H_
