#include "decisions/call_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkhoist {
namespace {

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

// Solves matrix * x = vector by Gaussian elimination. The matrix is symmetric
// and positive definite, so no pivot is 0.
std::vector<double> SolveLinear(std::vector<std::vector<double>> matrix,
                                std::vector<double> vector) {
  const size_t size = vector.size();
  for (size_t i = 0; i < size; ++i) {
    for (size_t row = i + 1; row < size; ++row) {
      const double factor = matrix[row][i] / matrix[i][i];
      for (size_t column = i; column < size; ++column)
        matrix[row][column] -= factor * matrix[i][column];
      vector[row] -= factor * vector[i];
    }
  }
  std::vector<double> solution(size);
  for (size_t i = size; i-- > 0;) {
    double remainder = vector[i];
    for (size_t column = i + 1; column < size; ++column)
      remainder -= matrix[i][column] * solution[column];
    solution[i] = remainder / matrix[i][i];
  }
  return solution;
}

}  // namespace

void call_estimator::AccumulateRunTime(run_stats* run, time_point now) {
  run->interval_run_seconds += run->running * Seconds(now - run->updated_at);
  run->updated_at = now;
}

call_estimator::run_stats* call_estimator::FindOrAddRoute(
    const std::string& route,
    time_point now) {
  const auto found = runs_.find(route);
  if (found != runs_.end())
    return &found->second;
  if (runs_.size() >= kMaxFittedRoutes)
    return nullptr;
  run_stats& stats = runs_[route];
  stats.index = runs_.size() - 1;
  stats.updated_at = now;
  for (auto& row : run_time_products_)
    row.push_back(0);
  run_time_products_.emplace_back(runs_.size(), 0.0);
  return &stats;
}

void call_estimator::OnRunStart(const std::string& route, time_point now) {
  Advance(now);
  run_stats* run = FindOrAddRoute(route, now);
  if (run == nullptr)
    return;
  AccumulateRunTime(run, now);
  ++run->running;
  ++run->total_runs;
}

void call_estimator::OnRunEnd(const std::string& route, time_point now) {
  Advance(now);
  const auto found = runs_.find(route);
  if (found == runs_.end() || found->second.running == 0)
    return;
  AccumulateRunTime(&found->second, now);
  --found->second.running;
}

void call_estimator::OnCall(const std::string& route, time_point now) {
  Advance(now);
  const auto found = calls_.find(route);
  if (found != calls_.end())
    ++found->second.calls;
  else if (calls_.size() < kMaxFittedRoutes)
    calls_[route].calls = 1;
}

void call_estimator::Advance(time_point now) {
  if (interval_start_ == time_point())
    interval_start_ = now;
  if (now - interval_start_ < kInterval)
    return;
  for (auto& [name, run] : runs_)
    AccumulateRunTime(&run, now);
  CloseInterval();
  interval_start_ = now;
}

void call_estimator::CloseInterval() {
  if (std::exchange(skip_interval_, false)) {
    for (auto& [name, run] : runs_)
      run.interval_run_seconds = 0;
    for (auto& [name, call] : calls_)
      call.calls = 0;
    return;
  }
  std::vector<double> run_times(runs_.size());
  for (auto& [name, run] : runs_) {
    run_times[run.index] = std::exchange(run.interval_run_seconds, 0.0);
    run.total_seconds = run.total_seconds * kDecayFactor + run_times[run.index];
    run.total_runs *= kDecayFactor;
  }
  for (size_t row = 0; row < run_times.size(); ++row) {
    for (size_t column = 0; column < run_times.size(); ++column)
      run_time_products_[row][column] =
          run_time_products_[row][column] * kDecayFactor +
          run_times[row] * run_times[column];
  }
  for (auto& [name, call] : calls_) {
    call.call_run_products.resize(run_times.size());
    const double calls = std::exchange(call.calls, 0.0);
    for (size_t i = 0; i < run_times.size(); ++i)
      call.call_run_products[i] =
          call.call_run_products[i] * kDecayFactor + calls * run_times[i];
  }
  SolveCallRates();
}

void call_estimator::SolveCallRates() {
  std::vector<std::vector<double>> matrix = run_time_products_;
  // Scaled like the entries of the matrix and independent of the load.
  for (size_t i = 0; i < matrix.size(); ++i)
    matrix[i][i] += kRidgePenalty * Seconds(kInterval) * Seconds(kInterval);
  for (auto& [name, call] : calls_)
    call.calls_per_run_second = SolveLinear(matrix, call.call_run_products);
}

double call_estimator::CallsPerRun(const std::string& route,
                                   const std::string& called_route) const {
  const auto run = runs_.find(route);
  const auto call = calls_.find(called_route);
  if (run == runs_.end() || call == calls_.end() ||
      run->second.index >= call->second.calls_per_run_second.size() ||
      run->second.total_runs < 1.0)
    return 0;
  const double mean_run_seconds =
      run->second.total_seconds / run->second.total_runs;
  return std::max(0.0, call->second.calls_per_run_second[run->second.index] *
                           mean_run_seconds);
}

std::vector<std::string> call_estimator::CalledRoutes(
    const std::string& route) const {
  std::vector<std::string> found;
  for (const auto& [name, call] : calls_) {
    double max_calls = 0;
    for (const auto& [other, run] : runs_)
      max_calls = std::max(max_calls, CallsPerRun(other, name));
    const double own_calls = CallsPerRun(route, name);
    if (own_calls >= kMinCallsPerRun &&
        own_calls >= max_calls * kMinShareOfLargest)
      found.push_back(name);
  }
  return found;
}

}  // namespace skylarkhoist
