#include "node/departure_exchange.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <utility>

#include "node/departure_records.h"
#include "testing/manual_loop.h"

namespace skylarkhoist {
namespace {

// Keeps the departure reports that are sent.
class report_recorder : public peer_transport {
 public:
  void Start(peer_observer* /*observer*/) override {}
  void Send(const std::string& address,
            const fbs::envelopeT& message) override {
    reports.emplace_back(address, *message.body.Asdeparture_report());
  }

  std::vector<std::pair<std::string, fbs::departure_reportT>> reports;
};

fbs::departure_reportT MakeReport(const std::string& node) {
  fbs::departure_reportT report;
  report.node = node;
  report.departures.push_back(nullptr);
  report.departures.push_back(std::make_unique<fbs::departure_entryT>());
  auto departure = std::make_unique<fbs::departure_entryT>();
  departure->id = "t1";
  departure->generation = 5;
  departure->gone = true;
  report.departures.push_back(std::move(departure));
  return report;
}

TEST_GROUP(departure_exchange) {
  manual_loop clock;
  report_recorder sent;
  departure_exchange exchange{&clock, &sent, "a"};
  const peer_info b{"10.0.0.2:1", "b", "z", 7};
  const peer_info c{"10.0.0.3:1", "c", "z", 8};
};

// Guards against a report by a third node that takes a live target out of
// service, and against malformed entries that end the process.
TEST(departure_exchange, OnlyTheNodeItselfIsRemembered) {
  CHECK_FALSE(exchange.Receive(b, MakeReport("c")).has_value());
  exchange.OnLinkUp(c, {});
  CHECK_TRUE(sent.reports.empty());
  CHECK_FALSE(exchange.Receive(c, MakeReport("c")).has_value());
  exchange.OnLinkUp(c, {});
  CHECK_EQUAL(1, sent.reports.size());
  STRCMP_EQUAL("10.0.0.3:1", sent.reports[0].first.c_str());
  CHECK_EQUAL(1, sent.reports[0].second.departures.size());
  CHECK_EQUAL(1, exchange.Receive(b, MakeReport("a")).value().size());
}

// Guards against departures that are kept without end, and against a node that
// waits for reports although its peer knows that there are none.
TEST(departure_exchange, ReportsThatThereAreNone) {
  exchange.Receive(b, MakeReport("b"));
  clock.Advance(std::chrono::minutes(3));
  exchange.OnLinkUp(b, {});
  CHECK_EQUAL(1, sent.reports.size());
  CHECK_TRUE(sent.reports[0].second.departures.empty());
  exchange.OnRecordsRead({});
  exchange.OnLinkUp(c, {});
  CHECK_EQUAL(2, sent.reports.size());
  STRCMP_EQUAL("c", sent.reports[1].second.node.c_str());
}

// Guards against a node that the store turns away and that has its link
// already when a peer reads what the store keeps of it.
TEST(departure_exchange, LinkedNodesAreToldWhatTheStoreKeeps) {
  exchange.OnLinkUp(b, {});
  exchange.OnLinkUp(c, {});
  exchange.OnLinkDown(c);
  const std::string value = EncodeDepartures({{{"t1", 5}, 3, false}});
  exchange.OnRecordsRead({{"a/departures", value, 1},
                          {"b/departures", value, 2},
                          {"c/departures", value, 3},
                          {"b", value, 4}});
  CHECK_EQUAL(1, sent.reports.size());
  STRCMP_EQUAL("10.0.0.2:1", sent.reports[0].first.c_str());
  CHECK_EQUAL(3, sent.reports[0].second.departures[0]->sequence);
}

}  // namespace
}  // namespace skylarkhoist
