#include "testing/memory_log.h"

#include <algorithm>
#include <utility>

namespace skylarkhoist {

class memory_log_client : public log_client {
 public:
  memory_log_client(memory_log* log, std::function<bool()> reachable)
      : log_(log), reachable_(std::move(reachable)) {}

  void Append(const std::string& data, append_callback done) override {
    ++log_->appends_;
    if (FailIfUnreachable(done))
      return;
    const bool refused =
        log_->random_->Fraction() < log_->faults_.refused_append_probability;
    const duration delay = log_->DrawDelay();
    // Takes effect after half of the delay, so that the order of two appends in
    // the log can differ from that of their answers, and so that an append can
    // take effect after the process that made it has ended.
    log_->loop_->RunAfter(
        delay / 2,
        [log = log_, client = std::weak_ptr<memory_log_client*>(self_), data,
         refused, delay, done = std::move(done)] {
          const memory_log_faults& faults = log->faults_;
          tl::expected<uint64_t, log_error> result = Failed(kTimeout);
          if (refused) {
            result = Failed(kRefused);
          } else if (!faults.silent) {
            result = log->Append(data);
            if (log->random_->Fraction() < faults.lost_answer_probability) {
              ++log->lost_answers_;
              result = Failed(kTimeout);
            }
          }
          if (delay > faults.request_timeout)
            result = Failed(kTimeout);
          const bool timed_out = !result && result.error().kind == kTimeout;
          const duration remaining_delay =
              (timed_out ? faults.request_timeout : delay) - delay / 2;
          if (const auto alive = client.lock())
            (*alive)->RunWhileAlive(remaining_delay,
                                    [done, result] { done(result); });
        });
  }

  void Read(uint64_t from_offset,
            int max_entries,
            read_callback done) override {
    ++log_->reads_;
    if (FailIfUnreachable(done))
      return;
    const duration delay = log_->DrawDelay();
    const duration timeout = log_->faults_.request_timeout;
    RunWhileAlive(std::min(delay, timeout),
                  [this, from_offset, max_entries, timed_out = delay > timeout,
                   done = std::move(done)] {
                    if (timed_out || log_->faults_.silent)
                      done(tl::unexpected(Failed(kTimeout).error()));
                    else
                      done(log_->Read(from_offset, max_entries));
                  });
  }

 private:
  static constexpr log_error_kind kTimeout = log_error_kind::kTimeout;
  static constexpr log_error_kind kRefused = log_error_kind::kRefused;

  static tl::expected<uint64_t, log_error> Failed(log_error_kind kind) {
    return tl::unexpected(log_error{kind, 0});
  }

  template <typename callback>
  bool FailIfUnreachable(const callback& done) {
    const memory_log_faults& faults = log_->faults_;
    if (!faults.silent && !faults.down && reachable_())
      return false;
    const auto kind =
        faults.silent ? log_error_kind::kTimeout : log_error_kind::kUnreachable;
    RunWhileAlive(faults.silent ? faults.request_timeout : faults.min_delay,
                  [done, kind] {
                    done(tl::unexpected(log_error{kind, 0}));
                  });
    return true;
  }

  void RunWhileAlive(duration delay, std::function<void()> action) {
    log_->loop_->RunAfter(delay,
                          [alive = std::weak_ptr<memory_log_client*>(self_),
                           action = std::move(action)] {
                            if (!alive.expired())
                              action();
                          });
  }

  memory_log* log_;
  std::function<bool()> reachable_;
  // Expires with the client, so that its pending callbacks do not run after it
  // was destroyed.
  std::shared_ptr<memory_log_client*> self_ =
      std::make_shared<memory_log_client*>(this);
};

std::unique_ptr<log_client> memory_log::Connect() {
  return Connect([] { return true; });
}

std::unique_ptr<log_client> memory_log::Connect(
    std::function<bool()> reachable) {
  return std::make_unique<memory_log_client>(this, std::move(reachable));
}

uint64_t memory_log::Append(const std::string& data) {
  records_.push_back(data);
  history_.push_back(data);
  return end_offset() - 1;
}

void memory_log::Trim(uint64_t first_offset) {
  while (first_offset_ < first_offset && !records_.empty()) {
    records_.pop_front();
    ++first_offset_;
  }
}

duration memory_log::DrawDelay() {
  const duration range = faults_.max_delay - faults_.min_delay;
  return faults_.min_delay +
         std::chrono::duration_cast<duration>(range * random_->Fraction());
}

tl::expected<log_batch, log_error> memory_log::Read(uint64_t from,
                                                    int max_entries) const {
  if (from < first_offset_)
    return tl::unexpected(log_error{log_error_kind::kTrimmed, first_offset_});
  log_batch batch;
  batch.end_offset = end_offset();
  for (uint64_t offset = from;
       offset < end_offset() &&
       batch.entries.size() < static_cast<size_t>(max_entries);
       ++offset)
    batch.entries.push_back({offset, records_[offset - first_offset_]});
  return batch;
}

}  // namespace skylarkhoist
