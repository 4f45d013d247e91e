#ifndef NODE_REQUEST_DIALECT_H_
#define NODE_REQUEST_DIALECT_H_

#include <optional>
#include <string>

#include "decisions/reason.h"
#include "decisions/request_types.h"
#include "kernel/http.h"
#include "kernel/time.h"
#include "wire/messages_generated.h"

namespace skylarkhoist {

// What a caller says of its request.
struct request_facts {
  std::string host;
  // The caller's own id of the request, for logs; empty when it gave none.
  std::string caller_id;
  // The caller's id of the request during which a target makes this one; empty
  // when it is not told.
  std::string parent_id;
  // Whole text of the key; empty when there is none.
  std::string key;
  // How long the caller waits for the answer.
  std::optional<duration> time_left;
  // False when a field cannot be read.
  bool valid = true;
};

// What a target is told about a request that it runs.
struct handover_facts {
  // Empty on open routes.
  std::string customer;
  // Service beside the node where the request entered; empty when unknown.
  std::string caller_service;
  // Identity that the target announced; empty when it announced none.
  std::string target_id;
  // Token for the target's own calls; empty when they need none.
  std::string context_token;
  duration time_left = duration::zero();
};

// What a target's response says about the run.
enum class run_verdict {
  kRan,
  // Refused for load, before any work.
  kNotRun,
  // Another target has the address now; the request did not run.
  kOtherTarget,
};

// The header fields and responses through which callers and targets are spoken
// to. Callers see one dialect for each kind of listener.
class request_dialect {
 public:
  virtual ~request_dialect() = default;

  virtual request_facts Read(const http_request& request) const = 0;

  // Removes what a target must not see: keys, fields of one connection and
  // fields that only the system may set.
  virtual void StripRequest(http_headers* headers) const = 0;

  virtual void AddForTarget(const handover_facts& facts,
                            http_headers* headers) const = 0;

  // `made_child_calls`: the target made calls of its own for this request.
  virtual run_verdict Judge(const http_response& response,
                            bool made_child_calls) const = 0;

  // Removes what a caller must not see and adds what it is told about the
  // answer to its request.
  virtual void FinishAnswer(const request_id& id,
                            http_response* response) const = 0;

  // The answer to a request without a response of a target. `facts` are those
  // that the caller gave.
  virtual http_response MakeRefusal(const request_id& id,
                                    const request_facts& facts,
                                    reason why,
                                    fbs::ran_state ran,
                                    duration retry_after) const = 0;
};

// The project's own dialect: fields that begin with "Skylark-".
const request_dialect& OwnDialect();

}  // namespace skylarkhoist

#endif  // NODE_REQUEST_DIALECT_H_
