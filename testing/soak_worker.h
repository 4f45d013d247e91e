#ifndef TESTING_SOAK_WORKER_H_
#define TESTING_SOAK_WORKER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "kernel/random.h"
#include "wire/http_server.h"
#include "wire/http_target_client.h"

namespace skylarkhoist {

struct soak_worker_settings {
  std::string listen_address;
  // Address at which the node reaches the worker; part of its status reports.
  std::string public_address;
  // Listener of the node for status reports.
  std::string node_address;
  std::string service;
  std::string zone;
  std::string id;
  int slots = 64;
  duration report_interval = std::chrono::milliseconds(300);
  size_t max_body_bytes = size_t{8} << 20U;
};

// Stand-in for a worker of the platform. It sends status reports to its node,
// runs each request for some milliseconds and reports each run to a callback.
class soak_worker {
 public:
  using run_callback = std::function<void(const http_request& request)>;

  // Aborts the process when the address cannot be bound.
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

  // Makes the worker run requests and then close their connections without a
  // response.
  void DropResponses(bool drop) { drop_responses_ = drop; }

  // Makes the worker run requests and send bytes that are no response to them.
  void SpoilResponses(bool spoil) { spoil_responses_ = spoil; }

  // Makes the worker run requests and respond that it has not run them.
  void ClaimNotExecuted(bool claim) { claim_not_executed_ = claim; }

  // Names a limit of requests per second in the responses; nothing ends it.
  void NameLimit(std::optional<double> per_second) { limit_ = per_second; }
  // Names its departure in the responses, while its reports say otherwise.
  void NameDeparture() { leaving_ = true; }
  // Leaves: deregisters, sends no more reports and calls `done` with whether
  // the node has confirmed it. Two reports from before arrive some time later.
  void Deregister(std::function<void(bool confirmed)> done);
  // Sends the report of another writer, whose id is not UTF-8.
  void SendStrayReport();
  // Becomes a new run of the worker under the same id.
  void Restart();

  static constexpr char kHealthPath[] = "/health";

  // Body and X-Response-Signature of the response to the request with this id.
  static std::string BodyFor(const std::string& id);
  static std::string SignatureFor(const std::string& id);

 private:
  std::string MakeReport();
  void Call(const std::string& call,
            const std::string& body,
            std::function<void(bool ok)> done);
  void SendReport();
  http_response MakeHealth() const;
  void Handle(const http_request& request,
              const std::shared_ptr<http_exchange>& exchange);

  event_loop* loop_;
  soak_worker_settings settings_;
  random_source* random_;
  run_callback on_run_;
  metrics counters_;
  http_target_client client_;
  int64_t report_sequence_ = 0;
  // Start time in the reports; identifies the run.
  int64_t run_ = 1;
  std::optional<double> limit_;
  bool leaving_ = false;
  bool deregistered_ = false;
  bool drop_responses_ = false;
  bool spoil_responses_ = false;
  bool claim_not_executed_ = false;
  timer_id report_timer_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  http_server server_;
};

}  // namespace skylarkhoist

#endif  // TESTING_SOAK_WORKER_H_
