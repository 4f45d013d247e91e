#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "testing/config_fleet.h"
#include "testing/measurement.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kFollowerCount = 15;
constexpr int kWriterCount = 8;
constexpr int kPathCount = 20;

// Measures how long a configuration change takes to be in force on all of 15
// followers. 8 writers change the same paths at the same time, 10% of the
// responses to appends are lost, and the log has two outages.
class config_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    manual_loop loop;
    mt_random random(options.seed);
    config_fleet fleet(&loop, &random, kFollowerCount);
    fleet.StartAll();
    fleet.JoinAll();
    fleet.log().faults().lost_answer_probability = 0.1;
    const int change_count =
        std::max(kWriterCount, static_cast<int>(1000 * options.scale));
    std::vector<tracked_change> changes(static_cast<size_t>(change_count));
    for (int i = 0; i < change_count; ++i) {
      // Each of the two outages covers 1/50 of the changes.
      const bool down =
          (i >= change_count / 3 && i < change_count / 3 + change_count / 50) ||
          (i >= change_count * 2 / 3 &&
           i < change_count * 2 / 3 + change_count / 50);
      if (down != fleet.log().faults().down) {
        fleet.log().faults().down = down;
        (down ? outage_starts_ : outage_ends_).push_back(loop.Now());
      }
      StartChange(&fleet, &loop, &random, &changes, static_cast<size_t>(i));
      for (int step = 0; step < 20; ++step)
        Advance(&fleet, &loop, &changes);
    }
    for (int step = 0; step < 6000 && !Finished(fleet, changes); ++step)
      Advance(&fleet, &loop, &changes);
    return {Report(fleet, changes, options)};
  }

 private:
  struct tracked_change {
    std::string path;
    time_point published;
    bool answered = false;
    append_result result;
    bool in_force = false;
    time_point in_force_at;
  };

  // Appends a change at a random follower. Consecutive changes of different
  // writers go to the same path, so that they conflict.
  static void StartChange(config_fleet* fleet,
                          manual_loop* loop,
                          random_source* random,
                          std::vector<tracked_change>* changes,
                          size_t index) {
    config_follower& follower = fleet->follower(random->Below(kFollowerCount));
    tracked_change& change = (*changes)[index];
    change.path =
        "/customers/c" + std::to_string((index / kWriterCount) %
                                        static_cast<size_t>(kPathCount));
    change.published = loop->Now();
    const auto entry = follower.state().entries().find(change.path);
    const uint64_t base_version =
        entry == follower.state().entries().end() ? 0 : entry->second.version;
    follower.AppendChange(change.path, base_version,
                          json{{"weight", index % 999 + 1}},
                          "writer" + std::to_string(index % kWriterCount),
                          [changes, index](const append_result& result) {
                            (*changes)[index].answered = true;
                            (*changes)[index].result = result;
                          });
  }

  static void Advance(config_fleet* fleet,
                      manual_loop* loop,
                      std::vector<tracked_change>* changes) {
    loop->Advance(milliseconds(5));
    const uint64_t offset = fleet->MinOffset();
    for (tracked_change& change : *changes) {
      if (change.answered && !change.in_force &&
          change.result.state == append_state::kAccepted &&
          change.result.offset <= offset) {
        change.in_force = true;
        change.in_force_at = loop->Now();
      }
    }
  }

  static bool Finished(const config_fleet& fleet,
                       const std::vector<tracked_change>& changes) {
    return fleet.AllAgree() &&
           std::all_of(
               changes.begin(), changes.end(),
               [](const tracked_change& change) {
                 return change.answered &&
                        (change.in_force ||
                         change.result.state != append_state::kAccepted);
               });
  }

  bool OverlapsOutage(const tracked_change& change) const {
    for (size_t i = 0; i < outage_starts_.size(); ++i) {
      if (change.in_force_at >= outage_starts_[i] &&
          change.published <= outage_ends_[i])
        return true;
    }
    return false;
  }

  static json Percentiles(std::vector<double> values) {
    if (values.empty())
      return {{"count", 0}};
    std::sort(values.begin(), values.end());
    const auto value_at = [&values](double quantile) {
      return values[static_cast<size_t>(
          quantile * static_cast<double>(values.size() - 1))];
    };
    return {{"count", values.size()},
            {"p50_ms", value_at(0.5)},
            {"p99_ms", value_at(0.99)},
            {"max_ms", values.back()}};
  }

  json Report(const config_fleet& fleet,
              const std::vector<tracked_change>& changes,
              const measurement_options& options) const {
    std::vector<double> all_ms;
    std::vector<double> healthy_ms;
    std::map<append_state, int> count_by_state;
    int lost_changes = 0;
    int unanswered = 0;
    int void_with_entry_in_force = 0;
    for (const tracked_change& change : changes) {
      unanswered += change.answered ? 0 : 1;
      if (!change.answered)
        continue;
      ++count_by_state[change.result.state];
      void_with_entry_in_force += change.result.entry_in_force ? 1 : 0;
      if (change.result.state != append_state::kAccepted)
        continue;
      const auto entry = fleet.follower(0).state().entries().find(change.path);
      if (!change.in_force ||
          entry == fleet.follower(0).state().entries().end() ||
          entry->second.version < change.result.offset) {
        ++lost_changes;
        continue;
      }
      const auto elapsed_ms = static_cast<double>(
          ToMilliseconds(change.in_force_at - change.published));
      all_ms.push_back(elapsed_ms);
      if (!OverlapsOutage(change))
        healthy_ms.push_back(elapsed_ms);
    }
    const json healthy_percentiles = Percentiles(healthy_ms);
    return {{"measurement", "config"},
            {"seed", options.seed},
            {"followers", kFollowerCount},
            {"changes", changes.size()},
            {"accepted", count_by_state[append_state::kAccepted]},
            {"void", count_by_state[append_state::kVoid]},
            {"void_with_both_sides", void_with_entry_in_force},
            {"unknown", count_by_state[append_state::kUnknown]},
            {"unanswered", unanswered},
            {"lost_answers", fleet.log().lost_answers()},
            {"lost", lost_changes},
            {"reverts", fleet.reverts()},
            {"all_agree", fleet.AllAgree()},
            {"in_force", Percentiles(all_ms)},
            {"in_force_healthy_log", healthy_percentiles},
            {"bound_healthy_ms", 3000},
            {"within_bound", healthy_percentiles.value("max_ms", 0.0) <= 3000}};
  }

  std::vector<time_point> outage_starts_;
  std::vector<time_point> outage_ends_;
};

const measurement_registry::registration kConfig("config", [] {
  return std::make_unique<config_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
