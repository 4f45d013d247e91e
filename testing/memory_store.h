#ifndef TESTING_MEMORY_STORE_H_
#define TESTING_MEMORY_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "kernel/loop.h"
#include "wire/keyed_store.h"

namespace skylarkhoist {

// An in-memory keyed store for any number of clients on one loop.
//
//   memory_store store(&loop);
//   const auto client = store.Connect("a");
//   store.SetReachable("a", false);   // this client is refused
//   store.SetSilent(true);   // no client gets an answer
//   store.Trim(store_topic::kOperators);   // reads of old offsets fail
//   store.Backup();
//   store.Restore();   // later writes are lost, and the era increases
class memory_store {
 public:
  explicit memory_store(loop* run_loop) : loop_(run_loop) {}
  memory_store(const memory_store&) = delete;
  memory_store& operator=(const memory_store&) = delete;

  // The client must not outlive this object.
  std::unique_ptr<keyed_store> Connect(const std::string& client);

  // Requests of an unreachable client are refused, including reads that wait
  // for records.
  void SetReachable(const std::string& client, bool reachable);
  // While set, calls get no answer and have no effect, and neither do the calls
  // in progress when it is set. Each ends with an unknown result after its time
  // limit, also when the store answers again before that.
  void SetSilent(bool silent);
  // While set, reads that begin to wait are not woken by later writes; they end
  // after their full wait.
  void LoseWakeUps(bool lose) { lose_wake_ups_ = lose; }
  // While set, writes of all clients take effect, but their answers are lost.
  void LoseWriteAnswers(bool lose) { lose_answers_ = lose; }
  void SetDelay(duration delay) { delay_ = delay; }

  // Writes at once, without a client, and returns the offset of the record.
  uint64_t Write(store_topic topic,
                 const std::string& key,
                 const std::optional<std::string>& value);
  // Drops all records from the topic's log; the newest one of each key can
  // still be read with ReadNewest.
  void Trim(store_topic topic);

  // Keeps a copy of all records for Restore.
  void Backup() { backup_ = logs_; }
  // Goes back to the copy, which has none of the writes after it, and raises
  // the era by one. Reads that wait for records end with an unknown result.
  void Restore();
  // Answers that are computed from now on arrive this much later.
  void SetAnswerDelay(duration delay) { answer_delay_ = delay; }

  uint64_t call_count() const { return call_count_; }
  // The newest value of a key; nullopt when it has none.
  std::optional<std::string> NewestValue(store_topic topic,
                                         const std::string& key) const;

 private:
  friend class memory_store_client;

  struct waiting_read {
    std::string client;
    bool wakes_on_write = true;
    uint64_t from_offset = 0;
    time_point limit;
    keyed_store::read_callback done;
  };
  struct topic_log {
    uint64_t first_offset = 0;
    std::vector<keyed_record> records;
    std::map<std::string, keyed_record> newest_by_key;
    std::vector<waiting_read> waiting_reads;
  };

  // Returns the time at which a call that waits up to `wait` is given up.
  time_point TimeLimit(duration wait) const;
  // Runs `action` when the call reaches the store, or `give_up` at `limit` when
  // the store is silent.
  void RunCall(const std::string& client,
               time_point limit,
               std::function<void(bool)> action,
               std::function<void()> give_up);
  keyed_batch RecordsFrom(const topic_log& log, uint64_t from) const;
  void WakeReaders(topic_log* log);
  // Calls `deliver`, which has the answer to a call, when it arrives.
  void Answer(std::function<void()> deliver);

  loop* loop_;
  duration delay_ = std::chrono::milliseconds(4);
  duration answer_delay_ = duration::zero();
  uint64_t era_ = 0;
  bool lose_answers_ = false;
  bool lose_wake_ups_ = false;
  bool silent_ = false;
  std::set<std::string> unreachable_;
  std::map<store_topic, topic_log> logs_;
  std::map<store_topic, topic_log> backup_;
  uint64_t call_count_ = 0;
};

}  // namespace skylarkhoist

#endif  // TESTING_MEMORY_STORE_H_
