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
  // Local listener of the node on this machine; empty for none.
  std::string node_address;
  // Maximum number of calls that run at the same time; further ones are shed
  // with 503.
  int slots = 100;
  duration service_time = std::chrono::milliseconds(10);
  // The target is cold until it has finished `cold_calls` calls. While cold, it
  // has `cold_slots` slots, and a call takes `cold_service_time`.
  int cold_slots = 0;
  duration cold_service_time = std::chrono::milliseconds(50);
  int cold_calls = 0;
  // Path of the child call that each call makes through the node; empty for
  // none.
  std::string child_path;
  std::string child_method = "POST";
  duration child_timeout = std::chrono::seconds(10);
  // A call whose body contains this text ends the process; empty for none.
  std::string exit_on_body;
  duration announce_interval = std::chrono::seconds(1);
  // Minimum time between announcing that the target leaves and the end of its
  // work, so that the node stops sending calls.
  duration min_leave_time = std::chrono::milliseconds(500);
};

// HTTP target that announces itself to its node. The response to a call is
//
//   {"service":S,"method":M,"path":P,"body":B,"run":N,"child":{...}}
//
// where `run` is the number of the call, counted from 1, and `child` has the
// status and body of the response to the child call, if there is one. The
// status is 502 when the child call failed or got a status of 400 or above. Two
// endpoints are for tests:
//
//   GET /stand-in/state -> {"run":N,"running":N,"most_running":N,"shed":N,
//                           "cold":false}
//     Calls started, calls running now and at most, and calls shed.
//   POST /stand-in/settings {"slots":N,"service_time_ms":N,"cold":true}
//     Changes these settings; `cold` true makes the target cold again.
class target_stand_in {
 public:
  target_stand_in(event_loop* loop, target_stand_in_settings settings);
  ~target_stand_in();
  target_stand_in(const target_stand_in&) = delete;
  target_stand_in& operator=(const target_stand_in&) = delete;

  // Listens and announces itself.
  tl::expected<void, findings> Start();
  const std::string& listen_address() const { return server_.listen_address(); }

  // Announces that this target leaves, and runs `done` once its calls have
  // ended and `min_leave_time` has passed.
  void Leave(std::function<void()> done);

  // Sets a function that runs, instead of an exit of the process, when a body
  // contains `exit_on_body`.
  void SetExitHandler(std::function<void()> handler) {
    exit_handler_ = std::move(handler);
  }

  uint64_t calls_started() const { return calls_started_; }
  uint64_t calls_shed() const { return calls_shed_; }
  int running_calls() const { return running_calls_; }
  int peak_running_calls() const { return peak_running_calls_; }

 private:
  using exchange_pointer = std::shared_ptr<http_exchange>;

  bool cold() const { return cold_calls_left_ > 0; }
  void Announce();
  void FinishLeaveWhenIdle();
  void Handle(const http_request& request, const exchange_pointer& exchange);
  bool HandleAdmin(const http_request& request,
                   const exchange_pointer& exchange);
  void CallChild(const http_request& request,
                 uint64_t call_number,
                 const exchange_pointer& exchange);
  void FinishCall(const http_request& request,
                  uint64_t call_number,
                  const exchange_pointer& exchange,
                  const target_result* child);
  uint64_t Schedule(duration delay, std::function<void()> action);

  event_loop* loop_;
  target_stand_in_settings settings_;
  metrics metrics_;
  http_target_client client_;
  bool leaving_ = false;
  time_point earliest_end_;
  std::function<void()> on_left_;
  std::function<void()> exit_handler_;
  timer_id announce_timer_ = 0;
  uint64_t next_timer_number_ = 0;
  std::map<uint64_t, timer_id> timers_;
  int cold_calls_left_ = 0;
  int running_calls_ = 0;
  int peak_running_calls_ = 0;
  uint64_t calls_started_ = 0;
  uint64_t calls_shed_ = 0;
  http_server server_;
};

}  // namespace skylarkhoist

#endif  // TESTING_TARGET_STAND_IN_H_
