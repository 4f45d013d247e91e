#include "decisions/departure_memory.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace skylarkhoist {
namespace {

// Orders departures of one target by how many announcements they outdate.
auto RankOf(const target_departure& departure) {
  return std::make_tuple(departure.run.generation, departure.gone,
                         departure.sequence);
}

}  // namespace

bool departure_memory::Record(const target_departure& departure,
                              time_point now) {
  RemoveOld(now);
  const auto [found, inserted] = rows_.try_emplace(departure.run.id);
  row& known = found->second;
  if (!inserted && RankOf(departure) <= RankOf(known.departure))
    return false;
  known = {departure, now};
  if (rows_.size() > kMaxDepartures)
    rows_.erase(std::min_element(
        rows_.begin(), rows_.end(), [](const auto& left, const auto& right) {
          return left.second.recorded_at < right.second.recorded_at;
        }));
  return true;
}

bool departure_memory::IsOutdated(const target_run& run,
                                  int64_t sequence,
                                  time_point now) {
  RemoveOld(now);
  const auto found = rows_.find(run.id);
  if (found == rows_.end())
    return false;
  const target_departure& known = found->second.departure;
  if (run.generation != known.run.generation)
    return run.generation < known.run.generation;
  return known.gone || sequence <= known.sequence;
}

std::vector<target_departure> departure_memory::All(time_point now) {
  RemoveOld(now);
  std::vector<target_departure> all;
  for (const auto& [id, each] : rows_)
    all.push_back(each.departure);
  return all;
}

void departure_memory::RemoveOld(time_point now) {
  for (auto each = rows_.begin(); each != rows_.end();) {
    each = now - each->second.recorded_at >= kRetention ? rows_.erase(each)
                                                        : std::next(each);
  }
}

}  // namespace skylarkhoist
