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

constexpr size_t kFollowers = 15;
constexpr int kWriters = 8;
constexpr int kPaths = 20;

// Racing writers on 15 followers, with lost answers and two outages of the log.
class config_measurement : public measurement {
 public:
  std::vector<json> Run(const measurement_options& options) override {
    manual_loop loop;
    mt_random random(options.seed);
    config_fleet fleet(&loop, &random, kFollowers);
    fleet.StartAll();
    fleet.JoinAll();
    fleet.log().faults().lost_answers = 0.1;
    const int total =
        std::max(kWriters, static_cast<int>(1000 * options.scale));
    std::vector<change> changes(static_cast<size_t>(total));
    for (int i = 0; i < total; ++i) {
      // Two outages, each as long as a fiftieth of the changes takes.
      const bool down = (i >= total / 3 && i < total / 3 + total / 50) ||
                        (i >= total * 2 / 3 && i < total * 2 / 3 + total / 50);
      if (down != fleet.log().faults().down) {
        fleet.log().faults().down = down;
        (down ? outage_starts_ : outage_ends_).push_back(loop.Now());
      }
      Write(&fleet, &loop, &random, &changes, static_cast<size_t>(i));
      for (int step = 0; step < 20; ++step)
        Advance(&fleet, &loop, &changes);
    }
    for (int step = 0; step < 6000 && !Finished(fleet, changes); ++step)
      Advance(&fleet, &loop, &changes);
    return {Report(fleet, changes, options)};
  }

 private:
  struct change {
    std::string path;
    time_point published;
    bool answered = false;
    append_result result;
    bool in_force = false;
    time_point in_force_at;
  };

  // Racing writers work on the same path at the same time.
  static void Write(config_fleet* fleet,
                    manual_loop* loop,
                    random_source* random,
                    std::vector<change>* changes,
                    size_t index) {
    config_follower& follower = fleet->follower(random->Below(kFollowers));
    change& item = (*changes)[index];
    item.path = "/customers/c" + std::to_string((index / kWriters) %
                                                static_cast<size_t>(kPaths));
    item.published = loop->Now();
    const auto entry = follower.fold().entries().find(item.path);
    const uint64_t base =
        entry == follower.fold().entries().end() ? 0 : entry->second.version;
    follower.AppendChange(item.path, base, json{{"weight", index % 999 + 1}},
                          "writer" + std::to_string(index % kWriters),
                          [changes, index](const append_result& result) {
                            (*changes)[index].answered = true;
                            (*changes)[index].result = result;
                          });
  }

  static void Advance(config_fleet* fleet,
                      manual_loop* loop,
                      std::vector<change>* changes) {
    loop->Advance(milliseconds(5));
    const uint64_t offset = fleet->MinOffset();
    for (change& item : *changes) {
      if (item.answered && !item.in_force &&
          item.result.state == append_state::kAccepted &&
          item.result.offset <= offset) {
        item.in_force = true;
        item.in_force_at = loop->Now();
      }
    }
  }

  static bool Finished(const config_fleet& fleet,
                       const std::vector<change>& changes) {
    return fleet.AllAgree() &&
           std::all_of(changes.begin(), changes.end(), [](const change& item) {
             return item.answered &&
                    (item.in_force ||
                     item.result.state != append_state::kAccepted);
           });
  }

  bool MeetsOutage(const change& item) const {
    for (size_t i = 0; i < outage_starts_.size(); ++i) {
      if (item.in_force_at >= outage_starts_[i] &&
          item.published <= outage_ends_[i])
        return true;
    }
    return false;
  }

  static json Spread(std::vector<double> values) {
    if (values.empty())
      return {{"count", 0}};
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) {
      return values[static_cast<size_t>(
          share * static_cast<double>(values.size() - 1))];
    };
    return {{"count", values.size()},
            {"p50_ms", at(0.5)},
            {"p99_ms", at(0.99)},
            {"max_ms", values.back()}};
  }

  json Report(const config_fleet& fleet,
              const std::vector<change>& changes,
              const measurement_options& options) const {
    std::vector<double> all;
    std::vector<double> healthy;
    std::map<append_state, int> states;
    int lost = 0;
    int unanswered = 0;
    int void_with_both_sides = 0;
    for (const change& item : changes) {
      unanswered += item.answered ? 0 : 1;
      if (!item.answered)
        continue;
      ++states[item.result.state];
      void_with_both_sides += item.result.in_force ? 1 : 0;
      if (item.result.state != append_state::kAccepted)
        continue;
      const auto entry = fleet.follower(0).fold().entries().find(item.path);
      if (!item.in_force || entry == fleet.follower(0).fold().entries().end() ||
          entry->second.version < item.result.offset) {
        ++lost;
        continue;
      }
      const auto time = static_cast<double>(
          ToMilliseconds(item.in_force_at - item.published));
      all.push_back(time);
      if (!MeetsOutage(item))
        healthy.push_back(time);
    }
    const json healthy_spread = Spread(healthy);
    return {{"measurement", "config"},
            {"seed", options.seed},
            {"followers", kFollowers},
            {"changes", changes.size()},
            {"accepted", states[append_state::kAccepted]},
            {"void", states[append_state::kVoid]},
            {"void_with_both_sides", void_with_both_sides},
            {"unknown", states[append_state::kUnknown]},
            {"unanswered", unanswered},
            {"lost_answers", fleet.log().lost_answers()},
            {"lost", lost},
            {"reverts", fleet.reverts()},
            {"all_agree", fleet.AllAgree()},
            {"in_force", Spread(all)},
            {"in_force_healthy_log", healthy_spread},
            {"bound_healthy_ms", 3000},
            {"within_bound", healthy_spread.value("max_ms", 0.0) <= 3000}};
  }

  std::vector<time_point> outage_starts_;
  std::vector<time_point> outage_ends_;
};

const measurement_registry::entry kConfig("config", [] {
  return std::make_unique<config_measurement>();
});

}  // namespace
}  // namespace skylarkhoist
