#ifndef TESTING_SATURATED_TARGET_H_
#define TESTING_SATURATED_TARGET_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "decisions/target_scheduler.h"
#include "testing/fake_targets.h"
#include "testing/manual_loop.h"

namespace skylarkhoist {

// One scheduler (request queue and concurrency limit) in front of one fake
// target. Calls wait in its queue at all times.
struct saturated_target {
  static constexpr const char* kAddress = "10.0.0.1:80";

  explicit saturated_target(const fake_target_options& options,
                            uint64_t seed = 1)
      : targets(loop, seed), scheduler(Settings(options), loop.Now()) {
    targets.Add(kAddress, options);
    Fill();
  }

  static service_config Settings(const fake_target_options& options) {
    service_config settings;
    settings.cold_capacity = options.cold_capacity;
    return settings;
  }

  // Fills the queue and hands over calls until the limit is reached. Runs again
  // after each success and once every millisecond.
  void Fill() {
    scheduler.TakeRefused(loop.Now());
    while (scheduler.waiting() < static_cast<size_t>(scheduler.limit())) {
      queued_call call;
      call.id = {1, ++sequence};
      call.deadline = loop.Now() + std::chrono::seconds(60);
      if (scheduler.Enqueue(call, loop.Now()))
        break;
    }
    while (auto next = scheduler.TakeNext(loop.Now())) {
      targets.Call(kAddress, {}, std::chrono::seconds(10),
                   [this, id = next->id](const target_result& result) {
                     if (result.error == target_error::kConnectRefused) {
                       scheduler.ResetCold(loop.Now());
                     }
                     scheduler.OnFinished(id,
                                          result.error == target_error::kNone
                                              ? call_outcome::kSuccess
                                              : call_outcome::kError,
                                          loop.Now());
                     if (result.error == target_error::kNone)
                       Fill();
                   });
    }
    if (loop.Now() >= next_fill) {
      next_fill = loop.Now() + std::chrono::milliseconds(1);
      loop.RunAfter(std::chrono::milliseconds(1), [this] { Fill(); });
    }
  }

  struct limit_range {
    double mean = 0;
    int min = 0;
    int max = 0;
  };

  // Runs for `length` and samples the concurrency limit every 100 ms.
  limit_range Limits(duration length) {
    limit_range range{0, scheduler.limit(), scheduler.limit()};
    int sample_count = 0;
    for (const time_point end = loop.Now() + length; loop.Now() < end;
         ++sample_count) {
      loop.Advance(std::chrono::milliseconds(100));
      range.mean += scheduler.limit();
      range.min = std::min(range.min, scheduler.limit());
      range.max = std::max(range.max, scheduler.limit());
    }
    range.mean /= std::max(sample_count, 1);
    return range;
  }

  manual_loop loop;
  fake_targets targets;
  target_scheduler scheduler;
  uint64_t sequence = 0;
  time_point next_fill;
};

}  // namespace skylarkhoist

#endif  // TESTING_SATURATED_TARGET_H_
