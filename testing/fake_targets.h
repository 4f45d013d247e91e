#ifndef TESTING_FAKE_TARGETS_H_
#define TESTING_FAKE_TARGETS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "kernel/loop.h"
#include "kernel/random.h"
#include "wire/target_client.h"

namespace skylarkhoist {

enum class fake_health { kTrue, kAlwaysGood, kAlwaysBad };

struct fake_target_options {
  // Calls in progress at which the service time begins to grow.
  int slots = 120;
  // Calls in progress at which further ones are shed with status 503 and
  // Retry-After.
  int connections = 850;
  duration service_time = std::chrono::milliseconds(20);
  // Service times are uniform within this share around service_time.
  double spread = 0.3;
  // Calls in progress that a cold target bears. It falls over when it gets
  // more: all calls fail and it restarts.
  int cold_capacity = 8;
  bool starts_cold = true;
  // A cold target gets warm by this many successes, after this time at the
  // earliest. Until then its service time falls from cold_factor to 1.
  int warm_successes = 100;
  duration warm_time = std::chrono::seconds(2);
  double cold_factor = 2.0;
  duration restart_time = std::chrono::seconds(1);
  // A call whose body contains this text crashes the target.
  std::string crash_mark = "crash-this-target";
  // What GET /health answers. It takes no slot.
  fake_health health = fake_health::kTrue;
  // Stops the work for calls whose caller has gone, and for calls past their
  // Skylark-Deadline-Ms.
  bool accepts_cancellation = true;
};

struct fake_target_counters {
  int64_t runs = 0;
  int64_t succeeded = 0;
  int64_t shed = 0;
  int64_t crashes = 0;
  int peak = 0;
  // Most calls in progress while cold, counted when a call arrives.
  int cold_peak = 0;
  // Calls that arrived above the cold capacity: all, and those after the target
  // had shown its state by a slow answer or an error.
  int64_t cold_over = 0;
  int64_t cold_over_after_sign = 0;
  // Target time, without waits for child calls: all, and the part that went to
  // calls that failed or whose caller had gone.
  duration work = duration::zero();
  duration wasted = duration::zero();
};

// Targets by address on a loop, in place of HTTP calls to real ones.
//
//   fake_targets targets(loop, 1);
//   targets.Add("10.0.0.1:80", {});
//   targets.Call("10.0.0.1:80", request, timeout, done);
class fake_targets : public target_client {
 public:
  // Makes the child call of a request; returns how to cancel it. `done` gets
  // the status of the child's response and must not run before the function
  // returns.
  using child_call = std::function<std::function<void()>(
      const std::string& address,
      const http_request& request,
      std::function<void(int status)> done)>;

  // Told about each call: when it is handed over, whether or not the target
  // takes it, when its run starts, and when the run ends with `body` as the
  // body of the response (empty when there is none).
  struct run_observer {
    virtual ~run_observer() = default;
    virtual void OnHandedOver(const std::string& address,
                              const http_request& request,
                              bool taken) = 0;
    virtual void OnRunStarted(const std::string& address,
                              const http_request& request) = 0;
    virtual void OnRunEnded(const std::string& address,
                            const http_request& request,
                            const std::string& body) = 0;
  };

  // Told about the target time of each call when it ends.
  using work_observer = std::function<
      void(const http_request& request, duration work, bool succeeded)>;

  fake_targets(loop& on, uint64_t seed) : loop_(on), random_(seed) {}

  void Add(const std::string& address,
           const fake_target_options& options,
           child_call child = nullptr);
  void Observe(work_observer observer) { observer_ = std::move(observer); }
  // From now on each response carries the number of its run and the body of its
  // request, so that no two runs give the same response.
  void ObserveRuns(run_observer* observer) { run_observer_ = observer; }

  // Multiplies the service time of calls that start within `length`.
  void SlowDown(const std::string& address, double factor, duration length);
  // Sheds all calls that arrive within `length`.
  void Shed(const std::string& address, duration length);
  // Loses the warm state without a sign.
  void TurnCold(const std::string& address);
  // Breaks all calls; the target is back, and cold, after the restart time.
  void Crash(const std::string& address);
  // Refuses connections until Crash or for good; calls in progress go on.
  void Close(const std::string& address);

  // False between a crash and the end of its restart.
  bool IsUp(const std::string& address) const;
  bool IsCold(const std::string& address) const;
  int running(const std::string& address) const;
  const fake_target_counters& counters(const std::string& address) const;

  target_call_id Call(const std::string& address,
                      const http_request& request,
                      duration timeout,
                      callback done) override;
  void Cancel(target_call_id id) override;

 private:
  struct target {
    fake_target_options options;
    child_call child;
    fake_target_counters counters;
    bool up = true;
    bool cold = false;
    bool shown_cold = false;
    time_point cold_since;
    int cold_successes = 0;
    double slow_factor = 1.0;
    time_point slow_until;
    time_point shed_until;
    int running = 0;
    timer_id restart = 0;
  };

  struct call {
    target* at = nullptr;
    std::string address;
    http_request request;
    // Empty when the caller has gone.
    callback done;
    time_point started;
    // When the wait for the child call began, if one runs.
    time_point child_since;
    duration child_time = duration::zero();
    std::function<void()> cancel_child;
    timer_id work_timer = 0;
    timer_id timeout_timer = 0;
    bool in_target = false;
    // Body of the response.
    std::string body;
  };

  void BecomeCold(target& at);
  // Neither down nor shedding.
  bool Takes(const target& at) const;
  duration ServiceTime(target& at);
  // Answers without running.
  void Answer(target_call_id id, const target_result& result);
  void OnWorkDone(target_call_id id);
  void Finish(target_call_id id, int status);
  void Release(call& ended, bool succeeded);
  void OnTimeout(target_call_id id, target_error error);

  loop& loop_;
  mt_random random_;
  work_observer observer_;
  run_observer* run_observer_ = nullptr;
  uint64_t runs_ = 0;
  std::map<std::string, target> targets_;
  std::map<target_call_id, call> calls_;
  target_call_id next_id_ = 1;
};

}  // namespace skylarkhoist

#endif  // TESTING_FAKE_TARGETS_H_
