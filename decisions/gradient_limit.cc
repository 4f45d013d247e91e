#include <algorithm>
#include <chrono>
#include <cstdint>

#include "decisions/concurrency_limit.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Minimum number of calls in a window. It keeps the error of the average
// latency below the tolerance when service times vary by a third.
constexpr int kMinWindowCalls = 30;
constexpr duration kMinWindowTime = milliseconds(20);
// Latency up to this multiple of the baseline does not count as queueing.
constexpr double kLatencyTolerance = 1.08;
// Growth of the limit per window, as a share of it, before and after queueing
// was first seen.
constexpr double kFastGrowth = 0.25;
constexpr double kSlowGrowth = 0.05;
// A latency of this multiple of the baseline, at a concurrency that the target
// served well before, means a cold target or a slowdown, not queueing.
constexpr double kLatencyJumpRatio = 2.0;
// Success at this multiple of the cold capacity shows that a target is not
// cold. This many calls at the cold capacity then confirm a slowdown.
constexpr double kProvenConcurrencyRatio = 1.5;
constexpr int kSlowdownCheckCalls = 10;
// Minimum stay at the cold capacity, as a time and as successes per slot. When
// the growth that follows fails, the next stay is twice as long, up to the
// maximum.
constexpr duration kMinColdHold = seconds(3);
constexpr duration kMaxColdHold = seconds(48);
constexpr int64_t kColdSuccessesPerSlot = 10;
// Minimum number of successes, since a target with few cold slots warms up no
// faster.
constexpr int64_t kMinColdSuccesses = 100;
// A failure within this time after the stay ended means that it was too short.
constexpr duration kGrowthTrialTime = seconds(10);
// Under sustained saturation, the baseline latency is measured once per this
// interval, or per this many latencies if that is longer, with the limit
// lowered to this share. A reset baseline is measured again after the recheck
// delay.
constexpr duration kBaselineProbeInterval = seconds(10);
constexpr int kBaselineProbeLatencies = 100;
constexpr duration kBaselineRecheckDelay = seconds(1);
constexpr double kBaselineProbeShare = 0.6;
// Failures among the last ten results that indicate a cold target.
constexpr int kRecentResults = 10;
constexpr int kMinColdErrors = 3;
constexpr int kMinColdSheds = 5;

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

// Adapts the limit to the ratio of the current latency to the baseline, which
// is the latency without queueing. Both are averages over windows of calls. The
// baseline is averaged over windows of low concurrency and is not a minimum,
// which noise would pull too low. When lower concurrency does not lower the
// latency, the target is slow and calls are not queueing: the baseline is then
// reset to the current latency, and the limit stays.
class gradient_limit : public concurrency_limit {
 public:
  explicit gradient_limit(const limit_options& options)
      : options_(options), limit_(options.cold_capacity) {}

  int Limit() const override {
    const double value =
        probing_baseline_ ? limit_ * kBaselineProbeShare : limit_;
    return std::clamp(static_cast<int>(value), 1,
                      std::max(options_.max_limit, 1));
  }

  void OnFinished(const limit_sample& sample, time_point now) override {
    // Calls from before a reset ran on the target's earlier state.
    if (sample.result == call_outcome::kCancelled || sample.started < reset_at_)
      return;
    const bool is_error = sample.result == call_outcome::kError;
    const bool is_shed = sample.result == call_outcome::kShed;
    recent_errors_ = (recent_errors_ << 1 | (is_error ? 1 : 0)) &
                     ((1U << kRecentResults) - 1);
    recent_sheds_ =
        (recent_sheds_ << 1 | (is_shed ? 1 : 0)) & ((1U << kRecentResults) - 1);
    if (CountBits(recent_errors_) >= kMinColdErrors ||
        CountBits(recent_sheds_) >= kMinColdSheds) {
      EnterCold(now);
    } else if (is_shed) {
      OnShed(sample, now);
    } else if (!is_error) {
      OnSuccess(sample, now);
    }
  }

  void ResetCold(time_point now) override { EnterCold(now); }

  void Update(const limit_options& options) override {
    options_ = options;
    if (cold_)
      limit_ = options_.cold_capacity;
  }

  duration Latency() const override { return FromSeconds(window_latency_); }

