#ifndef TESTING_TARGET_STAND_IN_H_
#define TESTING_TARGET_STAND_IN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "wire/http_server.h"
#include "wire/http_target_client.h"

namespace skylarkhoist {

struct target_stand_in_settings {
  std::string listen_address = "127.0.0.1:0";
  std::string service;
  // Local listener of the node beside this target; empty for none.
  std::string node_address;
  // Calls that run at the same time; more are shed with 503.
  int slots = 100;
  duration service_time = std::chrono::milliseconds(10);
  // After the start, a cold target has `cold_slots` and takes
  // `cold_service_time` for a call. It is warm after `cold_calls` calls.
  int cold_slots = 0;
  duration cold_service_time = std::chrono::milliseconds(50);
  int cold_calls = 0;
  // Path that each call calls in turn through the node; empty for none.
  std::string child_path;
  std::string child_method = "POST";
  duration child_timeout = std::chrono::seconds(10);
  // A call whose body contains this text ends the process.
  std::string exit_on_body;
  duration announce_interval = std::chrono::seconds(1);
  // Least time between the announcement of the end and the end, in which the
  // node learns of it.
  duration leave_time = std::chrono::milliseconds(500);
};

// HTTP target that announces itself to its node and answers every path with
//
//   {"service":S,"method":M,"path":P,"body":B,"run":N,"child":{...}}
//
// where `run` numbers the calls of this process. `child` has the status and
// body of the child call, if there is one. A child call that does not end with
// a status below 400 makes the answer 502. GET /stand-in/state tells the counts
// of calls run, running, shed and the most that ran at once; POST
// /stand-in/settings {"slots":N,"service_time_ms":N,"cold":true} changes the
// behaviour.
class target_stand_in {
 public:
  target_stand_in(event_loop* loop, target_stand_in_settings settings);
  ~target_stand_in();
  target_stand_in(const target_stand_in&) = delete;
  target_stand_in& operator=(const target_stand_in&) = delete;

  // Listens and announces itself.
  tl::expected<void, findings> Start();
  const std::string& listen_address() const { return server_.listen_address(); }

  // Announces that this target leaves; runs `done` when its calls have ended.
  void Leave(std::function<void()> done);

  // Runs in place of exit when a body matches `exit_on_body`.
  void OnExitBody(std::function<void()> callback) {
    on_exit_body_ = std::move(callback);
  }

  uint64_t calls_run() const { return run_; }
  uint64_t calls_shed() const { return shed_; }
  int running() const { return running_; }
  int most_running() const { return most_running_; }

 private:
  using exchange_pointer = std::shared_ptr<http_exchange>;

  bool cold() const { return cold_left_ > 0; }
  void Announce();
  void CheckLeft();
  void Handle(const http_request& request, const exchange_pointer& exchange);
  bool HandleAdmin(const http_request& request,
                   const exchange_pointer& exchange);
  void CallChild(const http_request& request,
                 uint64_t number,
                 const exchange_pointer& exchange);
  void End(const http_request& request,
           uint64_t number,
           const exchange_pointer& exchange,
           const target_result* child);
  uint64_t Later(duration delay, std::function<void()> action);

  event_loop* loop_;
  target_stand_in_settings settings_;
  metrics metrics_;
  http_target_client client_;
  bool leaving_ = false;
  time_point leave_at_;
  std::function<void()> left_;
  std::function<void()> on_exit_body_;
  timer_id announce_timer_ = 0;
  uint64_t next_timer_ = 0;
  std::map<uint64_t, timer_id> timers_;
  int cold_left_ = 0;
  int running_ = 0;
  int most_running_ = 0;
  uint64_t run_ = 0;
  uint64_t shed_ = 0;
  http_server server_;
};

}  // namespace skylarkhoist

#endif  // TESTING_TARGET_STAND_IN_H_
