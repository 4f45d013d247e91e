#ifndef TESTING_FAKE_TARGETS_H_
#define TESTING_FAKE_TARGETS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "kernel/loop.h"
#include "kernel/random.h"
#include "wire/target_client.h"

namespace skylarkhoist {

// What the health check of a fake target reports: its real state or always the
// same one.
enum class fake_health { kAccurate, kAlwaysHealthy, kAlwaysUnhealthy };

struct fake_target_options {
  // Number of calls in progress above which the service time grows.
  int slots = 120;
  // Number of calls in progress at which the target sheds further ones with
  // status 503 and Retry-After.
  int max_calls = 850;
  duration service_time = std::chrono::milliseconds(20);
  // Service times are uniformly distributed around service_time, within this
  // fraction of it.
  double service_time_spread = 0.3;
  // Number of calls in progress that a cold target can run. With more it
  // crashes: all calls fail and it restarts.
  int cold_capacity = 8;
  bool starts_cold = true;
  // A cold target is warm after this many successful calls, but not before
  // min_warm_up_time. Until then the factor on its service time falls from
  // cold_slowdown to 1.
  int successes_to_warm = 100;
  duration min_warm_up_time = std::chrono::seconds(2);
  double cold_slowdown = 2.0;
  duration restart_time = std::chrono::seconds(1);
  // A call whose body contains this text crashes the target.
  std::string crash_marker = "crash-this-target";
  // What GET /health reports. The check uses no slot.
  fake_health health = fake_health::kAccurate;
  // If set, GET /health is answered with this id and the time that the target
  // stays cold, which TurnCold sets.
  std::string id;
  // Whether the target stops calls whose caller has gone and calls that exceed
  // their Skylark-Deadline-Ms.
  bool accepts_cancellation = true;
};

struct fake_target_counters {
  int64_t runs = 0;
  int64_t succeeded = 0;
  int64_t shed = 0;
  int64_t crashes = 0;
  // Highest number of calls in progress.
  int peak_calls = 0;
  // The same while cold, counted when a call arrives.
  int peak_cold_calls = 0;
  // Calls that arrived above the cold capacity: all, and those after nodes
  // could detect that the target is cold, from the end of a call or from
  // refused connections.
  int64_t cold_overloads = 0;
  int64_t detectable_cold_overloads = 0;
  // Run time of calls without waits for child calls: all, and the part spent on
  // calls that failed or whose caller had gone.
  duration run_time = duration::zero();
  duration wasted_run_time = duration::zero();
};

// Simulates targets by address on a loop, in place of HTTP calls to real ones.
//
//   fake_targets targets(loop, 1);
//   targets.Add("10.0.0.1:80", {});
//   targets.Call("10.0.0.1:80", request, timeout, done);
class fake_targets : public target_client {
 public:
  // Makes the child call of a request and returns a function that cancels it.
  // `done` gets the status of the child's response and must not run before the
  // function returns.
  using child_call_function = std::function<std::function<void()>(
      const std::string& address,
      const http_request& request,
      std::function<void(int status)> done)>;

  // Notified of each call: when it is handed over, with `accepted` false if the
  // target does not run it, when its run starts, and when the run ends with
  // `body` as the body of the response (empty when there is none).
  struct run_observer {
    virtual ~run_observer() = default;
    virtual void OnHandedOver(const std::string& address,
                              const http_request& request,
                              bool accepted) = 0;
    virtual void OnRunStarted(const std::string& address,
                              const http_request& request) = 0;
    virtual void OnRunEnded(const std::string& address,
                            const http_request& request,
                            const std::string& body) = 0;
  };

  // Notified of the run time of each call when it ends, without waits for child
  // calls.
  using run_time_observer = std::function<
      void(const http_request& request, duration run_time, bool useful)>;

  fake_targets(loop& run_loop, uint64_t seed)
      : loop_(run_loop), random_(seed) {}