 private:
  void EnterCold(time_point now) {
    if (!cold_) {
      cold_hold_ = now - cold_hold_ended_at_ < kGrowthTrialTime
                       ? std::min(cold_hold_ * 2, kMaxColdHold)
                       : kMinColdHold;
    }
    cold_ = true;
    fast_growth_ = true;
    probing_baseline_ = false;
    limit_before_decrease_ = 0;
    limit_ = std::max(options_.cold_capacity, 1);
    reset_at_ = now;
    successes_ = 0;
    recent_errors_ = 0;
    recent_sheds_ = 0;
    earlier_cold_latency_ = 0;
    slowdown_latency_ = 0;
    StartWindow(now);
  }

  void StartWindow(time_point now, duration settle_time = duration::zero()) {
    window_start_ = now + settle_time;
    window_calls_ = 0;
    latency_sum_ = 0;
    concurrency_sum_ = 0;
    max_concurrency_ = 0;
  }

  // Multiplicative decrease when the target sheds a call, at most once per
  // window. The limit never falls below the cold capacity.
  void OnShed(const limit_sample& sample, time_point now) {
    if (now - last_shed_at_ < std::max(kMinWindowTime, Latency()))
      return;
    last_shed_at_ = now;
    fast_growth_ = false;
    limit_ = std::max<double>(std::min<double>(limit_, sample.running) * 0.9,
                              options_.cold_capacity);
  }

  void OnSuccess(const limit_sample& sample, time_point now) {
    if (reset_at_ == time_point())
      reset_at_ = sample.started;
    ++successes_;
    if (now < window_start_)
      return;
    if (window_calls_ == 0 && window_start_ == time_point())
      window_start_ = sample.started;
    ++window_calls_;
    latency_sum_ += Seconds(sample.latency);
    concurrency_sum_ += sample.running;
    max_concurrency_ = std::max(max_concurrency_, sample.running);
    const double mean_latency = latency_sum_ / window_calls_;
    const int min_calls = slowdown_latency_ > 0
                              ? kSlowdownCheckCalls
                              : std::max(kMinWindowCalls, Limit());
    if (window_calls_ < min_calls ||
        now - window_start_ <
            std::max(kMinWindowTime, FromSeconds(mean_latency)))
      return;
    window_latency_ = mean_latency;
    const double concurrency = concurrency_sum_ / window_calls_;
    if (cold_) {
      UpdateCold(mean_latency, now);
      StartWindow(now);
    } else {
      const int limit_before = Limit();
      UpdateLimit(mean_latency, concurrency,
                  max_concurrency_ >= limit_before * 0.9, now);
      // After a large change of the limit, calls handed over before it are
      // still ending.
      const bool large_change =
          Limit() < limit_before * 0.9 || Limit() > limit_before * 1.5;
      StartWindow(now, large_change ? FromSeconds(window_latency_ * 2)
                                    : duration::zero());
    }
  }

  // Ends the stay at the cold capacity after enough time and successes, when
  // the latency is back at the baseline or has stopped improving. Ends it at
  // once in a slowdown: calls far above the cold capacity succeeded before, and
  // the few calls now take as long as those.
  void UpdateCold(double mean_latency, time_point now) {
    if (slowdown_latency_ > 0) {
      const bool still_slow = mean_latency >= slowdown_latency_ * 0.9;
      slowdown_latency_ = 0;
      if (still_slow) {
        cold_ = false;
        cold_hold_ended_at_ = now;
        limit_ = std::max(slowdown_concurrency_, limit_);
        ResetBaseline(mean_latency, now);
        return;
      }
    }
    const bool matches_baseline =
        baseline_latency_ > 0 && mean_latency <= baseline_latency_ * 1.15;
    if (now - reset_at_ >= cold_hold_ &&
        successes_ >= std::max(kColdSuccessesPerSlot * options_.cold_capacity,
                               kMinColdSuccesses) &&
        (matches_baseline || (earlier_cold_latency_ > 0 &&
                              mean_latency >= earlier_cold_latency_ * 0.9))) {
      cold_ = false;
      cold_hold_ended_at_ = now;
      if (matches_baseline) {
        last_baseline_at_ = now;
      } else {
        ResetBaseline(mean_latency, now);
      }
      return;
    }
    if (now - earlier_cold_latency_at_ >= milliseconds(500) ||
        earlier_cold_latency_ == 0) {
      earlier_cold_latency_ = mean_latency;
      earlier_cold_latency_at_ = now;
    }
  }

  // Sets the baseline to the latency of one window. The window may contain
  // calls from before the change, so the baseline is measured again soon.
  void ResetBaseline(double mean_latency, time_point now) {
    baseline_latency_ = mean_latency;
    last_baseline_at_ = now - kBaselineProbeInterval + kBaselineRecheckDelay;
  }

