#include "decisions/node_view_table.h"

#include <iterator>
#include <utility>

namespace skylarkhoist {

bool node_view_table::Update(const node_view& node, time_point now) {
  const auto found = rows_.find(node.address);
  if (found != rows_.end()) {
    const node_view& known = found->second.node;
    if (known == node ||
        (known.incarnation == node.incarnation && known.version > node.version))
      return false;
  }
  Store(&rows_[node.address], node, now);
  return true;
}

void node_view_table::Store(row* stored,
                            const node_view& node,
                            time_point now) {
  const bool same_run = stored->node.incarnation == node.incarnation;
  std::map<std::string, time_point> serving_since;
  for (const target_view& target : node.targets) {
    if (node.status != node_status::kLive || node.draining || !target.serving)
      continue;
    const auto known = stored->serving_since.find(target.address);
    const bool was_serving = same_run && known != stored->serving_since.end();
    serving_since[target.address] = was_serving ? known->second : now;
  }
  stored->serving_since = std::move(serving_since);
  stored->node = node;
  stored->change = ++change_;
  stored->changed_at = now;
}

bool node_view_table::EndMissing(const std::string& zone,
                                 const std::set<std::string>& addresses,
                                 time_point now) {
  bool changed = false;
  for (auto& [address, each] : rows_) {
    if ((!zone.empty() && each.node.zone != zone) ||
        each.node.status == node_status::kEnded || addresses.count(address) > 0)
      continue;
    node_view ended = each.node;
    ended.status = node_status::kEnded;
    Store(&each, ended, now);
    changed = true;
  }
  return changed;
}

void node_view_table::RemoveEnded(time_point oldest) {
  for (auto each = rows_.begin(); each != rows_.end();) {
    const bool removed = each->second.node.status == node_status::kEnded &&
                         each->second.changed_at < oldest;
    each = removed ? rows_.erase(each) : std::next(each);
  }
}

std::vector<const node_view*> node_view_table::ChangedSince(
    uint64_t change) const {
  std::vector<const node_view*> changed;
  for (const auto& [address, each] : rows_) {
    if (each.change > change)
      changed.push_back(&each.node);
  }
  return changed;
}

const node_view* node_view_table::Find(const std::string& address) const {
  const auto found = rows_.find(address);
  return found == rows_.end() ? nullptr : &found->second.node;
}

time_point node_view_table::ServingSince(
    const std::string& address,
    const std::string& target_address) const {
  const auto found = rows_.find(address);
  if (found == rows_.end())
    return time_point();
  const auto since = found->second.serving_since.find(target_address);
  return since == found->second.serving_since.end() ? time_point()
                                                    : since->second;
}

std::vector<const node_view*> node_view_table::Nodes() const {
  std::vector<const node_view*> nodes;
  nodes.reserve(rows_.size());
  for (const auto& [address, each] : rows_)
    nodes.push_back(&each.node);
  return nodes;
}

}  // namespace skylarkhoist
