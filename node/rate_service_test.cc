#include "node/rate_service.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>
#include <memory>

#include "testing/manual_loop.h"
#include "testing/rate_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 200;
constexpr double kBurst = 40;

// A fleet with load from one customer and a checker of that customer's limit.
struct loaded_fleet {
  loaded_fleet(uint64_t seed, size_t nodes, bool skip_lease = false)
      : random(seed) {
    fleet.default_options().fault_skip_lease = skip_lease;
    for (size_t i = 0; i < nodes; ++i)
      fleet.AddNode("n" + std::to_string(i), "z" + std::to_string(i % 3));
    fleet.SetRate("acme", kRate, kBurst);
    fleet.Publish(duration::zero());
  }

  // Sends `calls_per_second` for `time`, to random nodes or to `only_node`.
  void Run(duration time, double calls_per_second, int only_node = -1) {
    const time_point end = clock.Now() + time;
    while (clock.Now() < end) {
      clock.Advance(
          std::chrono::duration_cast<duration>(std::chrono::duration<double>(
              random.Fraction() * 2 / calls_per_second)));
      Call(only_node >= 0 ? static_cast<size_t>(only_node) % fleet.size()
                          : random.Below(fleet.size()));
    }
  }
  void Call(size_t node) {
    if (!fleet.IsAvailable(node))
      return;
    ++calls;
    fleet.service(node).Acquire("acme", clock.Now() + seconds(1),
                                [this](reason result) {
                                  ++results[result];
                                  if (result == reason::kOk)
                                    checker.OnGranted(clock.Now());
                                });
  }
  int Ok() { return results[reason::kOk]; }

  manual_loop clock;
  mt_random random;
  memory_network network{&clock, &random};
  rate_fleet fleet{&clock, &random, &network};
  rate_window_checker checker{kRate, kBurst};
  std::map<reason, int> results;
  int calls = 0;
};

TEST_GROUP(rate_service){};

TEST(rate_service, GrantsWithinTheRate) {
  loaded_fleet run(1, 9);
  run.clock.Advance(seconds(6));
  CHECK_EQUAL(1, run.fleet.OwnerCount("acme"));
  run.Run(seconds(10), 0.7 * kRate);
  run.clock.Advance(seconds(1));
  CHECK_EQUAL(run.calls, run.Ok());
}

TEST(rate_service, LimitsTheWholeFleet) {
  loaded_fleet run(2, 9);
  run.clock.Advance(seconds(6));
  run.Run(seconds(10), 5 * kRate);
  run.clock.Advance(seconds(1));
  CHECK_EQUAL(0, run.checker.MaxExcess());
  CHECK_TRUE(run.Ok() > 10 * kRate * 0.95);
  CHECK_EQUAL(run.calls, run.Ok() + run.results[reason::kRateLimited]);
}

// Guards against a takeover that waits for leases and loans to expire although
// the owner's process is known to have exited.
TEST(rate_service, TakesOverAtOnceFromACrashedOwner) {
  loaded_fleet run(3, 9);
  run.clock.Advance(seconds(11));
  run.Run(seconds(2), 0.5 * kRate);
  run.fleet.Crash(static_cast<size_t>(run.fleet.OwnerOf("acme")));
  run.Run(milliseconds(200), 0.5 * kRate);
  CHECK_EQUAL(1, run.fleet.OwnerCount("acme"));
  run.Run(seconds(2), 0.5 * kRate);
  CHECK_EQUAL(0, run.checker.MaxExcess());
  CHECK_EQUAL(0, run.results[reason::kRateUnavailable]);
}

// Guards against a takeover before the lease has expired, only because the
// owner is silent.
TEST(rate_service, WaitsForTheLeaseOfAPausedOwner) {
  loaded_fleet run(4, 9);
  run.clock.Advance(seconds(11));
  run.Run(seconds(2), 0.5 * kRate);
  const auto owner = static_cast<size_t>(run.fleet.OwnerOf("acme"));
  run.fleet.Pause(owner);
  run.Run(milliseconds(500), 0.5 * kRate);
  CHECK_EQUAL(-1, run.fleet.OwnerOf("acme"));
  run.Run(seconds(4), 0.5 * kRate);
  CHECK_TRUE(run.fleet.OwnerOf("acme") >= 0);
  run.fleet.Resume(owner);
  CHECK_EQUAL(1, run.fleet.OwnerCount("acme"));
  run.Run(seconds(2), 2 * kRate);
  CHECK_EQUAL(0, run.checker.MaxExcess());
}

