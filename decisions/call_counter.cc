#include "decisions/call_counter.h"

namespace skylarkhoist {

void call_counter::OnRunStart(const std::string& route) {
  if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0)
    routes_.clear();
  route_stats& stats = routes_[route];
  stats.runs = stats.runs * kDecayFactor + 1;
  for (auto& [name, calls] : stats.calls)
    calls *= kDecayFactor;
}

void call_counter::OnCall(const std::string& route,
                          const std::string& called_route) {
  const auto found = routes_.find(route);
  if (found == routes_.end())
    return;
  has_calls_ = true;
  auto& calls = found->second.calls;
  if (calls.size() < kMaxRoutes || calls.count(called_route) > 0)
    calls[called_route] += 1;
}

std::vector<std::string> call_counter::CalledRoutes(
    const std::string& route) const {
  std::vector<std::string> found;
  const auto stats = routes_.find(route);
  if (stats == routes_.end())
    return found;
  for (const auto& [name, calls] : stats->second.calls) {
    if (calls >= kMinCallsPerRun * stats->second.runs)
      found.push_back(name);
  }
  return found;
}

json call_counter::ToJson() const {
  json routes = json::object();
  for (const auto& [route, stats] : routes_) {
    const std::vector<std::string> calls = CalledRoutes(route);
    if (!calls.empty())
      routes[route] = calls;
  }
  return routes;
}

}  // namespace skylarkhoist
