#include "decisions/admission_controller.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

// Interval between rate updates: long enough for answers to show the effect of
// the previous one.
constexpr duration kUpdateInterval = milliseconds(50);
// The same for a downstream service, which a call reaches only after the work
// of the services before it.
constexpr duration kDownstreamUpdateInterval = milliseconds(200);
// Time constant of the average over load reports.
constexpr double kLoadAverageSeconds = 0.03;
// Bounds of the growth factor in one update. With the default
// `min_decrease_factor`, a decrease to a third, as in a surge to three times
// the capacity, takes about 200 ms.
constexpr double kMinGrowth = 1.01;
constexpr double kMaxGrowth = 1.5;
// Updates for downstream services are rarer, so their growth may be larger.
constexpr double kMaxDownstreamGrowth = 2.0;
// The rate never falls below this share of the demand. The calls that still
// pass keep the load reports recent, so that the rate can recover within a
// second.
constexpr double kMinRateShare = 0.02;
// A rate limit above this multiple of the recent rate has no effect and is
// removed.
constexpr double kUnlimitedRatio = 2.0;
// When no load report arrived for this long, one call passes to obtain one.
constexpr duration kProbeInterval = milliseconds(100);

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

double GrowthFactor(double ratio) {
  return std::clamp(1.0 + (1.0 - ratio) * 0.8, kMinGrowth, kMaxGrowth);
}

// The square root limits the gain to that of the decrease. The effect of an
// increase on a downstream service shows only two or three updates later, and a
// higher gain makes the rate oscillate.
double DownstreamGrowthFactor(double ratio) {
  return std::clamp(std::sqrt(1.0 / std::max(ratio, 0.01)), kMinGrowth,
                    kMaxDownstreamGrowth);
}

}  // namespace

void admission_controller::OnLoadReport(const std::string& service,
                                        uint32_t permille,
                                        time_point now) {
  service_state& state = services_[service];
  const double age = Seconds(now - state.reported_at);
  if (now - state.reported_at >= kMaxReportAge) {
    state.load_permille = permille;
  } else {
    // Each report has a weight of at least 0.05, so that many reports at the
    // same time still move the average.
    const double weight =
        std::clamp(age / (age + kLoadAverageSeconds), 0.05, 1.0);
    state.load_permille += weight * (permille - state.load_permille);
  }
  state.reported_at = now;
}

void admission_controller::UpdateRate(service_state& state,
                                      time_point now) const {
  const duration elapsed = now - state.interval_start;
  if (elapsed <
      (state.is_downstream ? kDownstreamUpdateInterval : kUpdateInterval))
    return;
  const double seconds = Seconds(elapsed);
  // After a pause the old averages are no longer meaningful.
  const double weight = elapsed > kMaxReportAge ? 1.0 : 0.5;
  for (size_t level = 0; level < kLevels; ++level) {
    state.demand_rate[level] +=
        weight * (state.arrivals[level] / seconds - state.demand_rate[level]);
  }
  state.passed_rate += weight * (state.passed / seconds - state.passed_rate);
  state.arrivals.fill(0);
  state.passed = 0;
  state.interval_start = now;

  if (now - state.reported_at >= kMaxReportAge) {
    state.allowed_rate.reset();
    return;
  }
  double total_demand = 0;
  for (const double rate : state.demand_rate)
    total_demand += rate;
  const double ratio =
      state.load_permille / (state.is_downstream
                                 ? options_.downstream_target_permille
                                 : kTargetLoadPermille);
  if (ratio > 1.0) {
    const double base_rate =
        state.allowed_rate
            ? std::min(*state.allowed_rate, state.passed_rate * 1.5)
            : state.passed_rate;
    const double factor = std::clamp(1.0 - (ratio - 1.0) * 0.5,
                                     options_.min_decrease_factor, 1.0);
    state.allowed_rate =
        std::max({base_rate * factor, total_demand * kMinRateShare, 1.0});
  } else if (state.allowed_rate) {
    *state.allowed_rate *= state.is_downstream ? DownstreamGrowthFactor(ratio)
                                               : GrowthFactor(ratio);
    if (*state.allowed_rate >
        std::max(total_demand, state.passed_rate) * kUnlimitedRatio)
      state.allowed_rate.reset();
  }
}