// Guards against an early start while a node that does not answer may still
// spend tokens that the previous owner lent to it.
TEST(rate_service, WaitsForLoansThatNobodyReports) {
  loaded_fleet run(7, 9);
  run.clock.Advance(seconds(11));
  const auto owner = static_cast<size_t>(run.fleet.OwnerOf("acme"));
  const size_t cut_off = (owner + 1) % 9;
  for (int i = 0; i < 30; ++i)
    run.Call(cut_off);
  run.clock.Advance(milliseconds(50));
  std::set<std::string> others;
  for (size_t i = 0; i < 9; ++i) {
    if (i != cut_off)
      others.insert(run.fleet.address(i));
  }
  run.network.Partition({run.fleet.address(cut_off)}, others);
  run.fleet.Crash(owner);
  run.clock.Advance(milliseconds(1500));
  CHECK_EQUAL(0, run.fleet.OwnerCount("acme"));
  run.clock.Advance(milliseconds(1500));
  CHECK_EQUAL(1, run.fleet.OwnerCount("acme"));
}

// Guards against a planned stop that loses tokens.
TEST(rate_service, DrainHandsTokensToTheNextOwner) {
  loaded_fleet run(5, 9);
  run.clock.Advance(seconds(12));
  const auto owner = static_cast<size_t>(run.fleet.OwnerOf("acme"));
  bool done = false;
  run.fleet.service(owner).Drain([&] { done = true; });
  run.clock.Advance(milliseconds(300));
  CHECK_TRUE(done);
  run.fleet.Crash(owner);
  // The whole burst is still available.
  for (int i = 0; i < static_cast<int>(kBurst); ++i)
    run.Call((owner + 1) % 9);
  run.clock.Advance(milliseconds(100));
  CHECK_EQUAL(static_cast<int>(kBurst), run.Ok());
}

// Guards against calls that are refused at a node that restarted and cannot
// join the roster while the log is down, and against a new owner that does not
// know the loans of such a node.
TEST(rate_service, NodeOutsideTheRosterBorrows) {
  loaded_fleet run(6, 9);
  run.clock.Advance(seconds(11));
  const auto owner = static_cast<size_t>(run.fleet.OwnerOf("acme"));
  const size_t nonmember = (owner + 1) % 9;
  run.fleet.Restart(nonmember);
  run.clock.Advance(seconds(4));
  for (int i = 0; i < 20; ++i)
    run.Call(nonmember);
  run.clock.Advance(milliseconds(100));
  CHECK_EQUAL(20, run.Ok());
  run.fleet.Crash(owner);
  run.clock.Advance(milliseconds(300));
  CHECK_EQUAL(1, run.fleet.OwnerCount("acme"));
  run.Run(seconds(3), 3 * kRate);
  CHECK_EQUAL(0, run.checker.MaxExcess());
}

// A fault of a history. `kind` selects a case of InjectFault, which determines
// how the other numbers are used.
struct fault {
  int kind;
  unsigned node;
  unsigned other;
  // Time since the start of the load.
  unsigned at_ms;
  unsigned length_ms;
};

constexpr int kFaultKinds = 10;

std::ostream& operator<<(std::ostream& out, const fault& value) {
  return out << "{kind " << value.kind << ", node " << value.node << ", other "
             << value.other << ", at " << value.at_ms << ", length "
             << value.length_ms << "}";
}

rc::Gen<fault> ArbitraryFault() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, kFaultKinds), rc::gen::inRange(0U, 9U),
                     rc::gen::inRange(0U, 9U), rc::gen::inRange(0U, 3000U),
                     rc::gen::inRange(20U, 4000U)),
      [](const auto& values) {
        return fault{std::get<0>(values), std::get<1>(values),
                     std::get<2>(values), std::get<3>(values),
                     std::get<4>(values)};
      });
}

// Numbers divisible by 3 stand for the current owner, if there is one.
size_t ChooseNode(loaded_fleet& run, unsigned node) {
  const int owner = run.fleet.OwnerOf("acme");
  if (node % 3 == 0 && owner >= 0)
    return static_cast<size_t>(owner);
  return node % run.fleet.size();
}

