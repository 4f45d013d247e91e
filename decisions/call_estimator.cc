#include "decisions/call_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkhoist {
namespace {

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

// Solves matrix * x = vector by elimination. The matrix is symmetric and
// positive definite, so no pivot is 0.
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
    double rest = vector[i];
    for (size_t column = i + 1; column < size; ++column)
      rest -= matrix[i][column] * solution[column];
    solution[i] = rest / matrix[i][i];
  }
  return solution;
}

}  // namespace

void call_estimator::Account(run_route* run, time_point now) {
  run->run_seconds += run->running * Seconds(now - run->changed);
  run->changed = now;
}

call_estimator::run_route* call_estimator::FindRun(const std::string& route,
                                                   time_point now) {
  const auto found = runs_.find(route);
  if (found != runs_.end())
    return &found->second;
  if (runs_.size() >= kMaxRoutes)
    return nullptr;
  run_route& added = runs_[route];
  added.index = runs_.size() - 1;
  added.changed = now;
  for (auto& row : squares_)
    row.push_back(0);
  squares_.emplace_back(runs_.size(), 0.0);
  return &added;
}

void call_estimator::OnRunStart(const std::string& route, time_point now) {
  Advance(now);
  run_route* run = FindRun(route, now);
  if (run == nullptr)
    return;
  Account(run, now);
  ++run->running;
  ++run->total_runs;
}

void call_estimator::OnRunEnd(const std::string& route, time_point now) {
  Advance(now);
  const auto found = runs_.find(route);
  if (found == runs_.end() || found->second.running == 0)
    return;
  Account(&found->second, now);
  --found->second.running;
}

void call_estimator::OnCall(const std::string& route, time_point now) {
  Advance(now);
  const auto found = calls_.find(route);
  if (found != calls_.end())
    ++found->second.calls;
  else if (calls_.size() < kMaxRoutes)
    calls_[route].calls = 1;
}

void call_estimator::Advance(time_point now) {
  if (interval_start_ == time_point())
    interval_start_ = now;
  if (now - interval_start_ < kInterval)
    return;
  for (auto& [name, run] : runs_)
    Account(&run, now);
  CloseInterval();
  interval_start_ = now;
}

void call_estimator::CloseInterval() {
  if (std::exchange(skip_, false)) {
    for (auto& [name, run] : runs_)
      run.run_seconds = 0;
    for (auto& [name, call] : calls_)
      call.calls = 0;
    return;
  }
  std::vector<double> run_time(runs_.size());
  for (auto& [name, run] : runs_) {
    run_time[run.index] = std::exchange(run.run_seconds, 0.0);
    run.total_seconds = run.total_seconds * kForgetting + run_time[run.index];
    run.total_runs *= kForgetting;
  }
  for (size_t row = 0; row < run_time.size(); ++row) {
    for (size_t column = 0; column < run_time.size(); ++column)
      squares_[row][column] = squares_[row][column] * kForgetting +
                              run_time[row] * run_time[column];
  }
  for (auto& [name, call] : calls_) {
    call.products.resize(run_time.size());
    const double calls = std::exchange(call.calls, 0.0);
    for (size_t i = 0; i < run_time.size(); ++i)
      call.products[i] = call.products[i] * kForgetting + calls * run_time[i];
  }
  Solve();
}

void call_estimator::Solve() {
  std::vector<std::vector<double>> matrix = squares_;
  // In the scale of the values, so that it does not depend on the load.
  for (size_t i = 0; i < matrix.size(); ++i)
    matrix[i][i] += kRidge * Seconds(kInterval) * Seconds(kInterval);
  for (auto& [name, call] : calls_)
    call.rates = SolveLinear(matrix, call.products);
}

double call_estimator::CallsPerRun(const std::string& route,
                                   const std::string& call_route) const {
  const auto run = runs_.find(route);
  const auto call = calls_.find(call_route);
  if (run == runs_.end() || call == calls_.end() ||
      run->second.index >= call->second.rates.size() ||
      run->second.total_runs < 1.0)
    return 0;
  const double length = run->second.total_seconds / run->second.total_runs;
  return std::max(0.0, call->second.rates[run->second.index] * length);
}

std::vector<std::string> call_estimator::CallsOf(
    const std::string& route) const {
  std::vector<std::string> found;
  for (const auto& [name, call] : calls_) {
    double most = 0;
    for (const auto& [other, run] : runs_)
      most = std::max(most, CallsPerRun(other, name));
    const double own = CallsPerRun(route, name);
    if (own >= kLeastCalls && own >= most * kLeastShare)
      found.push_back(name);
  }
  return found;
}

}  // namespace skylarkhoist
