#include "decisions/config_schema.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

const char kSha256[] =
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

TEST_GROUP(config_schema) {
  config_state state;

  // Publishes `text` (JSON; "null" deletes) under `path`.
  void Publish(const std::string& path, const std::string& text) {
    config_record record;
    record.id = std::to_string(state.offset());
    record.path = path;
    const auto found = state.entries().find(path);
    record.base_version =
        found == state.entries().end() ? 0 : found->second.version;
    const json value = json::parse(text);
    if (!value.is_null())
      record.value = value;
    state.Apply(state.offset() + 1, RecordToText(record));
  }
  void PublishBase() {
    Publish("/customers/acme", R"({"weight":2})");
    Publish("/rates/acme", R"({"per_second":10,"burst":20})");
    Publish("/keys/k1", KeyText("acme", "active"));
    Publish("/services/a", R"({"calls":["b"],"queue_bound_ms":70})");
    Publish("/services/b", R"({})");
    Publish("/routes/r", R"({"path_prefix":"/r","service":"a",)"
                         R"("class":"critical","methods":["POST"]})");
  }
  std::string KeyText(const std::string& customer,
                      const std::string& key_state) {
    return R"({"customer":")" + customer + R"(","secret_sha256":")" + kSha256 +
           R"(","state":")" + key_state + "\"}";
  }
  config_build_result Build() {
    config_view_builder builder;
    return builder.Build(state);
  }
};

TEST(config_schema, ValidStateBecomesView) {
  PublishBase();
  Publish("/priorities/acme", R"({"weight":5})");
  Publish("/zones/z", R"({"state":"out"})");
  Publish("/targets/b", R"({"in_service":false,"out":["h:1"]})");
  const auto view = BuildConfigView(state);
  CHECK_TRUE(view.has_value());
  CHECK_EQUAL(9, view->offset);
  DOUBLES_EQUAL(5, view->customers.at("acme").weight, 0);
  DOUBLES_EQUAL(20, view->rates.at("acme").burst, 0);
  CHECK_EQUAL(std::string("acme"), view->keys.at("k1").customer);
  CHECK_TRUE(view->services.at("a").queue_bound ==
             std::chrono::milliseconds(70));
  CHECK_FALSE(view->services.at("b").in_service);
  CHECK_EQUAL(1, view->services.at("b").out_of_service_targets.count("h:1"));
  CHECK_EQUAL(1, view->out_of_service_zones.count("z"));
  const route_config* route = view->FindRoute("", "POST", "/r/1");
  CHECK_TRUE(route != nullptr && route->priority == priority_class::kCritical);
}

// Guards against findings without the path and field of the problem, and
// against checks that stop at the first finding.
TEST(config_schema, ReportsEveryViolation) {
  const struct {
    const char* path;
    const char* value;
    const char* text;
  } cases[] = {
      {"/rates/acme", R"({"per_second":"ten","burst":0})",
       "/rates/acme/burst: must be a number of at least 1, got 0\n"
       "/rates/acme/per_second: must be a positive number, got \"ten\"\n"},
      {"/rates/acme", R"({"per_second":1})", "/rates/acme/burst: is missing\n"},
      {"/rates/acme", R"([])", "/rates/acme: must be an object, got []\n"},
      {"/customers/acme", R"({"wieght":2,"enabled":"no"})",
       "/customers/acme/enabled: must be true or false, got \"no\"\n"
       "/customers/acme/wieght: unknown setting\n"},
      {"/keys/k", R"({"customer":"acme","secret_sha256":"skh_s3cret"})",
       "/keys/k/secret_sha256: must be 64 lower-case hex digits\n"},
      {"/routes/r", R"({"path_prefix":"/","service":"a","methods":["get"]})",
       "/routes/r/methods/0: must be an HTTP method in capitals, got "
       "\"get\"\n"},
      {"/targets/a", R"({"out":["x","x"]})",
       "/targets/a/out: must be a list of different addresses, got "
       "[\"x\",\"x\"]\n"},
      {"/services/a", R"({"cold_capacity":9,"max_limit":8})",
       "/services/a/cold_capacity: must not be above max_limit (8), got 9\n"},
      {"/services/a", R"({"cold_capacity":"4"})",
       "/services/a/cold_capacity: must be a whole number from 1 to 100000, "
       "got \"4\"\n"},
      {"/teams/a", R"({})", "/teams/a: unknown subtree \"teams\"\n"},
      {"/rates", R"({})", "/rates: must have the form /SUBTREE/NAME\n"},
  };
  for (const auto& item : cases) {
    STRCMP_EQUAL(
        item.text,
        CheckConfigValue(item.path, json::parse(item.value)).ToText().c_str());
  }
  for (const config_subtree& subtree : ConfigSubtrees()) {
    STRCMP_EQUAL("",
                 CheckConfigValue("/" + subtree.name + "/x", subtree.example)
                     .ToText()
                     .c_str());
  }
}

