#include <algorithm>
#include <chrono>
#include <cstdint>

#include "decisions/concurrency_limit.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A window has at least this many calls, so that the error of its average stays
// below the tolerance for service times that vary by a third.
constexpr int kWindowCalls = 30;
constexpr duration kWindowTime = milliseconds(20);
// Latency above the unloaded one that does not yet count as queueing.
constexpr double kTolerance = 1.08;
// Growth for each window: until queueing is first seen, and after.
constexpr double kFastGrowth = 0.25;
constexpr double kSlowGrowth = 0.05;
// A latency this far above the unloaded one at a proven concurrency means a
// cold target or a slow spell, not queueing.
constexpr double kJump = 2.0;
// Successes at this multiple of the cold capacity show that a target is not
// cold; this many calls at the cold capacity then tell a slow spell.
constexpr double kBornShare = 1.5;
constexpr int kSpellCalls = 10;
// Least stay at the cold capacity: time, and successes for each slot. A growth
// that fails doubles the time, up to the largest.
constexpr duration kColdHold = seconds(3);
constexpr duration kLongestColdHold = seconds(48);
constexpr int64_t kColdSuccesses = 10;
// At least this many, since a target with few cold slots warms no faster.
constexpr int64_t kLeastColdSuccesses = 100;
// A failure this soon after the hold ended means that it was too short.
constexpr duration kGrowthTrial = seconds(10);
// Under lasting saturation the unloaded latency is measured this often, at this
// share of the limit.
constexpr duration kDipInterval = seconds(10);
constexpr int kDipLatencies = 100;
constexpr duration kDipAfterRebase = seconds(1);
constexpr double kDipShare = 0.6;
// Failures among the last ten results that mean a cold target.
constexpr int kResults = 10;
constexpr int kColdErrors = 3;
constexpr int kColdSheds = 5;

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

duration FromSeconds(double value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(value));
}

int CountBits(uint32_t bits) {
  int count = 0;
  for (; bits != 0; bits &= bits - 1)
    ++count;
  return count;
}

// The limit follows the ratio of unloaded to present latency, measured over
// windows. The unloaded latency is an average over windows of low concurrency,
// not a minimum, which noise would pull below the truth. Where lower
// concurrency does not lower the latency, the target is slow and not queueing:
// then the unloaded latency is set anew and the limit stays.
class gradient_limit : public concurrency_limit {
 public:
  explicit gradient_limit(const limit_options& options)
      : options_(options), limit_(options.cold_capacity) {}

  int Limit() const override {
    const double value = dipping_ ? limit_ * kDipShare : limit_;
    return std::clamp(static_cast<int>(value), 1,
                      std::max(options_.max_limit, 1));
  }

  void OnFinished(const limit_sample& sample, time_point now) override {
    // Calls from before a reset ran on the target's earlier state.
    if (sample.result == gate_result::kCancelled || sample.started < reset_at_)
      return;
    const bool error = sample.result == gate_result::kError;
    const bool shed = sample.result == gate_result::kShed;
    errors_ = (errors_ << 1 | (error ? 1 : 0)) & ((1U << kResults) - 1);
    sheds_ = (sheds_ << 1 | (shed ? 1 : 0)) & ((1U << kResults) - 1);
    if (CountBits(errors_) >= kColdErrors || CountBits(sheds_) >= kColdSheds) {
      EnterCold(now);
    } else if (shed) {
      OnShed(sample, now);
    } else if (!error) {
      OnSuccess(sample, now);
    }
  }

  void ResetCold(time_point now) override { EnterCold(now); }

  void Update(const limit_options& options) override {
    options_ = options;
    if (cold_)
      limit_ = options_.cold_capacity;
  }

  duration Latency() const override { return FromSeconds(latency_); }

 private:
  void EnterCold(time_point now) {
    if (!cold_) {
      hold_ = now - hold_ended_ < kGrowthTrial
                  ? std::min(hold_ * 2, kLongestColdHold)
                  : kColdHold;
    }
    cold_ = true;
    fast_ = true;
    dipping_ = false;
    cut_from_ = 0;
    limit_ = std::max(options_.cold_capacity, 1);
    reset_at_ = now;
    successes_ = 0;
    errors_ = 0;
    sheds_ = 0;
    earlier_ = 0;
    spell_latency_ = 0;
    StartWindow(now);
  }

  void StartWindow(time_point now, duration settle = duration::zero()) {
    window_start_ = now + settle;
    count_ = 0;
    latency_sum_ = 0;
    running_sum_ = 0;
    most_running_ = 0;
  }

  // Additive increase, multiplicative decrease on shed answers, at most once in
  // a window.
  void OnShed(const limit_sample& sample, time_point now) {
    if (now - last_shed_ < std::max(kWindowTime, Latency()))
      return;
    last_shed_ = now;
    fast_ = false;
    limit_ = std::max<double>(std::min<double>(limit_, sample.running) * 0.9,
                              options_.cold_capacity);
  }

  void OnSuccess(const limit_sample& sample, time_point now) {
    if (reset_at_ == time_point())
      reset_at_ = sample.started;
    ++successes_;
    if (now < window_start_)
      return;
    if (count_ == 0 && window_start_ == time_point())
      window_start_ = sample.started;
    ++count_;
    latency_sum_ += Seconds(sample.latency);
    running_sum_ += sample.running;
    most_running_ = std::max(most_running_, sample.running);
    const double mean = latency_sum_ / count_;
    const int least =
        spell_latency_ > 0 ? kSpellCalls : std::max(kWindowCalls, Limit());
    if (count_ < least ||
        now - window_start_ < std::max(kWindowTime, FromSeconds(mean)))
      return;
    latency_ = mean;
    const double running = running_sum_ / count_;
    if (cold_) {
      StayCold(mean, now);
      StartWindow(now);
    } else {
      const int before = Limit();
      Follow(mean, running, most_running_ >= before * 0.9, now);
      // After a large change, calls that were handed over before it still end.
      const bool large = Limit() < before * 0.9 || Limit() > before * 1.5;
      StartWindow(now, large ? FromSeconds(latency_ * 2) : duration::zero());
    }
  }