void InjectFault(loaded_fleet& run, const fault& item) {
  rate_fleet& fleet = run.fleet;
  memory_network& network = run.network;
  const size_t node = ChooseNode(run, item.node);
  const size_t other = item.other % fleet.size();
  const milliseconds length(item.length_ms);
  const auto later = [&run, length](std::function<void()> action) {
    run.clock.RunAfter(length, std::move(action));
  };
  switch (item.kind) {
    case 0:
      fleet.Crash(node);
      later([&fleet, node] {
        fleet.Restart(node);
        fleet.Publish();
      });
      break;
    case 1:
      fleet.Restart(node, item.other % 2 == 0);
      fleet.Publish();
      break;
    case 2:
      fleet.Pause(node);
      later([&fleet, node] { fleet.Resume(node); });
      break;
    case 3: {
      std::set<std::string> isolated;
      std::set<std::string> others;
      for (size_t i = 0; i < fleet.size(); ++i)
        (i % 3 == other % 3 || i == node ? isolated : others)
            .insert(fleet.address(i));
      network.Partition(isolated, others);
      later([&network] { network.Heal(); });
      break;
    }
    case 4:
      network.SilenceLink(fleet.address(node), fleet.address(other));
      break;
    case 5:
      for (size_t i = 0; i < fleet.size(); ++i)
        fleet.Restart(i, item.other % 2 == 0);
      fleet.Publish();
      break;
    case 6:
      // A member leaves the roster but keeps running, as after a wrong
      // eviction.
      fleet.SetInRoster(node, false);
      fleet.SetLogReachable(node, item.other % 2 == 0);
      fleet.Publish();
      later([&fleet, node] {
        fleet.SetLogReachable(node, true);
        fleet.Restart(node);
        fleet.SetInRoster(node, true);
        fleet.Publish();
      });
      break;
    case 7:
      // Several roster changes in quick succession.
      for (size_t i = 0; i < 3; ++i) {
        run.clock.RunAfter(milliseconds(item.length_ms / 8 * i),
                           [&fleet, target = (node + i) % fleet.size()] {
                             fleet.Restart(target);
                             fleet.Publish(seconds(1));
                           });
      }
      break;
    case 8:
      network.options().loss_probability = 0.1;
      network.options().duplication_probability = 0.1;
      network.options().reordering_probability = 0.1;
      network.options().max_extra_delay = milliseconds(500);
      later([&network] { network.options() = memory_network_options(); });
      break;
    default:
      fleet.service(node).Drain([] {});
      later([&fleet, node] {
        fleet.Restart(node);
        fleet.Publish();
      });
      break;
  }
}

// Runs one history and returns the number of calls beyond rate and burst in the
// worst window.
double WorstExcessOfHistory(uint64_t seed,
                            size_t nodes,
                            const std::vector<fault>& faults,
                            duration calm_time,
                            bool skip_lease = false) {
  loaded_fleet run(seed, nodes, skip_lease);
  // Waits until early starts are allowed.
  run.clock.Advance(seconds(11));
  for (const fault& item : faults) {
    run.clock.RunAfter(milliseconds(item.at_ms), [&run, &item] {
      if (run.fleet.IsAvailable(ChooseNode(run, item.node)))
        InjectFault(run, item);
    });
  }
  // Under low load one borrower and the owner fill up, so that the following
  // surge spends tokens that are counted twice.
  const int low_load_node =
      faults.empty() ? -1 : static_cast<int>(faults[0].node);
  const time_point end = run.clock.Now() + seconds(8);
  while (run.clock.Now() < end) {
    run.Run(calm_time, 0.5 * kRate, low_load_node);
    run.Run(milliseconds(250), 5 * kRate);
  }
  return run.checker.MaxExcess();
}

TEST_GROUP(rate_service_histories){void Check(const char* name, size_t faults){
    CHECK_TRUE(rc::check(name, [faults] {
      const auto seed = *rc::gen::arbitrary<uint32_t>();
      const auto nodes = *rc::gen::inRange<size_t>(5, 10);
      // A fixed size, so that the first histories use the full ranges too.
      const auto chosen = *rc::gen::resize(
          rc::kNominalSize,
          rc::gen::container<std::vector<fault>>(faults, ArbitraryFault()));
      const milliseconds calm_time(
          *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(200, 900)));
      RC_ASSERT(WorstExcessOfHistory(seed, nodes, chosen, calm_time) == 0.0);
    }));
}  // namespace
};  // namespace skylarkhoist

// Guard against two owners that lend tokens at the same time, loans that
// outlive their record at the owner, and tokens that are counted twice.
TEST(rate_service_histories, OneFaultKeepsTheLimit) {
  Check("one fault keeps the limit", 1);
}

TEST(rate_service_histories, TwoFaultsKeepTheLimit) {
  Check("two faults keep the limit", 2);
}

TEST(rate_service_histories, FourFaultsKeepTheLimit) {
  Check("four faults keep the limit", 4);
}

// Shows that the check fails when several members lend tokens without a lease.
TEST(rate_service_histories, CheckFindsTwoServingOwners) {
  CHECK_TRUE(WorstExcessOfHistory(1, 5, {}, seconds(1), true) > 0);
}

}  // namespace
}  // namespace skylarkhoist
