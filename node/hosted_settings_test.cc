#include "node/hosted_settings.h"

#include <CppUTest/TestHarness.h>

#include <string>

#include "kernel/json.h"

namespace skylarkhoist {
namespace {

json ValidSettings() {
  return json::parse(
      R"json({"node":"n","zone":"z1","zones":{"z1":"r1","z2":"r1"},
"listeners":{"requests":"10.0.0.1:1","ready":"10.0.0.1:2","announcements":"10.0.0.1:3",
"peer":"10.0.0.1:4","metrics":"10.0.0.1:5"},
"target":{"service":"s","address":"10.0.0.1:6"},"store":{"address":"10.0.0.2:1"},
"announcement_interval_ms":1500,"stop_grace_s":6})json");
}

TEST_GROUP(hosted_settings){};

TEST(hosted_settings, ReadsAllFields) {
  const auto read = ParseHostedSettings(ValidSettings().dump());
  CHECK_TRUE(read.has_value());
  STRCMP_EQUAL("10.0.0.1:3", read->announcement_address.c_str());
  STRCMP_EQUAL("r1", read->regions.at("z2").c_str());
  CHECK_TRUE(read->announcement_interval == std::chrono::milliseconds(1500));
  CHECK_TRUE(read->stop_grace == std::chrono::seconds(6));
}

// Guards against a rollout in a deployment that names no bounds, and against
// bounds that are not read.
TEST(hosted_settings, RolloutsNeedBounds) {
  const auto without = ParseHostedSettings(ValidSettings().dump());
  CHECK_EQUAL(0, without->exposure_share + without->exposure_slack);
  json settings = ValidSettings();
  settings["rollouts"] = {
      {"exposure_share", 0.1}, {"exposure_slack", 50}, {"rollback_ms", 4000}};
  const auto with = ParseHostedSettings(settings.dump());
  CHECK_EQUAL(0.1, with->exposure_share);
  CHECK_EQUAL(50, with->exposure_slack);
  CHECK_TRUE(with->rollback_time == std::chrono::seconds(4));
}

// Guards against limits that do not fit the machine: those that follow from its
// memory and descriptors, and explicit ones.
TEST(hosted_settings, LimitsFollowFromTheMachine) {
  json settings = ValidSettings();
  const auto read = [&settings] {
    return ParseHostedSettings(settings.dump()).value();
  };
  LONGS_EQUAL(80 << 20, read().max_buffered_bytes);
  LONGS_EQUAL(2050, read().max_connections);
  settings["limits"] = {{"memory_mb", 512}, {"max_descriptors", 8192}};
  LONGS_EQUAL(256 << 20, read().max_buffered_bytes);
  LONGS_EQUAL(4096, read().max_connections);
  // The largest body must fit, however small the memory is.
  settings["limits"]["memory_mb"] = 64;
  LONGS_EQUAL(80 << 20, read().max_buffered_bytes);
  settings["limits"]["max_buffered_bytes"] = 10'000'000;
  settings["limits"]["max_connections"] = 20;
  settings["limits"]["body_timeout_s"] = 2.5;
  LONGS_EQUAL(10'000'000, read().max_buffered_bytes);
  LONGS_EQUAL(20, read().max_connections);
  CHECK_TRUE(read().body_timeout == std::chrono::milliseconds(2500));
}

// Guards against a node that starts with invalid settings, and against findings
// that do not name the setting.
TEST(hosted_settings, EachInvalidSettingIsAFinding) {
  const struct {
    const char* place;
    json value;
  } cases[] = {{"/zone", "z9"},
               {"/listeners/peer", "10.0.0.1:1"},
               {"/listeners/ready", "nowhere"},
               {"/store/address", 7},
               {"/stop_grace_s", 0},
               {"/limits/memory_mb", -1},
               {"/limits/head_timeout_s", "soon"},
               {"/announcement_interval_ms", "soon"}};
  for (const auto& each : cases) {
    json changed = ValidSettings();
    changed[json::json_pointer(each.place)] = each.value;
    const auto read = ParseHostedSettings(changed.dump());
    CHECK_FALSE_TEXT(read.has_value(), each.place);
    STRCMP_CONTAINS(each.place, read.error().ToText().c_str());
  }
  json unknown = ValidSettings();
  unknown["surplus"] = 1;
  CHECK_FALSE(ParseHostedSettings(unknown.dump()).has_value());
  CHECK_FALSE(ParseHostedSettings("{").has_value());
  CHECK_FALSE(ReadHostedSettings("/no/such/file").has_value());
}

}  // namespace
}  // namespace skylarkhoist
