#ifndef TESTING_STORE_STAND_IN_H_
#define TESTING_STORE_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "kernel/event_loop.h"
#include "kernel/metrics.h"
#include "wire/http_server.h"

namespace skylarkhoist {

// The calls of the platform's store that nodes make, over HTTP, for keyed
// topics with one partition: log-read with waits, log-newest, log-append.
//
//   store_stand_in store(&loop, "127.0.0.1:0");
//   store.Write("keyed.op", "config", text);
class store_stand_in {
 public:
  // Ends the process when `listen_address` cannot be bound.
  store_stand_in(event_loop* loop, const std::string& listen_address);
  ~store_stand_in();
  store_stand_in(const store_stand_in&) = delete;
  store_stand_in& operator=(const store_stand_in&) = delete;

  const std::string& address() const { return server_.listen_address(); }

  // Appends a record as an operator does; returns its offset.
  uint64_t Write(const std::string& topic,
                 const std::string& key,
                 const std::optional<std::string>& value);
  // Drops the history of a topic; the newest record of each key stays.
  void Compact(const std::string& topic);
  // Answers all calls with 503.
  void SetDown(bool down) { down_ = down; }
  // Appends take effect, and their answers are lost.
  void LoseAnswers(bool lose) { lose_answers_ = lose; }

 private:
  struct record {
    std::string key;
    std::optional<std::string> value;
  };
  struct waiting_read {
    uint64_t from = 0;
    std::shared_ptr<http_exchange> exchange;
  };
  struct topic_log {
    uint64_t first = 0;
    std::vector<record> records;
    std::map<std::string, std::pair<uint64_t, record>> newest;
    std::map<uint64_t, waiting_read> waiting;
    uint64_t end() const { return first + records.size(); }
  };
  using query = std::map<std::string, std::string>;

  void Handle(const http_request& request,
              const std::shared_ptr<http_exchange>& exchange);
  void Read(topic_log* log,
            const query& fields,
            const std::shared_ptr<http_exchange>& exchange);
  void ReadNewest(const topic_log& log, http_exchange* exchange);
  void Append(const std::string& topic,
              const std::string& body,
              http_exchange* exchange);
  static http_response RecordsFrom(const topic_log& log, uint64_t from);

  event_loop* loop_;
  metrics counters_;
  std::map<std::string, topic_log> topics_;
  uint64_t next_read_ = 1;
  bool down_ = false;
  bool lose_answers_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  http_server server_;
};

}  // namespace skylarkhoist

#endif  // TESTING_STORE_STAND_IN_H_
