#ifndef TESTING_SOAK_WORKER_H_
#define TESTING_SOAK_WORKER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "kernel/random.h"
#include "wire/http_server.h"
#include "wire/http_target_client.h"

namespace skylarkhoist {

struct soak_worker_settings {
  std::string listen_address;
  // Where it is reached; reported to the node.
  std::string public_address;
  // Listener of its node for status reports.
  std::string node_address;
  std::string service;
  std::string zone;
  std::string id;
  int slots = 64;
  duration report_interval = std::chrono::milliseconds(300);
};

// A worker of the platform that reports to its node, runs requests for some
// milliseconds and tells each run.
class soak_worker {
 public:
  using run_callback = std::function<void(const http_request& request)>;

  // Ends the process when the address cannot be bound.
  soak_worker(event_loop* loop,
              soak_worker_settings settings,
              random_source* random,
              run_callback on_run);
  ~soak_worker();
  soak_worker(const soak_worker&) = delete;
  soak_worker& operator=(const soak_worker&) = delete;

  const std::string& address() const { return server_.listen_address(); }
  void SetPublicAddress(const std::string& address) {
    settings_.public_address = address;
  }
  void StartReports();

  // Runs requests, and closes their connections without an answer.
  void LoseAnswers(bool lose) { lose_answers_ = lose; }

  // Runs requests and says that it has not; shows that the checks of the soak
  // report it.
  void DenyRuns(bool deny) { deny_runs_ = deny; }

  // What it answers to the request with this id.
  static std::string BodyFor(const std::string& id);
  static std::string SignatureFor(const std::string& id);

 private:
  void Report();
  void Handle(const http_request& request,
              const std::shared_ptr<http_exchange>& exchange);

  event_loop* loop_;
  soak_worker_settings settings_;
  random_source* random_;
  run_callback on_run_;
  metrics counters_;
  http_target_client client_;
  int64_t sequence_ = 0;
  bool lose_answers_ = false;
  bool deny_runs_ = false;
  timer_id report_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  http_server server_;
};

}  // namespace skylarkhoist

#endif  // TESTING_SOAK_WORKER_H_
