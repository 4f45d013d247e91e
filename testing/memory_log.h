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

// Faults of the log. They may be changed at any time.
struct memory_log_faults {
  // Requests fail as unreachable after min_delay.
  bool down = false;
  // Requests time out, and appends in progress take no effect.
  bool silent = false;
  // Range of the delay of an answer, which is uniformly distributed.
  duration min_delay = std::chrono::milliseconds(2);
  duration max_delay = std::chrono::milliseconds(10);
  // Requests whose answer takes longer time out.
  duration request_timeout = std::chrono::seconds(1);
  // Probability that an append takes effect but its answer is lost.
  double lost_answer_probability = 0;
  // Probability that an append is refused.
  double refused_append_probability = 0;
};

// An in-memory log service for any number of clients on one loop.
//
//   memory_log log(&loop, &random);
//   const auto client = log.Connect();
//   log.faults().down = true;
//   log.Trim(100);   // Removes the records before offset 100.
class memory_log {
 public:
  memory_log(loop* loop, random_source* random)
      : loop_(loop), random_(random) {}
  memory_log(const memory_log&) = delete;
  memory_log& operator=(const memory_log&) = delete;

  // The client must not outlive this object. Callbacks that are pending when
  // the client is destroyed do not run.
  std::unique_ptr<log_client> Connect();

  memory_log_faults& faults() { return faults_; }
  // Like Connect(), for a client whose requests also fail as unreachable while
  // `reachable` returns false.
  std::unique_ptr<log_client> Connect(std::function<bool()> reachable);

  // Appends at once, without a client, and returns the offset of the record.
  uint64_t Append(const std::string& data);
  void Trim(uint64_t first_offset);

  uint64_t first_offset() const { return first_offset_; }
  uint64_t end_offset() const { return first_offset_ + records_.size(); }
  uint64_t appends() const { return appends_; }
  uint64_t reads() const { return reads_; }
  uint64_t lost_answers() const { return lost_answers_; }
  // All records ever appended, from offset 1 on, including trimmed ones.
  const std::vector<std::string>& history() const { return history_; }

 private:
  friend class memory_log_client;

  duration DrawDelay();
  tl::expected<log_batch, log_error> Read(uint64_t from, int max_entries) const;

  loop* loop_;
  random_source* random_;
  memory_log_faults faults_;
  uint64_t first_offset_ = 1;
  std::deque<std::string> records_;
  std::vector<std::string> history_;
  uint64_t appends_ = 0;
  uint64_t reads_ = 0;
  uint64_t lost_answers_ = 0;
};

}  // namespace skylarkhoist

#endif  // TESTING_MEMORY_LOG_H_
