#include "node/node_settings.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

#include "kernel/json.h"
#include "kernel/random.h"

namespace skylarkhoist {
namespace {

const char kValidSettings[] = R"({
  "node": "n1", "cluster": "c", "zone": "z1",
  "listeners": {"public": "0.0.0.0:80", "local": "127.0.0.1:81",
                "peer": "[fd00::1]:82"},
  "log": {"address": "10.0.0.9:90", "stream": "s", "timeout_ms": 50},
  "seed_peers": ["10.0.0.2:82"], "log_format": "plain",
  "plugins": {"routing_policy": "near"},
  "limits": {"max_body_bytes": 10, "retry_credit": 1},
  "bootstrap": {"routes": {"o": {"path_prefix": "/o", "service": "s",
                                 "access": "open"}},
                "services": {"s": {"cold_capacity": 3}}}
})";

TEST_GROUP(node_settings){};

TEST(node_settings, ReadsAllParts) {
  const auto settings = ParseNodeSettings(kValidSettings);
  CHECK_TRUE(settings.has_value());
  CHECK_EQUAL(std::string("[fd00::1]:82"), settings->peer_address);
  CHECK_EQUAL(std::string("s"), settings->log_stream);
  CHECK_TRUE(settings->log_timeout == std::chrono::milliseconds(50));
  CHECK_TRUE(settings->format == log_format::kPlain);
  CHECK_EQUAL(std::string("near"), settings->routing_policy);
  CHECK_EQUAL(10, settings->max_body_bytes);
  CHECK_EQUAL(1, settings->retry_credit);
  CHECK_EQUAL(3, settings->bootstrap.services.at("s").cold_capacity);
}

// Guards against invalid settings that are noticed only after the node has
// started.
TEST(node_settings, EachInvalidSettingIsAFinding) {
  const struct {
    const char* place;
    const char* value;
    const char* text;
  } cases[] = {
      {"/listeners/peer", "\"x\"",
       "/listeners/peer: must be an address (\"ip:port\"), got \"x\"\n"},
      {"/listeners/peer", "\"1.2.3.4:0\"",
       "/listeners/peer: must be an address (\"ip:port\"), got "
       "\"1.2.3.4:0\"\n"},
      {"/listeners/local", "\"1.2.3.256:1\"",
       "/listeners/local: must be an address (\"ip:port\"), got "
       "\"1.2.3.256:1\"\n"},
      {"/listeners/local", "\"0.0.0.0:80\"",
       "/listeners/local: must differ from the addresses of the other "
       "listeners\n"},
      {"/seed_peers/0", "\"host:1\"",
       "/seed_peers/0: must be an address (\"ip:port\"), got \"host:1\"\n"},
      {"/seed_peers/0", "7",
       "/seed_peers/0: must be an address (\"ip:port\"), got 7\n"},
      {"/zone", "\"a b\"",
       "/zone: must be a name of letters, digits, '.', '_', '-', got "
       "\"a b\"\n"},
      {"/log/adress", "1", "/log/adress: unknown setting\n"},
      {"/log_format", "\"xml\"",
       "/log_format: must be \"json\" or \"plain\", got \"xml\"\n"},
      {"/plugins/queue_order", "\"lifo\"",
       "/plugins/queue_order: must be one of: fair, got \"lifo\"\n"},
      {"/limits/retry_credit", "-1",
       "/limits/retry_credit: must be a whole number from 0 to 100, got -1\n"},
      {"/bootstrap/routes/o/access", "\"keyed\"",
       "/bootstrap/routes/o/access: must be \"open\": keys cannot be "
       "checked before the published configuration is loaded\n"},
      {"/bootstrap/routes/o/service", "\"t\"",
       "/bootstrap/routes/o/service: service \"t\" does not exist\n"},
      {"/bootstrap/routes/o", "[]",
       "/bootstrap/routes/o: must be an object, got []\n"},
  };
  known_plugins plugins;
  plugins.queue_orders = {"fair"};
  for (const auto& item : cases) {
    json settings = json::parse(kValidSettings);
    settings[json::json_pointer(item.place)] = json::parse(item.value);
    const auto result = ParseNodeSettings(settings.dump(), plugins);
    STRCMP_EQUAL(item.text, result ? "" : result.error().ToText().c_str());
  }
  STRCMP_EQUAL("/: duplicate name\n",
               ("/: " +
                ParseNodeSettings(R"({"node":"a","node":"b"})")
                    .error()
                    .items()[0]
                    .message +
                "\n")
                   .c_str());
  CHECK_EQUAL(5, ParseNodeSettings("{}").error().items().size());
  CHECK_EQUAL(1, ReadNodeSettings("/nonexistent").error().items().size());
}

// Guards against malformed input that crashes the parser. The seed is fixed so
// that a failure can be reproduced.
TEST(node_settings, MalformedTextNeverCrashes) {
  const uint64_t seed = 20;
  std::printf("seed %d ", static_cast<int>(seed));
  mt_random random(seed);
  const std::string valid = kValidSettings;
  static constexpr char kBytes[] = "{}[]\":,.-0123456789eEtrunlfas\\/\xc3\x00";
  for (int round = 0; round < 20'000; ++round) {
    std::string text = valid;
    for (uint64_t edits = 1 + random.Below(4); edits > 0; --edits) {
      const size_t at = random.Below(text.size());
      switch (random.Below(4)) {
        case 0:
          text[at] = kBytes[random.Below(sizeof(kBytes) - 1)];
          break;
        case 1:
          text.erase(at, random.Below(30));
          break;
        case 2:
          text.insert(
              at, valid.substr(random.Below(valid.size()), random.Below(60)));
          break;
        default:
          text.insert(at, 1, kBytes[random.Below(sizeof(kBytes) - 1)]);
      }
      if (text.empty())
        text = "{";
    }
    const auto result = ParseNodeSettings(text);
    CHECK_TRUE(result.has_value() || !result.error().empty());
  }
}

}  // namespace
}  // namespace skylarkhoist
