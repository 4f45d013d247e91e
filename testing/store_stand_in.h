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

// HTTP stand-in for the platform's metadata store. It serves the calls that
// nodes make, for keyed topics with one partition: log-read, which waits for
// new records, log-newest and log-append. Responses name the era of the store
// in the header Store-Era.
//
//   store_stand_in store(&loop, "127.0.0.1:0");
//   store.AppendRecord("keyed.op", "config", text);
class store_stand_in {
 public:
  // Aborts the process when `listen_address` cannot be bound.
  store_stand_in(event_loop* loop, const std::string& listen_address);
  ~store_stand_in();
  store_stand_in(const store_stand_in&) = delete;
  store_stand_in& operator=(const store_stand_in&) = delete;

  const std::string& address() const { return server_.listen_address(); }

  // Appends a record without an HTTP call, and returns its offset. A record
  // without a value deletes its key.
  uint64_t AppendRecord(const std::string& topic,
                        const std::string& key,
                        const std::optional<std::string>& value);
  // Removes all records of a topic from log-read; log-newest still returns the
  // newest record of each key.
  void Compact(const std::string& topic);
  // Keeps a copy of all records for Restore.
  void Backup() { backup_ = topics_; }
  // Goes back to the copy, which has none of the records after it, and raises
  // the era by one. Drops the connections of waiting reads.
  void Restore();
  // Makes all calls fail with 503.
  void SetUnavailable(bool unavailable) { unavailable_ = unavailable; }
  // Makes appends take effect without a response.
  void DropAppendResponses(bool drop) { drop_append_responses_ = drop; }

 private:
  struct record {
    std::string key;
    std::optional<std::string> value;
  };
  // A log-read at the end of the topic.
  struct waiting_read {
    uint64_t from_offset = 0;
    std::shared_ptr<http_exchange> exchange;
  };
  struct topic_log {
    uint64_t first_offset = 0;
    std::vector<record> records;
    // Offset and record by key.
    std::map<std::string, std::pair<uint64_t, record>> newest_by_key;
    std::map<uint64_t, waiting_read> waiting_reads;
    uint64_t end_offset() const { return first_offset + records.size(); }
  };
  using query_parameters = std::map<std::string, std::string>;

  void Handle(const http_request& request,
              const std::shared_ptr<http_exchange>& exchange);
  void HandleRead(topic_log* log,
                  const query_parameters& parameters,
                  const std::shared_ptr<http_exchange>& exchange);
  void HandleReadNewest(const topic_log& log, http_exchange* exchange);
  void HandleAppend(const std::string& topic,
                    const std::string& body,
                    http_exchange* exchange);
  static http_response MakeReadResponse(const topic_log& log,
                                        uint64_t from_offset);
  // Adds the era to a response and sends it.
  void Respond(http_response response, http_exchange* exchange) const;

  event_loop* loop_;
  metrics counters_;
  std::map<std::string, topic_log> topics_;
  std::map<std::string, topic_log> backup_;
  uint64_t era_ = 0;
  uint64_t next_read_id_ = 1;
  bool unavailable_ = false;
  bool drop_append_responses_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  http_server server_;
};

}  // namespace skylarkhoist

#endif  // TESTING_STORE_STAND_IN_H_
