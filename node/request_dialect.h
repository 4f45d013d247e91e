#ifndef NODE_REQUEST_DIALECT_H_
#define NODE_REQUEST_DIALECT_H_

#include <optional>
#include <string>

#include "decisions/reason.h"
#include "decisions/request_types.h"
#include "decisions/target_status.h"
#include "kernel/http.h"
#include "kernel/time.h"
#include "wire/messages_generated.h"

namespace skylarkhoist {

// What the header fields of a request say about it.
struct request_metadata {
  std::string host;
  // The caller's own id of the request, for logs; empty when it sent none.
  std::string caller_id;
  // The caller's id of the request that a target was running when it made this
  // one; empty when unknown.
  std::string parent_id;
  // The whole API key without the Bearer prefix; empty when there is none.
  std::string key;
  // How long the caller waits for the response.
  std::optional<duration> time_left;
  // False when a header field is malformed.
  bool valid = true;
};

// What a target is told about a request that it runs.
struct target_request_metadata {
  // Empty on open routes.
  std::string customer;
  // Service of the target beside the node where the request entered; empty when
  // unknown.
  std::string caller_service;
  // Id from the target's announcement; empty when it announced none.
  std::string target_id;
  // Token that authorizes the target's child calls; empty when they need none.
  std::string context_token;
  duration time_left = duration::zero();
};

// What a target's response to a health check says.
struct target_health {
  // Id of the target that answered.
  std::string target_id;
  // How long it stays cold from its answer on.
  duration cold_remaining = duration::zero();
};

// What the response of a target says about the execution of the request.
enum class run_outcome {
  kRan,
  // Refused because of load, before any work was done.
  kShed,
  // Another target uses the address now; the request did not run.
  kWrongTarget,
};

// The HTTP conventions between the system and its callers and targets: header
// fields and error responses. Each kind of deployment has its own dialect.
class request_dialect {
 public:
  virtual ~request_dialect() = default;

  virtual request_metadata ReadMetadata(const http_request& request) const = 0;

  // Removes header fields that a target must not see: keys, hop-by-hop fields
  // and fields that only the system may set.
  virtual void StripRequest(http_headers* headers) const = 0;

  virtual void AddTargetHeaders(const target_request_metadata& metadata,
                                http_headers* headers) const = 0;

  // Whether a target gave this response to the request that its caller named
  // `caller_id`. A faulty target may send other bytes in its place, which prove
  // nothing about the request: it may have run.
  virtual bool IsAnswerTo(const std::string& caller_id,
                          const http_response& response) const {
    static_cast<void>(caller_id);
    static_cast<void>(response);
    return true;
  }

  // `made_child_calls`: the target made child calls for this request.
  virtual run_outcome ClassifyResponse(const http_response& response,
                                       bool made_child_calls) const = 0;

  // Returns what the target says about itself in a response to any request.
  virtual target_status ReadTargetStatus(const http_response& response) const {
    static_cast<void>(response);
    return {};
  }

  // Returns nothing if the response is not that of a target that tells its
  // health.
  virtual std::optional<target_health> ReadHealth(
      const http_response& response) const {
    static_cast<void>(response);
    return std::nullopt;
  }

  // Removes header fields that a caller must not see and adds those that tell
  // it about the result of its request.
  virtual void FinishResponse(const request_id& id,
                              http_response* response) const = 0;

  // Builds the response to a request that has no response from a target.
  // `metadata` is that of the request.
  virtual http_response BuildErrorResponse(const request_id& id,
                                           const request_metadata& metadata,
                                           reason why,
                                           fbs::ran_state ran,
                                           duration retry_after) const = 0;
};

// The dialect of this project; its header fields begin with "Skylark-".
const request_dialect& SkylarkDialect();

}  // namespace skylarkhoist

#endif  // NODE_REQUEST_DIALECT_H_
