#ifndef TESTING_LOG_STAND_IN_H_
#define TESTING_LOG_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/event_loop.h"
#include "kernel/json.h"
#include "kernel/metrics.h"
#include "wire/http_server.h"

namespace skylarkhoist {

// Faults in force. Counts fall by one with each use; -1 lasts until changed.
struct log_faults {
  // Requests are dropped without effect.
  bool outage = false;
  // Requests are held without effect or answer.
  bool silent = false;
  // Delay of each answer. The effect of an append is not delayed.
  duration slow = duration::zero();
  // Appends that take effect and whose connection closes without an answer.
  int64_t lose_answers = 0;
  // Appends that are refused with 429.
  int64_t refuse_appends = 0;
};

struct log_stand_in_settings {
  std::string listen_address = "127.0.0.1:0";
  // Records kept in each stream; older ones are trimmed.
  size_t retention = 100'000;
  // Appends above this rate in any second are refused; 0 means no bound.
  int max_appends_per_second = 0;
};

// In-memory stand-in for the platform's log service, with the protocol of
// http_log_client, and:
//
//   POST /admin/faults {"outage":false,"silent":false,"slow_ms":0,
//                       "lose_answers":0,"refuse_appends":0,"for_ms":0}
//     Replaces all faults; names left out mean no such fault. With `for_ms`
//     above 0 all faults end after that time.
//   GET /admin/state -> {"appends":N,"refused":N,"streams":{"NAME":END}}
class log_stand_in {
 public:
  log_stand_in(event_loop* loop, log_stand_in_settings settings);
  ~log_stand_in();
  log_stand_in(const log_stand_in&) = delete;
  log_stand_in& operator=(const log_stand_in&) = delete;

  tl::expected<void, findings> Listen() { return server_.Listen(); }
  const std::string& listen_address() const { return server_.listen_address(); }

  void SetFaults(log_faults faults) { faults_ = faults; }

  // Offset that the next append to `stream` will get.
  uint64_t EndOf(const std::string& stream) const;

 private:
  struct stream {
    uint64_t first = 1;
    std::deque<std::string> records;
    uint64_t end() const { return first + records.size(); }
  };
  using exchange_pointer = std::shared_ptr<http_exchange>;

  void Handle(const http_request& request, const exchange_pointer& exchange);
  void HandleFaults(const http_request& request,
                    const exchange_pointer& exchange);
  void HandleAppend(stream& target,
                    const http_request& request,
                    const exchange_pointer& exchange);
  void HandleRead(const stream& source,
                  const std::string& query,
                  const exchange_pointer& exchange);
  bool TakesAppend();
  void Answer(const exchange_pointer& exchange, int status, const json& body);

  event_loop* loop_;
  log_stand_in_settings settings_;
  metrics metrics_;
  log_faults faults_;
  timer_id faults_timer_ = 0;
  std::map<std::string, stream> streams_;
  std::deque<time_point> recent_appends_;
  uint64_t appends_ = 0;
  uint64_t refused_ = 0;
  uint64_t next_answer_ = 0;
  std::map<uint64_t, timer_id> answers_;
  std::vector<exchange_pointer> held_;
  http_server server_;
};

}  // namespace skylarkhoist

#endif  // TESTING_LOG_STAND_IN_H_
