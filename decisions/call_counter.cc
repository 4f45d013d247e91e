#include "decisions/call_counter.h"

namespace skylarkhoist {

void call_counter::OnRun(const std::string& route) {
  if (routes_.size() >= kMaxRoutes && routes_.count(route) == 0)
    routes_.clear();
  run_route& run = routes_[route];
  run.runs = run.runs * kForgetting + 1;
  for (auto& [name, calls] : run.calls)
    calls *= kForgetting;
}

void call_counter::OnCall(const std::string& route,
                          const std::string& call_route) {
  const auto found = routes_.find(route);
  if (found == routes_.end())
    return;
  has_calls_ = true;
  auto& calls = found->second.calls;
  if (calls.size() < kMaxRoutes || calls.count(call_route) > 0)
    calls[call_route] += 1;
}

std::vector<std::string> call_counter::CallsOf(const std::string& route) const {
  std::vector<std::string> found;
  const auto run = routes_.find(route);
  if (run == routes_.end())
    return found;
  for (const auto& [name, calls] : run->second.calls) {
    if (calls >= kLeastCalls * run->second.runs)
      found.push_back(name);
  }
  return found;
}

json call_counter::ToJson() const {
  json routes = json::object();
  for (const auto& [route, run] : routes_) {
    const std::vector<std::string> calls = CallsOf(route);
    if (!calls.empty())
      routes[route] = calls;
  }
  return routes;
}

}  // namespace skylarkhoist