double admission_controller::PassProbability(const service_state& state,
                                             size_t level) {
  if (!state.allowed_rate)
    return 1.0;
  double remaining_rate = *state.allowed_rate;
  for (size_t higher = kLevels; --higher > level;)
    remaining_rate -= state.demand_rate[higher];
  if (remaining_rate <= 0)
    return 0.0;
  return state.demand_rate[level] <= remaining_rate
             ? 1.0
             : remaining_rate / state.demand_rate[level];
}

bool admission_controller::MayProbe(const service_state& state,
                                    time_point now) {
  return now - state.reported_at >= kProbeInterval &&
         now - state.last_probe_at >= kProbeInterval;
}

bool admission_controller::LowerLevelPassed(const service_state& state,
                                            size_t level,
                                            time_point now) {
  for (size_t lower = 0; lower < level; ++lower) {
    if (now - state.last_passed[lower] < kPriorityHold)
      return true;
  }
  return false;
}

bool admission_controller::HigherLevelRefused(const service_state& state,
                                              size_t level,
                                              time_point now) {
  for (size_t higher = level + 1; higher < kLevels; ++higher) {
    if (now - state.last_refused[higher] < kPriorityHold)
      return true;
  }
  return false;
}

std::optional<reason> admission_controller::Check(
    const std::string& service,
    const std::vector<std::string>& downstream,
    priority_class priority,
    bool admitted,
    time_point now,
    random_source& random,
    bool returning) {
  if (admitted && !options_.check_admitted)
    return std::nullopt;
  const size_t level =
      static_cast<size_t>(priority) * 2 + (returning ? 1U : 0U);
  std::vector<service_state*> chain = {&services_[service]};
  for (const std::string& name : downstream) {
    service_state& state = services_[name];
    state.is_downstream = true;
    chain.push_back(&state);
  }

  // One random number for the whole chain, so that the most loaded service
  // alone determines the probability of refusal and the probabilities of two
  // overloaded services don't multiply.
  const double random_fraction = random.Fraction();
  const bool within_min_share = random_fraction < options_.min_class_share;
  service_state* refusing_service = nullptr;
  for (service_state* state : chain) {
    UpdateRate(*state, now);
    ++state->arrivals[level];
    if (now - state->reported_at >= kMaxReportAge)
      continue;
    bool refuse = false;
    if (within_min_share) {
      refuse = false;
    } else if (admitted) {
      refuse =
          state->load_permille > kMaxAdmittedLoadPermille &&
          random_fraction >= kMaxAdmittedLoadPermille / state->load_permille;
    } else if (HigherLevelRefused(*state, level, now)) {
      refuse = true;
    } else if (random_fraction >= PassProbability(*state, level) &&
               (!IsCriticalRoute(priority) ||
                !LowerLevelPassed(*state, level, now))) {
      refuse = !MayProbe(*state, now);
      if (!refuse)
        state->last_probe_at = now;
    }
    if (refuse)
      refusing_service = state;
  }
  if (refusing_service != nullptr) {
    refusing_service->last_refused[level] = now;
    return reason::kOverloaded;
  }
  for (service_state* state : chain) {
    ++state->passed;
    if (!admitted && !within_min_share)
      state->last_passed[level] = now;
  }
  return std::nullopt;
}

std::optional<uint32_t> admission_controller::LoadPermilleOf(
    const std::string& service,
    time_point now) const {
  const auto found = services_.find(service);
  if (found == services_.end() ||
      now - found->second.reported_at >= kMaxReportAge)
    return std::nullopt;
  return static_cast<uint32_t>(found->second.load_permille);
}

}  // namespace skylarkhoist
