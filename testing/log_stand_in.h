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

// Faults to inject. Each use decrements a positive count; a negative count does
// not change.
struct log_faults {
  // Requests have no effect, and their connection is closed.
  bool outage = false;
  // Requests have no effect, and their connection stays open without a
  // response.
  bool silent = false;
  // Delay of each response. The effect of an append is not delayed.
  duration response_delay = duration::zero();
  // Number of appends that take effect but whose connection is closed without a
  // response.
  int64_t lose_answers = 0;
  // Number of appends that are refused with 429.
  int64_t refuse_appends = 0;
};

struct log_stand_in_settings {
  std::string listen_address = "127.0.0.1:0";
  // Records kept in each stream; older ones are trimmed.
  size_t retention = 100'000;
  // Appends beyond this number in any second are refused; 0 means no bound.
  int max_appends_per_second = 0;
};

// In-memory stand-in for the platform's log service. It speaks the protocol of
// http_log_client and has two endpoints for tests:
//
//   POST /admin/faults {"outage":false,"silent":false,"slow_ms":0,
//                       "lose_answers":0,"refuse_appends":0,"for_ms":0}
//     Replaces all faults; an absent field means no such fault. With `for_ms`
//     above 0 all faults end after that time.
//   GET /admin/state -> {"appends":N,"refused":N,"streams":{"NAME":END}}
//     Counts of appends accepted and refused, and for each stream the offset
//     that its next append will get.
class log_stand_in {
 public:
  log_stand_in(event_loop* loop, log_stand_in_settings settings);
  ~log_stand_in();
  log_stand_in(const log_stand_in&) = delete;
  log_stand_in& operator=(const log_stand_in&) = delete;

  tl::expected<void, findings> Listen() { return server_.Listen(); }
  const std::string& listen_address() const { return server_.listen_address(); }

  void SetFaults(log_faults faults) { faults_ = faults; }

  // Offset that the next append to the stream will get.
  uint64_t EndOffset(const std::string& stream_name) const;

 private:
  struct log_stream {
    uint64_t first_offset = 1;
    std::deque<std::string> records;
    uint64_t end_offset() const { return first_offset + records.size(); }
  };
  using exchange_pointer = std::shared_ptr<http_exchange>;

  void Handle(const http_request& request, const exchange_pointer& exchange);
  void HandleFaults(const http_request& request,
                    const exchange_pointer& exchange);
  void HandleAppend(log_stream& stream,
                    const http_request& request,
                    const exchange_pointer& exchange);
  void HandleRead(const log_stream& stream,
                  const std::string& query,
                  const exchange_pointer& exchange);
  bool AdmitAppend();
  void RespondWithDelay(const exchange_pointer& exchange,
                        int status,
                        const json& body);

  event_loop* loop_;
  log_stand_in_settings settings_;
  metrics metrics_;
  log_faults faults_;
  timer_id faults_timer_ = 0;
  std::map<std::string, log_stream> streams_;
  std::deque<time_point> recent_appends_;
  uint64_t accepted_appends_ = 0;
  uint64_t refused_appends_ = 0;
  uint64_t next_response_id_ = 0;
  // Timers of delayed responses.
  std::map<uint64_t, timer_id> response_timers_;
  // Requests that the fault `silent` leaves without a response.
  std::vector<exchange_pointer> unanswered_;
  http_server server_;
};

}  // namespace skylarkhoist

#endif  // TESTING_LOG_STAND_IN_H_
