#ifndef DECISIONS_FALLBACK_SHARES_H_
#define DECISIONS_FALLBACK_SHARES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "decisions/reach_history.h"
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
// Invariants: the shares of all nodes add up to at most the rate. Nothing is
// taken for a node that is in reach, unless it holds a share worth watching and
// is silent although it would have contacted the owner or given up its share.
// What was taken in error is returned at the node's next contact.
//
//   bucket.Charge(shares.OnContact(node, incarnation, held, generated, now));
//   bucket.Charge(shares.TakeReserved(reach_of, counts, rate, min_share, now));
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
  // A partition is noticed within this time.
  static constexpr duration kDetectionTime = std::chrono::milliseconds(2500);
  // A node with at least this share (tokens per second) contacts the owner
  // at most one and a half of the interval below after the last contact, until
  // it gives up the share. Smaller ones amount to a few tokens before a
  // partition is noticed.
  static constexpr double kMinWatchedShare = 1.5;
  static constexpr duration kContactInterval = std::chrono::milliseconds(300);

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
  // last call. `counts` bounds what is inherited from a former owner, and
  // lost nodes without a share may use `min_per_second`.
  double TakeReserved(
      const std::function<node_reach(const std::string&)>& reach_of,
      reach_counts counts,
      double rate,
      double min_per_second,
      time_point now);

  // Records a grant to the node and returns its share from now on.
  // `min_per_second` is the share of a node with little use of the rate.
  fallback_share ShareAfterGrant(const std::string& node,
                                 int64_t granted,
                                 double rate,
                                 double min_per_second,
                                 time_point now);

  // Tokens per second that are reserved at present.
  double reserved_per_second() const { return reserved_per_second_; }

 private:
  struct entry {
    uint64_t incarnation = 0;
    // Moving average of the tokens per second that the node used.
    double use_per_second = 0;
    time_point averaged_at;
    double share = 0;
    // Granted by the former owner.
    double former_share = 0;
    // The node has confirmed a share of this owner, so it contacts the owner
    // regularly. Nodes of earlier versions do not.
    bool confirmed = false;
    time_point heard_at;
    // The same, or later by the time in which the owner's process did not run.
    time_point silent_since;
    // Until when the share was taken from the bucket, and how much since the
    // last contact.
    time_point charged_until;
    double charged = 0;
    uint64_t generated = 0;
  };

  static double DecayedUse(const entry& each, time_point now);
  void AddUse(entry* to, double tokens, time_point now);
  void SetShare(entry* of, double share);
  void ForgetStall(time_point now);
  double ChargeSilence(entry* silent, node_reach reach, time_point now);

  uint64_t owner_incarnation_;
  time_point created_at_;
  // By peer address.
  std::map<std::string, entry> entries_;
  // Sums over all entries.
  double total_use_ = 0;
  time_point total_averaged_at_ = created_at_;
  double total_shares_ = 0;
  // Shares of all nodes under the former owner, and of those of them that have
  // contacted this one.
  double former_total_ = 0;
  double former_reported_ = 0;
  // The part of the rate that nodes out of reach may use that have not
  // contacted this owner, for example because a former one granted it.
  double inherited_ = 0;
  time_point inherited_charged_until_ = created_at_;
  double reserved_per_second_ = 0;
  time_point called_at_ = created_at_;
  time_point taken_at_ = created_at_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_FALLBACK_SHARES_H_
