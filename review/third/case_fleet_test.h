#ifndef REVIEW_THIRD_CASE_FLEET_TEST_H_
#define REVIEW_THIRD_CASE_FLEET_TEST_H_

#include <sys/types.h>

#include <atomic>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/event_loop.h"
#include "kernel/json.h"
#include "kernel/metrics.h"
#include "testing/store_stand_in.h"
#include "wire/http_server.h"
#include "wire/http_target_client.h"

// Stand-ins for the cases of this review: the platform, which starts the node
// processes and ends those that exceed their memory, workers, and clients.

namespace skylarkhoist {

// Writes what was sent, answered and run. Any thread may use it.
class case_record {
 public:
  explicit case_record(const std::string& path);
  ~case_record();
  case_record(const case_record&) = delete;
  case_record& operator=(const case_record&) = delete;

  void Write(const std::string& line);

 private:
  std::mutex mutex_;
  FILE* file_;
  std::chrono::steady_clock::time_point started_at_;
};

// Response as a client or a worker's caller sees it.
struct received_response {
  int status = 0;
  std::map<std::string, std::string> fields;
  std::string body;
  // Whether the whole response arrived.
  bool complete = false;
  // Whether any byte arrived.
  bool begun = false;
  // Whether the connection ended, and not the client's patience.
  bool closed = false;
};

// Connection of a client, with blocking calls.
class client_connection {
 public:
  // `receive_buffer` is the size of the socket's buffer, or 0 for the default.
  explicit client_connection(const std::string& address,
                             int receive_buffer = 0);
  ~client_connection() { Close(); }
  client_connection(const client_connection&) = delete;
  client_connection& operator=(const client_connection&) = delete;

  bool is_open() const { return fd_ >= 0; }
  int fd() const { return fd_; }
  void Close();
  // Returns false if the connection ended before all bytes were sent.
  bool Send(std::string_view bytes) const;
  // Reads one response. Reads at most `bytes_per_second`, if that is not 0.
  received_response Read(duration timeout, size_t bytes_per_second = 0);

 private:
  int fd_ = -1;
  std::string input_;
};

// Builds a request with the fields that the platform's clients send.
std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        size_t body_bytes = 0);

// What a worker stand-in does with one request.
using run_handler =
    std::function<void(const std::string& id,
                       const http_request& request,
                       const std::shared_ptr<http_exchange>& exchange)>;

struct case_node {
  std::string name;
  std::string zone;
  std::string host;
  std::string settings_file;
  std::string log_file;
  int memory_mb = 0;
  pid_t pid = 0;
  bool restarts = true;
  // Times that the process was ended for exceeding its memory.
  int memory_kills = 0;
  int exits = 0;
  int64_t largest_kb = 0;

  std::string request_address() const { return host + ":7000"; }
  std::string control_address() const { return host + ":7002"; }
  std::string worker_address() const { return host + ":7011"; }
};

// A sound worker that reports its status to the node of its machine. It also
// answers health probes, and says there whether it is cold.
class case_worker {
 public:
  case_worker(event_loop* loop,
              const case_node& node,
              std::string service,
              std::string id,
              run_handler handler,
              bool serves,
              int slots = 109);
  ~case_worker();
  case_worker(const case_worker&) = delete;
  case_worker& operator=(const case_worker&) = delete;

  // The worker is cold for `length` from now on. Its next reports say so.
  void BecomeCold(duration length) { cold_until_ = loop_->Now() + length; }

 private:
  int64_t ColdMs() const;
  void Report();
  void Handle(const http_request& request,
              const std::shared_ptr<http_exchange>& exchange);

  event_loop* loop_;
  int slots_;
  std::string service_;
  std::string id_;
  std::string zone_;
  std::string address_;
  std::string control_address_;
  run_handler handler_;
  int64_t born_;
  int64_t sequence_ = 0;
  time_point cold_until_;
  timer_id report_timer_ = 0;
  metrics counters_;
  http_target_client client_;
  std::unique_ptr<http_server> server_;
};

struct fleet_options {
  std::string program;
  std::string record_file;
  int nodes = 3;
  int memory_mb = 160;
};

struct route_options {
  std::string prefix;
  std::string kind;
  std::string service;
  int timeout_ms = 6000;
  int priority = 1;
};

// The platform: its store, the processes of the nodes, and its readiness
// checks.
class case_fleet {
 public:
  explicit case_fleet(const fleet_options& options);
  ~case_fleet();
  case_fleet(const case_fleet&) = delete;
  case_fleet& operator=(const case_fleet&) = delete;

  event_loop& loop() { return loop_; }
  case_record& record() { return record_; }
  std::vector<case_node>& nodes() { return nodes_; }
  void PublishConfig(const std::vector<route_options>& routes);
  // Evacuates a zone, or takes that back.
  void SetEvacuated(const std::string& zone, bool evacuated);
  void StartNodes();
  // Waits until each node answers its readiness check with 200.
  bool WaitUntilReady(duration timeout);
  void Signal(case_node* node, int signal_number);
  void RunFor(duration time);
  // Runs the loop until `done` is set.
  bool RunUntilDone(const std::atomic<bool>& done, duration timeout);

 private:
  void StartProcess(case_node* node);
  void Supervise();
  void CheckReady();

  fleet_options options_;
  std::string directory_;
  std::string prefix_;
  event_loop loop_;
  case_record record_;
  std::unique_ptr<store_stand_in> store_;
  http_target_client client_;
  std::vector<case_node> nodes_;
  std::map<std::string, bool> ready_;
  int version_ = 4;
};

std::string BodyOf(const std::string& id, size_t size);
std::string SignatureOf(const std::string& id);
http_response AnswerTo(const std::string& id, size_t body_size);

}  // namespace skylarkhoist

#endif  // REVIEW_THIRD_CASE_FLEET_TEST_H_
