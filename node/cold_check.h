#ifndef NODE_COLD_CHECK_H_
#define NODE_COLD_CHECK_H_

#include <functional>
#include <string>

#include "kernel/loop.h"
#include "kernel/metrics.h"
#include "node/request_dialect.h"
#include "wire/target_client.h"

namespace skylarkhoist {

// Asks one target for its health until an answer tells how long the target
// stays cold.
class cold_check {
 public:
  // `asked_at` is when the answered request was sent.
  using callback =
      std::function<void(time_point asked_at, duration cold_remaining)>;

  cold_check(loop* loop,
             target_client* targets,
             const request_dialect* dialect,
             metrics* counters);
  ~cold_check();
  cold_check(const cold_check&) = delete;
  cold_check& operator=(const cold_check&) = delete;

  // Asks the target `id` at `address` with GET requests for `path`. Ends a
  // check in progress. `done` runs once, not before Start returns.
  void Start(const std::string& address,
             const std::string& id,
             const std::string& path,
             callback done);

  // `done` does not run any more.
  void Stop();

 private:
  void Ask();
  void OnResult(time_point asked_at, const target_result& result);

  loop* loop_;
  target_client* targets_;
  const request_dialect* dialect_;
  std::string address_;
  std::string id_;
  std::string path_;
  callback done_;
  // 0 when no request is open or no further one is due.
  target_call_id call_ = 0;
  timer_id retry_timer_ = 0;
  prometheus::Counter& answered_;
  prometheus::Counter& unanswered_;
};

}  // namespace skylarkhoist

#endif  // NODE_COLD_CHECK_H_
