#ifndef NODE_VERSION_POLICY_H_
#define NODE_VERSION_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "decisions/routing_policy.h"
#include "kernel/time.h"

namespace skylarkhoist {

// The versions of targets that may run a call. The sender names them to the
// node beside the target, where a target of another version may have started
// meanwhile.
struct version_rule {
  // When set, only this version.
  std::string required;
  // When set, all versions but this one.
  std::string excluded;

  bool Allows(const std::string& version) const {
    return (required.empty() || version == required) &&
           (excluded.empty() || version != excluded);
  }
};

// An attempt that was sent to a target.
struct versioned_attempt {
  std::string service;
  std::string route;
  std::string version;
  // Peer address of the node beside the target.
  std::string address;
};

// How an attempt ended. Refused attempts and those whose result nobody needs
// are not reported.
enum class attempt_result {
  kAnswered,
  // Answered with a server error.
  kFailed,
  // The run broke off without an answer.
  kLost,
  // No answer until the deadline of the request.
  kTimedOut,
};

// Chooses the versions of the targets that calls go to.
class version_policy {
 public:
  virtual ~version_policy() = default;

  // Returns the versions that any call to the service may go to.
  virtual version_rule RuleOf(const std::string& service) const = 0;

  // Returns the candidates of a version that only some calls may go to, if this
  // call may; otherwise nothing. The call is counted only when it is sent.
  virtual std::vector<route_candidate> TrialCandidates(
      const std::string& service,
      const std::vector<route_candidate>& candidates) const = 0;

  // Counts an attempt; `is_first` tells whether it is the first of its request.
  virtual void OnSent(const versioned_attempt& sent, bool is_first) = 0;
  // `run_time` is that at the target.
  virtual void OnEnded(const versioned_attempt& ended,
                       attempt_result result,
                       duration run_time) = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_VERSION_POLICY_H_