  // Ends the stay at the cold capacity when time and successes suffice and the
  // latency is back at the known one or has stopped to improve. Ends it at once
  // in a slow spell: calls far above the cold capacity succeeded, and as few
  // calls as now take just as long.
  void StayCold(double mean, time_point now) {
    if (spell_latency_ > 0) {
      const bool slow = mean >= spell_latency_ * 0.9;
      spell_latency_ = 0;
      if (slow) {
        cold_ = false;
        hold_ended_ = now;
        limit_ = std::max(spell_running_, limit_);
        Rebase(mean, now);
        return;
      }
    }
    const bool known = unloaded_ > 0 && mean <= unloaded_ * 1.15;
    if (now - reset_at_ >= hold_ &&
        successes_ >= std::max(kColdSuccesses * options_.cold_capacity,
                               kLeastColdSuccesses) &&
        (known || (earlier_ > 0 && mean >= earlier_ * 0.9))) {
      cold_ = false;
      hold_ended_ = now;
      if (known) {
        last_unloaded_ = now;
      } else {
        Rebase(mean, now);
      }
      return;
    }
    if (now - earlier_at_ >= milliseconds(500) || earlier_ == 0) {
      earlier_ = mean;
      earlier_at_ = now;
    }
  }

  // Sets the unloaded latency to that of one window, which may contain calls
  // from before the change, so a dip soon checks it.
  void Rebase(double mean, time_point now) {
    unloaded_ = mean;
    last_unloaded_ = now - kDipInterval + kDipAfterRebase;
  }

  void Follow(double mean, double running, bool saturated, time_point now) {
    if (dipping_) {
      dipping_ = false;
      const bool moved = mean < unloaded_ * 0.95;
      unloaded_ += 0.7 * (mean - unloaded_);
      if (moved) {
        Rebase(unloaded_, now);
      } else {
        last_unloaded_ = now;
      }
      return;
    }
    if (mean < unloaded_ * 0.85)
      Rebase(mean, now);
    if (mean >= unloaded_ * kJump) {
      EnterCold(now);
      if (running >= options_.cold_capacity * kBornShare) {
        spell_latency_ = mean;
        spell_running_ = running;
      }
      return;
    }
    if (running <= limit_ * kDipShare) {
      unloaded_ += 0.2 * (mean - unloaded_);
      last_unloaded_ = now;
    }
    if (!saturated)
      return;
    if (cut_from_ > 0 && running <= cut_running_ * 0.75) {
      const double if_queueing =
          std::max(cut_latency_ * running / cut_running_, unloaded_);
      if (mean > unloaded_ * kTolerance &&
          mean > (cut_latency_ + if_queueing) / 2) {
        Rebase(mean, now);
        limit_ = cut_from_;
      }
      cut_from_ = 0;
      return;
    }
    const double excess = mean / unloaded_;
    if (excess <= kTolerance) {
      cut_from_ = 0;
      const double growth =
          fast_ ? std::max(limit_ * kFastGrowth, 1.0) : limit_ * kSlowGrowth;
      limit_ = std::min<double>(limit_ + std::min<double>(growth, count_),
                                options_.max_limit);
    } else {
      if (cut_from_ == 0) {
        cut_from_ = limit_;
        cut_running_ = running;
        cut_latency_ = mean;
      }
      fast_ = false;
      const double fitting = running * kTolerance / excess;
      limit_ = std::max<double>((limit_ + std::min(fitting, limit_)) / 2,
                                options_.cold_capacity);
    }
    if (now - last_unloaded_ >=
        std::max(kDipInterval, FromSeconds(mean * kDipLatencies))) {
      dipping_ = true;
      cut_from_ = 0;
    }
  }

  limit_options options_;
  double limit_;
  bool cold_ = true;
  bool fast_ = true;
  bool dipping_ = false;
  // Average latencies in seconds: without load, of the last window, and in the
  // cold state half a second ago.
  double unloaded_ = 0;
  double latency_ = 0;
  double earlier_ = 0;
  time_point earlier_at_;
  time_point last_unloaded_;
  time_point last_shed_;
  duration hold_ = kColdHold;
  time_point hold_ended_;
  // Calls handed over before this time are ignored.
  time_point reset_at_;
  int64_t successes_ = 0;
  // Last results, one bit each.
  uint32_t errors_ = 0;
  uint32_t sheds_ = 0;
  // Latency and concurrency at the jump that caused the present stay at the
  // cold capacity; 0 when there was none or it was checked.
  double spell_latency_ = 0;
  double spell_running_ = 0;
  // Where the present cut of the limit began; 0 when there is none.
  double cut_from_ = 0;
  double cut_running_ = 0;
  double cut_latency_ = 0;
  // The present window.
  time_point window_start_;
  int count_ = 0;
  double latency_sum_ = 0;
  double running_sum_ = 0;
  int most_running_ = 0;
};

const limit_registry::entry kGradient("gradient",
                                      [](const limit_options& options) {
                                        return std::make_unique<gradient_limit>(
                                            options);
                                      });

}  // namespace
}  // namespace skylarkhoist
