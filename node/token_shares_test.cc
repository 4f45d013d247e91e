#include "node/token_service.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testing/hosted_fleet.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// One customer of a fleet of hosted nodes.
TEST_GROUP(token_shares) {
  using pending = std::shared_ptr<hosted_fleet::pending_response>;

  static int CountStatus(const std::vector<pending>& answers, int status) {
    return static_cast<int>(std::count_if(
        answers.begin(), answers.end(), [status](const auto& each) {
          return each->response && each->response->status == status;
        }));
  }

  // Runs at all targets of "front", which are those of machines with an even
  // index.
  static int64_t Runs(hosted_fleet & fleet, size_t machines) {
    int64_t runs = 0;
    for (size_t i = 0; i < machines; i += 2)
      runs += fleet.target_counters(i).runs;
    return runs;
  }

  // Sends a peak of 7.5 times the usual load, cuts each of `parts` off from the
  // rest and from each other, and returns the most runs in 5 s.
  static int64_t MostRunsInPeak(size_t machines, double rate,
                                const std::vector<std::vector<size_t>>& parts,
                                duration cut_length) {
    hosted_fleet fleet{machines, 1};
    fleet.Publish("1 " + std::to_string(static_cast<int>(rate)) + " k1");
    fleet.Advance(seconds(3));
    const double usual = rate * 0.6;
    // Runs of each 100 ms.
    std::vector<int64_t> runs;
    size_t next = 0;
    const auto send_for = [&](duration length, double per_second) {
      const auto count = static_cast<int>(per_second / 10);
      for (duration at = duration::zero(); at < length;
           at += milliseconds(100)) {
        const int64_t before = Runs(fleet, machines);
        for (int i = 0; i < count; ++i) {
          fleet.Send(next++ % machines, "/safe/x", "k1");
          fleet.Advance(duration(milliseconds(100)) / count);
        }
        runs.push_back(Runs(fleet, machines) - before);
      }
    };
    send_for(seconds(3), usual);
    send_for(milliseconds(300), usual * 7.5);
    for (const std::vector<size_t>& part : parts) {
      std::set<std::string> inside;
      std::set<std::string> outside;
      for (size_t i = 0; i < machines; ++i) {
        const bool is_inside =
            std::find(part.begin(), part.end(), i) != part.end();
        (is_inside ? inside : outside).insert(fleet.peer_address(i));
      }
      fleet.network().Partition(inside, outside);
    }
    send_for(cut_length, usual * 7.5);
    fleet.network().Heal();
    send_for(seconds(6), usual * 7.5);
    int64_t most = 0;
    for (size_t start = 0; start + 50 <= runs.size(); ++start) {
      int64_t sum = 0;
      for (size_t i = start; i < start + 50; ++i)
        sum += runs[i];
      most = std::max(most, sum);
    }
    return most;
  }
};

// Load pattern: a quiet customer, at 0.8 of its rate, whose requests arrive at
// random times at random nodes of a large fleet, while nodes join and owners
// change. Guards against tokens that are reserved for nodes in reach, idle
// nodes and nodes that are new to an owner.
TEST(token_shares, AQuietCustomerOfALargeFleetIsNotRefused) {
  constexpr size_t kLargeFleet = 96;
  constexpr size_t kFirst = 80;
  constexpr double kRate = 20;
  constexpr double kSeconds = 20;
  hosted_fleet fleet{kLargeFleet, 1};
  fleet.Publish("1 20 k1");
  for (size_t i = kFirst; i < kLargeFleet; ++i)
    fleet.StopNode(i);
  fleet.Advance(seconds(3));
  std::vector<pending> answers;
  uint32_t random = 1;
  const auto next_random = [&random] {
    random = random * 1664525 + 1013904223;
    return random >> 8;
  };
  size_t running = kFirst;
  for (double at = 0; at < kSeconds;) {
    while (running < kLargeFleet &&
           at >= 0.15 * static_cast<double>(running - kFirst))
      fleet.StartNode(running++);
    // Nodes that joined get requests once they have a configuration.
    answers.push_back(fleet.Send(
        next_random() % (at < 5 ? kFirst : kLargeFleet), "/safe/x", "k1"));
    const double pause =
        -std::log((next_random() + 1.0) / (1 << 24)) / (kRate * 0.8);
    fleet.Advance(std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(pause)));
    at += pause;
  }
  fleet.Advance(seconds(3));
  // The rate allows all of them. A request may find no token while the bucket
  // is new.
  const int served = CountStatus(answers, 200);
  const std::string text =
      std::to_string(served) + " of " + std::to_string(answers.size());
  CHECK_TRUE_TEXT(served >= static_cast<double>(answers.size()) * 0.98,
                  text.c_str());
}

// Load pattern: a peak right before a zone with 6 of 14 machines, or five
// single machines, are cut off. Guards against more runs on all sides together
// than rate and burst allow.
TEST(token_shares, AllSidesOfAPartitionStayWithinTheRate) {
  constexpr double kRate = 200;
  constexpr double kAllowed = (kRate * 5 + kRate) * 1.1 + 20;
  const std::vector<std::vector<std::vector<size_t>>> cases = {
      {{0, 1, 6, 7, 12, 13}},
      {{2, 3, 8, 9}},
      {{0}, {3}, {6}, {9}, {12}},
      {{1}, {4}, {7}, {10}, {13}},
      {{2}, {5}, {8}, {11}, {12}}};
  for (const auto& parts : cases) {
    for (const duration cut_length : {seconds(5), seconds(12)}) {
      const int64_t most = MostRunsInPeak(14, kRate, parts, cut_length);
      const std::string text =
          "machine " + std::to_string(parts.front().front()) + " of " +
          std::to_string(parts.size()) + " parts: " + std::to_string(most);
      CHECK_TRUE_TEXT(static_cast<double>(most) <= kAllowed, text.c_str());
    }
  }
  // Shares too small to be watched, and a zone with the owner of the bucket.
  std::vector<size_t> zone;
  for (size_t i = 0; i < 60; ++i) {
    if (i / 2 % 3 == 1)
      zone.push_back(i);
  }
  const int64_t most = MostRunsInPeak(60, 80, {zone}, seconds(5));
  CHECK_TRUE_TEXT(static_cast<double>(most) <= (80 * 5 + 80) * 1.1 + 20,
                  std::to_string(most).c_str());
}

}  // namespace
}  // namespace skylarkhoist