  void UpdateLimit(double mean_latency,
                   double concurrency,
                   bool saturated,
                   time_point now) {
    if (probing_baseline_) {
      probing_baseline_ = false;
      const bool baseline_fell = mean_latency < baseline_latency_ * 0.95;
      baseline_latency_ += 0.7 * (mean_latency - baseline_latency_);
      if (baseline_fell) {
        ResetBaseline(baseline_latency_, now);
      } else {
        last_baseline_at_ = now;
      }
      return;
    }
    if (mean_latency < baseline_latency_ * 0.85)
      ResetBaseline(mean_latency, now);
    if (mean_latency >= baseline_latency_ * kLatencyJumpRatio) {
      EnterCold(now);
      if (concurrency >= options_.cold_capacity * kProvenConcurrencyRatio) {
        slowdown_latency_ = mean_latency;
        slowdown_concurrency_ = concurrency;
      }
      return;
    }
    if (concurrency <= limit_ * kBaselineProbeShare) {
      baseline_latency_ += 0.2 * (mean_latency - baseline_latency_);
      last_baseline_at_ = now;
    }
    if (!saturated)
      return;
    if (limit_before_decrease_ > 0 &&
        concurrency <= concurrency_before_decrease_ * 0.75) {
      const double latency_if_queueing = std::max(
          latency_before_decrease_ * concurrency / concurrency_before_decrease_,
          baseline_latency_);
      if (mean_latency > baseline_latency_ * kLatencyTolerance &&
          mean_latency > (latency_before_decrease_ + latency_if_queueing) / 2) {
        ResetBaseline(mean_latency, now);
        limit_ = limit_before_decrease_;
      }
      limit_before_decrease_ = 0;
      return;
    }
    const double latency_ratio = mean_latency / baseline_latency_;
    if (latency_ratio <= kLatencyTolerance) {
      limit_before_decrease_ = 0;
      const double growth = fast_growth_ ? std::max(limit_ * kFastGrowth, 1.0)
                                         : limit_ * kSlowGrowth;
      limit_ = std::min<double>(
          limit_ + std::min<double>(growth, window_calls_), options_.max_limit);
    } else {
      if (limit_before_decrease_ == 0) {
        limit_before_decrease_ = limit_;
        concurrency_before_decrease_ = concurrency;
        latency_before_decrease_ = mean_latency;
      }
      fast_growth_ = false;
      const double supported_concurrency =
          concurrency * kLatencyTolerance / latency_ratio;
      limit_ = std::max<double>(
          (limit_ + std::min(supported_concurrency, limit_)) / 2,
          options_.cold_capacity);
    }
    if (now - last_baseline_at_ >=
        std::max(kBaselineProbeInterval,
                 FromSeconds(mean_latency * kBaselineProbeLatencies))) {
      probing_baseline_ = true;
      limit_before_decrease_ = 0;
    }
  }

  limit_options options_;
  double limit_;
  bool cold_ = true;
  bool fast_growth_ = true;
  bool probing_baseline_ = false;
  // Average latencies in seconds: the baseline, that of the last window, and in
  // the cold state that of about half a second ago.
  double baseline_latency_ = 0;
  double window_latency_ = 0;
  double earlier_cold_latency_ = 0;
  time_point earlier_cold_latency_at_;
  time_point last_baseline_at_;
  time_point last_shed_at_;
  duration cold_hold_ = kMinColdHold;
  time_point cold_hold_ended_at_;
  // Calls handed over before this time are ignored.
  time_point reset_at_;
  int64_t successes_ = 0;
  // The last results, one bit each.
  uint32_t recent_errors_ = 0;
  uint32_t recent_sheds_ = 0;
  // Latency and concurrency of the window that caused the current stay at the
  // cold capacity by a suspected slowdown; the latency is 0 when there was none
  // or it has been checked.
  double slowdown_latency_ = 0;
  double slowdown_concurrency_ = 0;
  // The limit, concurrency and latency before the current series of decreases;
  // the limit is 0 when there is none.
  double limit_before_decrease_ = 0;
  double concurrency_before_decrease_ = 0;
  double latency_before_decrease_ = 0;
  // The current window.
  time_point window_start_;
  int window_calls_ = 0;
  double latency_sum_ = 0;
  double concurrency_sum_ = 0;
  int max_concurrency_ = 0;
};

const limit_registry::registration kGradient(
    "gradient",
    [](const limit_options& options) {
      return std::make_unique<gradient_limit>(options);
    });

}  // namespace
}  // namespace skylarkhoist