TEST(config_schema, ReportsConflictsAndServesFormerValues) {
  const struct {
    const char* path;
    std::string value;
    const char* text;
  } cases[] = {
      {"/keys/k", KeyText("nobody", "active"),
       "/keys/k/customer: customer \"nobody\" does not exist\n"},
      {"/rates/nobody", R"({"per_second":1,"burst":1})",
       "/rates/nobody: customer \"nobody\" does not exist\n"},
      {"/priorities/nobody", R"({"weight":1})",
       "/priorities/nobody: customer \"nobody\" does not exist\n"},
      {"/targets/c", R"({})", "/targets/c: service \"c\" does not exist\n"},
      {"/routes/s", R"({"path_prefix":"/s","service":"c"})",
       "/routes/s/service: service \"c\" does not exist\n"},
      {"/services/c", R"({"calls":["a","d"]})",
       "/services/c/calls/1: service \"d\" does not exist\n"},
      {"/services/b", R"({"calls":["a"]})",
       "/services/a/calls: calls form a cycle: a -> b -> a\n"},
      {"/services/c", R"({"calls":["c"]})",
       "/services/c/calls: calls form a cycle: c -> c\n"},
      {"/routes/s", R"({"path_prefix":"/r","service":"a"})",
       "/routes/s/path_prefix: \"/r\" is also the prefix of route \"r\", "
       "which has a method in common\n"},
      {"/routes/s", R"({"path_prefix":"/r","service":"a","methods":["GET"]})",
       ""},
      {"/services/b", "null",
       "/services/a/calls/0: service \"b\" does not exist\n"},
  };
  for (const auto& item : cases) {
    state = config_state();
    PublishBase();
    Publish(item.path, item.value);
    const auto view = BuildConfigView(state);
    STRCMP_EQUAL(item.text, view ? "" : view.error().ToText().c_str());
    // The values published before are still served.
    const config_view served = Build().view;
    CHECK_EQUAL(1, served.routes.count("r"));
    CHECK_EQUAL(1, served.services.at("a").calls.size());
    CHECK_EQUAL(1, served.services.count("b"));
    CHECK_EQUAL(1, served.keys.count("k1"));
  }
}

// Guards against an outage because of one invalid value.
TEST(config_schema, ValueWithFindingsFallsBackToLastValidOne) {
  PublishBase();
  Publish("/rates/acme", R"({"per_second":30,"burst":40})");
  Publish("/rates/acme", R"({"per_second":"x","burst":40})");
  Publish("/rates/acme", R"({"per_second":-1,"burst":40})");
  Publish("/services/a", R"({"max_limit":0})");
  const config_build_result built = Build();
  CHECK_EQUAL(2, built.problems.items().size());
  DOUBLES_EQUAL(30, built.view.rates.at("acme").per_second, 0);
  CHECK_EQUAL(1, built.view.services.at("a").calls.size());
  CHECK_EQUAL(1, built.view.routes.size());
  // A path without a valid value is left out.
  Publish("/customers/new", R"({"weight":0})");
  CHECK_EQUAL(1, Build().view.customers.size());
}

// Guards against an instruction to stop that is ignored because of another
// mistake in the same value.
TEST(config_schema, InstructionToStopTakesEffectDespiteFindings) {
  PublishBase();
  Publish("/zones/z", R"({"state":"in"})");
  Publish("/zones/z", R"({"state":"out","reason":"power"})");
  Publish("/keys/k1", R"({"state":"withdrawn"})");
  Publish("/customers/acme", R"({"enabled":false,"weight":"x"})");
  Publish("/targets/b", R"({"in_service":false,"out":[1]})");
  const config_build_result built = Build();
  CHECK_EQUAL(1, built.view.out_of_service_zones.count("z"));
  CHECK_TRUE(built.view.keys.at("k1").withdrawn);
  CHECK_FALSE(built.view.customers.at("acme").enabled);
  CHECK_FALSE(built.view.services.at("b").in_service);
}

// Guards against keys that still work after their customer was deleted.
TEST(config_schema, KeysOfDeletedCustomerAreLeftOut) {
  PublishBase();
  Publish("/customers/acme", "null");
  const config_build_result built = Build();
  CHECK_TRUE(built.view.keys.empty());
  CHECK_TRUE(built.view.rates.empty());
  CHECK_EQUAL(2, built.problems.items().size());
}

}  // namespace
}  // namespace skylarkhoist