  void Add(const std::string& address,
           const fake_target_options& options,
           child_call_function child = nullptr);
  void ObserveRunTime(run_time_observer observer) {
    run_time_observer_ = std::move(observer);
  }
  // Calls `observer` for each later call, and puts the number of the run and
  // the body of the request into each response, so that no two runs give the
  // same response.
  void ObserveRuns(run_observer* observer) { run_observer_ = observer; }

  // Multiplies the service time of calls that start within `length` from now.
  void SlowDown(const std::string& address, double factor, duration length);
  // Sheds all calls that arrive within `length` from now.
  void Shed(const std::string& address, duration length);
  // Makes the target cold without an error that nodes could notice.
  void TurnCold(const std::string& address);
  // The same for a fixed time, whatever it runs.
  void TurnCold(const std::string& address, duration cold_time);
  // Answers later health checks with bytes that are no answer, or with
  // nothing.
  void SpoilHealth(const std::string& address, bool spoiled);
  // Number of health checks that the target got.
  int HealthChecks(const std::string& address) const;
  // Adds a header field to all later responses of the target, or removes it
  // when `value` is empty.
  void SetResponseField(const std::string& address,
                        const std::string& name,
                        const std::string& value);
  // Sends `response` in place of all later responses to calls that the target
  // runs; nothing ends that.
  void ReplaceResponses(const std::string& address,
                        std::optional<http_response> response);
  // Breaks the connections of all calls; the target is back, cold, after its
  // restart time, or after `restart_time`.
  void Crash(const std::string& address,
             std::optional<duration> restart_time = std::nullopt);
  // Refuses connections for good, unless a later Crash restarts the target;
  // calls in progress go on.
  void RefuseConnections(const std::string& address);

  // False between a crash and the end of its restart.
  bool IsUp(const std::string& address) const;
  bool IsCold(const std::string& address) const;
  int running_calls(const std::string& address) const;
  const fake_target_counters& counters(const std::string& address) const;

  target_call_id Call(const std::string& address,
                      const http_request& request,
                      duration timeout,
                      callback done) override;
  void Cancel(target_call_id id) override;

 private:
  struct target_state {
    fake_target_options options;
    child_call_function child;
    fake_target_counters counters;
    std::map<std::string, std::string> response_fields;
    std::optional<http_response> replacement;
    bool is_up = true;
    bool is_cold = false;
    bool cold_detectable = false;
    time_point cold_since;
    // Set by TurnCold with a fixed time.
    time_point cold_until;
    bool health_spoiled = false;
    int health_checks = 0;
    int cold_successes = 0;
    double slow_factor = 1.0;
    time_point slow_until;
    time_point shed_until;
    int running_calls = 0;
    timer_id restart_timer = 0;
  };

  struct call_state {
    target_state* target = nullptr;
    std::string address;
    http_request request;
    // Null when the caller has gone.
    callback done;
    time_point started;
    // Start of the child call, if there is one.
    time_point child_started;
    duration child_time = duration::zero();
    std::function<void()> cancel_child;
    timer_id work_timer = 0;
    timer_id timeout_timer = 0;
    bool is_running = false;
    // Body of the response.
    std::string body;
  };

  void MarkCold(target_state& target);
  // Whether the target is up and does not shed.
  bool Accepts(const target_state& target) const;
  duration ServiceTime(target_state& target);
  target_result HealthResponse(const target_state& target) const;
  // Passes the result to the caller in the next round of the loop, without
  // running the call further.
  void Deliver(target_call_id id, const target_result& result);
  void OnWorkDone(target_call_id id);
  void Finish(target_call_id id, int status);
  void EndRun(call_state& call, bool succeeded);
  void OnTimeout(target_call_id id, target_error error);

  loop& loop_;
  mt_random random_;
  run_time_observer run_time_observer_;
  run_observer* run_observer_ = nullptr;
  uint64_t run_count_ = 0;
  std::map<std::string, target_state> targets_;
  std::map<target_call_id, call_state> calls_;
  target_call_id next_id_ = 1;
};

}  // namespace skylarkhoist

#endif  // TESTING_FAKE_TARGETS_H_
