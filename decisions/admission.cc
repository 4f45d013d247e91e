#include "decisions/admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;

// Long enough for answers to show the effect of the previous step.
constexpr duration kInterval = milliseconds(50);
// The same for a service deeper in the chain, which a call reaches only after
// the work of the services before it.
constexpr duration kChainInterval = milliseconds(200);
// Time constant of the average over reports.
constexpr double kLevelSeconds = 0.03;
// Bounds of one step of the rate. A drop to a third, as in a surge to three
// times capacity, takes about 200 ms with the usual largest cut.
constexpr double kSmallestGrowth = 1.01;
constexpr double kLargestGrowth = 1.5;
// Steps of a deep service are rarer, so they are larger where there is room.
constexpr double kLargestChainGrowth = 2.0;
// The rate never falls below this share of the demand: the calls that pass keep
// the view fresh, and the rate returns within a second.
constexpr double kProbeShare = 0.02;
// Above this share of the recent rate a limit has no effect and is dropped.
constexpr double kUnlimitedAt = 2.0;
// Without answers for this long, one call passes to renew the level.
constexpr duration kProbeInterval = milliseconds(100);

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

double Growth(double ratio) {
  return std::clamp(1.0 + (1.0 - ratio) * 0.8, kSmallestGrowth, kLargestGrowth);
}

// As strong as the cut on the other side: what a step lets in is seen there
// only after two or three more steps, and a stronger gain makes the rate swing.
double DeepGrowth(double ratio) {
  return std::clamp(std::sqrt(1.0 / std::max(ratio, 0.01)), kSmallestGrowth,
                    kLargestChainGrowth);
}

}  // namespace

void admission::OnLoad(const std::string& service,
                       uint32_t permille,
                       time_point now) {
  service_state& state = services_[service];
  const double age = Seconds(now - state.reported);
  if (now - state.reported >= kMaxAge) {
    state.level = permille;
  } else {
    // A report moves the average by at least a twentieth, so that many reports
    // at one instant have an effect.
    const double share = std::clamp(age / (age + kLevelSeconds), 0.05, 1.0);
    state.level += share * (permille - state.level);
  }
  state.reported = now;
}

void admission::Adjust(service_state& state, time_point now) const {
  const duration elapsed = now - state.interval_start;
  if (elapsed < (state.deep ? kChainInterval : kInterval))
    return;
  const double seconds = Seconds(elapsed);
  // After a pause the old averages say nothing.
  const double share = elapsed > kMaxAge ? 1.0 : 0.5;
  for (size_t rank = 0; rank < kPriorityLevels; ++rank) {
    state.demand[rank] +=
        share * (state.arrived[rank] / seconds - state.demand[rank]);
  }
  state.passed_rate += share * (state.passed / seconds - state.passed_rate);
  state.arrived.fill(0);
  state.passed = 0;
  state.interval_start = now;

  if (now - state.reported >= kMaxAge) {
    state.allowed.reset();
    return;
  }
  double demand = 0;
  for (const double rate : state.demand)
    demand += rate;
  const double ratio =
      state.level / (state.deep ? options_.chain_target_load : kTargetLoad);
  if (ratio > 1.0) {
    const double from = state.allowed
                            ? std::min(*state.allowed, state.passed_rate * 1.5)
                            : state.passed_rate;
    const double cut =
        std::clamp(1.0 - (ratio - 1.0) * 0.5, options_.largest_cut, 1.0);
    state.allowed = std::max({from * cut, demand * kProbeShare, 1.0});
  } else if (state.allowed) {
    *state.allowed *= state.deep ? DeepGrowth(ratio) : Growth(ratio);
    if (*state.allowed > std::max(demand, state.passed_rate) * kUnlimitedAt)
      state.allowed.reset();
  }
}

double admission::PassShare(const service_state& state, size_t rank) {
  if (!state.allowed)
    return 1.0;
  double left = *state.allowed;
  for (size_t higher = kPriorityLevels; --higher > rank;)
    left -= state.demand[higher];
  if (left <= 0)
    return 0.0;
  return state.demand[rank] <= left ? 1.0 : left / state.demand[rank];
}

bool admission::MayProbe(const service_state& state, time_point now) {
  return now - state.reported >= kProbeInterval &&
         now - state.last_probe >= kProbeInterval;
}

bool admission::LowerPassed(const service_state& state,
                            size_t rank,
                            time_point now) {
  for (size_t lower = 0; lower < rank; ++lower) {
    if (now - state.passed_at[lower] < kClassHold)
      return true;
  }
  return false;
}

bool admission::HigherRefused(const service_state& state,
                              size_t rank,
                              time_point now) {
  for (size_t higher = rank + 1; higher < kPriorityLevels; ++higher) {
    if (now - state.refused[higher] < kClassHold)
      return true;
  }
  return false;
}

std::optional<reason> admission::Check(
    const std::string& service,
    const std::vector<std::string>& downstream,
    priority_class rank,
    bool admitted,
    time_point now,
    random_source& random) {
  if (admitted && !options_.check_admitted)
    return std::nullopt;
  const auto index = static_cast<size_t>(rank);
  std::vector<service_state*> chain = {&services_[service]};
  for (const std::string& name : downstream) {
    service_state& state = services_[name];
    state.deep = true;
    chain.push_back(&state);
  }

  // One draw for the whole chain: the tightest service decides, and two short
  // services don't multiply their refusals.
  const double draw = random.Fraction();
  const bool by_floor = draw < options_.floor_share;
  service_state* refusing = nullptr;
  for (service_state* state : chain) {
    Adjust(*state, now);
    ++state->arrived[index];
    if (now - state->reported >= kMaxAge)
      continue;
    bool refuse = false;
    if (by_floor) {
      refuse = false;
    } else if (admitted) {
      refuse =
          state->level > kAdmittedLoad && draw >= kAdmittedLoad / state->level;
    } else if (HigherRefused(*state, index, now)) {
      refuse = true;
    } else if (draw >= PassShare(*state, index) &&
               (!IsCriticalRoute(rank) || !LowerPassed(*state, index, now))) {
      refuse = !MayProbe(*state, now);
      if (!refuse)
        state->last_probe = now;
    }
    if (refuse)
      refusing = state;
  }
  if (refusing != nullptr) {
    refusing->refused[index] = now;
    return reason::kOverloaded;
  }
  for (service_state* state : chain) {
    ++state->passed;
    if (!admitted && !by_floor)
      state->passed_at[index] = now;
  }
  return std::nullopt;
}

std::optional<uint32_t> admission::LevelOf(const std::string& service,
                                           time_point now) const {
  const auto found = services_.find(service);
  if (found == services_.end() || now - found->second.reported >= kMaxAge)
    return std::nullopt;
  return static_cast<uint32_t>(found->second.level);
}

}  // namespace skylarkhoist
