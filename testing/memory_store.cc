#include "testing/memory_store.h"

#include <utility>

namespace skylarkhoist {
namespace {

// Time after which a client gives up a call, in addition to the wait that the
// call asks for.
constexpr duration kResponseTimeout = std::chrono::seconds(2);

store_failure Refused() {
  return {store_error::kRefused, std::nullopt};
}

}  // namespace

class memory_store_client : public keyed_store {
 public:
  memory_store_client(memory_store* store, std::string name)
      : store_(store), name_(std::move(name)) {}

  void ReadNewest(store_topic topic, read_callback done) override {
    const auto action = [store = store_, topic, done](bool reachable) {
      if (!reachable) {
        done(tl::unexpected(Refused()));
        return;
      }
      const memory_store::topic_log& log = store->logs_[topic];
      keyed_batch batch;
      for (const auto& [key, record] : log.newest_by_key) {
        if (record.value)
          batch.records.push_back(record);
      }
      batch.end_offset = log.records.size();
      batch.era = store->era_;
      store->Answer([done, batch] { done(batch); });
    };
    Call(duration::zero(), action,
         [done] { done(tl::unexpected(store_failure())); });
  }

  void ReadFrom(store_topic topic,
                uint64_t from,
                duration wait,
                read_callback done) override {
    const time_point limit = store_->TimeLimit(wait);
    const auto action = [store = store_, name = name_, topic, from, wait, limit,
                         done](bool reachable) {
      if (!reachable) {
        done(tl::unexpected(Refused()));
        return;
      }
      memory_store::topic_log& log = store->logs_[topic];
      if (from < log.first_offset ||
          (store->era_ > 0 && from > log.records.size())) {
        const store_failure failure{store_error::kTrimmed, store->era_};
        store->Answer([done, failure] { done(tl::unexpected(failure)); });
        return;
      }
      if (from < log.records.size()) {
        store->Answer(
            [done, batch = store->RecordsFrom(log, from)] { done(batch); });
        return;
      }
      log.waiting_reads.push_back(
          {name, !store->lose_wake_ups_, from, limit, done});
      store->loop_->RunAfter(wait, [store, topic, name, from] {
        auto& waiting_reads = store->logs_[topic].waiting_reads;
        for (auto each = waiting_reads.begin(); each != waiting_reads.end();
             ++each) {
          if (each->client != name || each->from_offset != from)
            continue;
          const auto timed_out = std::move(each->done);
          waiting_reads.erase(each);
          store->Answer([timed_out, batch = store->RecordsFrom(
                                        store->logs_[topic], from)] {
            timed_out(batch);
          });
          return;
        }
      });
    };
    Call(wait, action, [done] { done(tl::unexpected(store_failure())); });
  }

  void Put(store_topic topic,
           const std::string& key,
           const std::optional<std::string>& value,
           write_callback done) override {
    const auto action = [store = store_, topic, key, value,
                         done](bool reachable) {
      if (!reachable) {
        done(tl::unexpected(Refused()));
        return;
      }
      store->Write(topic, key, value);
      if (store->lose_answers_) {
        done(tl::unexpected(store_failure()));
        return;
      }
      store->Answer([done, era = store->era_] { done(written_record{era}); });
    };
    Call(duration::zero(), action,
         [done] { done(tl::unexpected(store_failure())); });
  }

 private:
  void Call(duration wait,
            std::function<void(bool)> action,
            std::function<void()> give_up) {
    store_->RunCall(name_, store_->TimeLimit(wait), std::move(action),
                    std::move(give_up));
  }

  memory_store* store_;
  std::string name_;
};

std::unique_ptr<keyed_store> memory_store::Connect(const std::string& client) {
  return std::make_unique<memory_store_client>(this, client);
}

time_point memory_store::TimeLimit(duration wait) const {
  return loop_->Now() + wait + kResponseTimeout;
}

void memory_store::RunCall(const std::string& client,
                           time_point limit,
                           std::function<void(bool)> action,
                           std::function<void()> give_up) {
  ++call_count_;
  loop_->RunAfter(delay_, [this, client, limit, action = std::move(action),
                           give_up = std::move(give_up)] {
    if (silent_)
      loop_->RunAfter(limit - loop_->Now(), give_up);
    else
      action(unreachable_.count(client) == 0);
  });
}

void memory_store::SetSilent(bool silent) {
  silent_ = silent;
  if (!silent)
    return;
  for (auto& [topic, log] : logs_) {
    for (waiting_read& each : std::exchange(log.waiting_reads, {})) {
      loop_->RunAfter(each.limit - loop_->Now(), [done = std::move(each.done)] {
        done(tl::unexpected(store_failure()));
      });
    }
  }
}

void memory_store::SetReachable(const std::string& client, bool reachable) {
  if (reachable) {
    unreachable_.erase(client);
    return;
  }
  unreachable_.insert(client);
  for (auto& [topic, log] : logs_) {
    std::vector<waiting_read> remaining_reads;
    for (waiting_read& each : std::exchange(log.waiting_reads, {})) {
      if (each.client == client)
        each.done(tl::unexpected(Refused()));
      else
        remaining_reads.push_back(std::move(each));
    }
    for (waiting_read& each : remaining_reads)
      log.waiting_reads.push_back(std::move(each));
  }
}

uint64_t memory_store::Write(store_topic topic,
                             const std::string& key,
                             const std::optional<std::string>& value) {
  topic_log& log = logs_[topic];
  const keyed_record record{key, value, log.records.size()};
  log.records.push_back(record);
  log.newest_by_key[key] = record;
  WakeReaders(&log);
  return record.offset;
}

void memory_store::WakeReaders(topic_log* log) {
  std::vector<waiting_read> remaining_reads;
  for (waiting_read& each : std::exchange(log->waiting_reads, {})) {
    if (each.wakes_on_write)
      Answer([done = std::move(each.done),
              batch = RecordsFrom(*log, each.from_offset)] { done(batch); });
    else
      remaining_reads.push_back(std::move(each));
  }
  for (waiting_read& each : remaining_reads)
    log->waiting_reads.push_back(std::move(each));
}

keyed_batch memory_store::RecordsFrom(const topic_log& log,
                                      uint64_t from) const {
  keyed_batch batch;
  batch.records.assign(log.records.begin() + static_cast<std::ptrdiff_t>(from),
                       log.records.end());
  batch.end_offset = log.records.size();
  batch.era = era_;
  return batch;
}

void memory_store::Answer(std::function<void()> deliver) {
  if (answer_delay_ == duration::zero())
    deliver();
  else
    loop_->RunAfter(answer_delay_, std::move(deliver));
}

void memory_store::Restore() {
  std::vector<waiting_read> waiting_reads;
  for (auto& [topic, log] : logs_) {
    for (waiting_read& each : log.waiting_reads)
      waiting_reads.push_back(std::move(each));
  }
  logs_ = backup_;
  for (auto& [topic, log] : logs_)
    log.waiting_reads.clear();
  ++era_;
  for (const waiting_read& each : waiting_reads)
    each.done(tl::unexpected(store_failure()));
}

void memory_store::Trim(store_topic topic) {
  topic_log& log = logs_[topic];
  log.first_offset = log.records.size();
}

std::optional<std::string> memory_store::NewestValue(
    store_topic topic,
    const std::string& key) const {
  const auto log = logs_.find(topic);
  if (log == logs_.end())
    return std::nullopt;
  const auto found = log->second.newest_by_key.find(key);
  return found == log->second.newest_by_key.end() ? std::nullopt
                                                  : found->second.value;
}

}  // namespace skylarkhoist
