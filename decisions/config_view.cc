#include "decisions/config_view.h"

namespace skylarkhoist {
namespace {

bool MatchesPrefix(std::string_view path, std::string_view prefix) {
  if (path.substr(0, prefix.size()) != prefix)
    return false;
  return path.size() == prefix.size() || prefix.empty() ||
         prefix.back() == '/' || path[prefix.size()] == '/';
}

}  // namespace

const route_config* config_view::FindRoute(std::string_view host,
                                           std::string_view method,
                                           std::string_view path) const {
  path = path.substr(0, path.find('?'));
  const route_config* best = nullptr;
  for (const auto& [name, route] : routes) {
    if ((!route.host.empty() && route.host != host) ||
        !MatchesPrefix(path, route.path_prefix))
      continue;
    if (!route.methods.empty() && route.methods.count(std::string(method)) == 0)
      continue;
    if (best == nullptr || route.path_prefix.size() > best->path_prefix.size())
      best = &route;
  }
  return best;
}

}  // namespace skylarkhoist
