#ifndef TESTING_MEMORY_LOG_H_
#define TESTING_MEMORY_LOG_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "kernel/loop.h"
#include "kernel/random.h"
#include "wire/log_client.h"

namespace skylarkhoist {

// Behaviour of the log; may be changed at any time.
struct memory_log_faults {
  // Nothing reaches the log: requests fail as unreachable.
  bool down = false;
  // Requests wait for their time limit without an answer; appends that are
  // under way take no effect.
  bool silent = false;
  // Answers take this long, uniformly between both.
  duration min_delay = std::chrono::milliseconds(2);
  duration max_delay = std::chrono::milliseconds(10);
  // A client gives up after this time; a slower answer counts as timeout.
  duration time_limit = std::chrono::seconds(1);
  // Probability that an append takes effect but its answer is lost.
  double lost_answers = 0;
  // Probability that an append is refused.
  double refused_appends = 0;
};

// The log service in memory, for any number of clients on one loop.
//
//   memory_log log(&loop, &random);
//   const auto client = log.Connect();
//   log.faults().down = true;
//   log.Trim(100);   // The first record kept is 100.
class memory_log {
 public:
  memory_log(loop* loop, random_source* random)
      : loop_(loop), random_(random) {}
  memory_log(const memory_log&) = delete;
  memory_log& operator=(const memory_log&) = delete;

  // The client must not outlive this object; callbacks that are under way when
  // the client is destroyed do not run.
  std::unique_ptr<log_client> Connect();

  memory_log_faults& faults() { return faults_; }
  // Faults of single clients: requests of a client fail while `reachable`
  // returns false. See Connect.
  std::unique_ptr<log_client> Connect(std::function<bool()> reachable);

  // Appends at once, without a client.
  uint64_t Append(const std::string& data);
  void Trim(uint64_t first_offset);

  uint64_t first_offset() const { return first_; }
  uint64_t end_offset() const { return first_ + records_.size(); }
  uint64_t appends() const { return appends_; }
  uint64_t reads() const { return reads_; }
  uint64_t lost_answers() const { return lost_answers_; }
  // All records ever appended, from offset 1 on, also those trimmed.
  const std::vector<std::string>& history() const { return history_; }

 private:
  friend class memory_log_client;

  duration DrawDelay();
  tl::expected<log_batch, log_error> Read(uint64_t from, int max_entries) const;

  loop* loop_;
  random_source* random_;
  memory_log_faults faults_;
  uint64_t first_ = 1;
  std::deque<std::string> records_;
  std::vector<std::string> history_;
  uint64_t appends_ = 0;
  uint64_t reads_ = 0;
  uint64_t lost_answers_ = 0;
};

}  // namespace skylarkhoist

#endif  // TESTING_MEMORY_LOG_H_
