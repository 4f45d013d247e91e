#include "cli/commands.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <fstream>
#include <sstream>
#include <vector>

#include "decisions/api_key.h"
#include "decisions/config_schema.h"
#include "testing/manual_loop.h"
#include "testing/memory_log.h"

namespace skylarkhoist {
namespace {

class memory_log_session : public log_session {
 public:
  memory_log_session(manual_loop* loop, memory_log* log)
      : loop_(loop), client_(log->Connect()) {}
  loop* run_loop() override { return loop_; }
  log_client* client() override { return client_.get(); }
  bool RunUntil(const std::function<bool()>& done, duration timeout) override {
    const time_point deadline = loop_->Now() + timeout;
    while (!done() && loop_->RunNext(deadline)) {
    }
    return done();
  }

 private:
  manual_loop* loop_;
  std::unique_ptr<log_client> client_;
};

TEST_GROUP(commands) {
  manual_loop loop;
  mt_random random{3};
  memory_log log{&loop, &random};
  std::string out;
  std::string error;
  std::string file;

  int Run(std::vector<std::string> arguments) {
    std::ostringstream out_stream;
    std::ostringstream error_stream;
    command_environment environment;
    environment.out = &out_stream;
    environment.error = &error_stream;
    environment.connect = [this](const log_endpoint&) {
      return std::make_unique<memory_log_session>(&loop, &log);
    };
    environment.run_node = [](const node_settings& settings) {
      return settings.node == "n1" ? 42 : 0;
    };
    arguments.insert(arguments.begin(),
                     {"skylarkhoist", "--log", "x:1", "--author", "ann"});
    std::vector<char*> argv;
    argv.reserve(arguments.size());
    for (std::string& argument : arguments)
      argv.push_back(argument.data());
    const int code =
        RunCommand(static_cast<int>(argv.size()), argv.data(), environment);
    out = out_stream.str();
    error = error_stream.str();
    return code;
  }
  int Publish(const std::string& path, const std::string& value,
              const std::string& base_version) {
    return Run(
        {"config", "publish", path, value, "--base-version", base_version});
  }
  // Writes a file, which teardown removes, and returns its name.
  std::string WriteFile(const std::string& text) {
    file = "build/commands_test.json";
    std::ofstream(file) << text;
    return file;
  }
  void teardown() override {
    if (!file.empty())
      std::remove(file.c_str());
  }
};

// Guards against changes of the exit codes and outputs that scripts rely on.
TEST(commands, PublishAndShow) {
  const struct {
    std::vector<std::string> arguments;
    int code;
    const char* out;
  } cases[] = {
      {{"config", "publish", "/customers/acme", "{}", "--base-version", "0"},
       kExitOk,
       "/customers/acme accepted as version 1\n"},
      {{"config", "publish", "/customers/acme", R"({"weight":2})",
        "--base-version", "0"},
       kExitConflict,
       "/customers/acme: conflict: another change was published first\n"
       "  yours:    {\"weight\":2} (base version 0)\n"
       "  in force: /customers/acme {} (version 1, by ann)\n"},
      {{"config", "publish", "/rates/acme", R"({"per_second":"ten"})",
        "--base-version", "0"},
       kExitFindings,
       "/rates/acme/burst: is missing\n"
       "/rates/acme/per_second: must be a positive number, got \"ten\"\n"},
      {{"config", "publish", "/rates/b", R"({"per_second":1,"burst":1})",
        "--base-version", "0"},
       kExitFindings,
       "/rates/b: customer \"b\" does not exist\n"},
      {{"config", "publish", "/rates/b", "{", "--base-version", "0"},
       kExitFindings,
       "VALUE: not valid JSON at byte 2\n"},
      {{"config", "publish", "/rates", "null", "--base-version", "0"},
       kExitFindings,
       "/rates: must have the form /SUBTREE/NAME\n"},
      {{"config", "show", "/customers"},
       kExitOk,
       "/customers/acme {} (version 1, by ann)\n"},
      {{"config", "show", "/rates"}, kExitFindings, ""},
      {{"zone", "out", "z1"}, kExitOk, "/zones/z1 accepted as version 3\n"},
      {{"zone", "out", "z1"},
       kExitOk,
       "/zones/z1 already has this value, set in version 3\n"},
      {{"zone", "in", "z1"}, kExitOk, "/zones/z1 accepted as version 4\n"},
      {{"key", "withdraw", "k"}, kExitFindings, ""},
      {{"key", "issue", "nobody"}, kExitFindings, ""},
      {{"config", "publish", "/customers/acme", "null", "--base-version", "1",
        "--json"},
       kExitOk,
       "{\"base_version\":1,\"path\":\"/customers/acme\",\"result\":"
       "\"accepted\",\"version\":5}\n"},
      {{"config", "watch", "--for", "1"}, kExitOk, ""},
      {{"config", "publish", "/customers/acme", "{}"}, kExitUsage, ""},
      {{"config"}, kExitUsage, ""},
      {{"nonsense"}, kExitUsage, ""},
  };
  for (const auto& item : cases) {
    CHECK_EQUAL_TEXT(item.code, Run(item.arguments), out.c_str());
    if (item.code != kExitUsage)
      STRCMP_EQUAL(item.out, out.c_str());
  }
}

// Guards against a secret that is stored, or printed more than once.
TEST(commands, KeyIsPrintedOnceAndNeverStored) {
  Publish("/customers/acme", "{}", "0");
  CHECK_EQUAL(kExitOk, Run({"key", "issue", "acme"}));
  const std::string text = out.substr(0, out.size() - 1);
  const auto key = ParseKey(text);
  CHECK_TRUE(key.has_value());
  for (const std::string& record : log.history())
    CHECK_TRUE(record.find(key->secret) == std::string::npos);
  CHECK_EQUAL(kExitOk, Run({"key", "withdraw", key->id}));
  CHECK_EQUAL(kExitOk, Run({"config", "show", "/keys/" + key->id}));
  CHECK_TRUE(out.find(key->secret) == std::string::npos);
  CHECK_TRUE(out.find("\"state\":\"withdrawn\"") != std::string::npos);
}

// Guards against reporting a failure when only the answer to an append was
// lost, and against printing the secret of a key that may not take effect.
TEST(commands, LogFailuresHaveDistinctExitCodes) {
  Publish("/customers/acme", "{}", "0");
  log.faults().lost_answer_probability = 1;
  CHECK_EQUAL(kExitOk, Publish("/customers/b", "{}", "0"));
  log.faults().refused_append_probability = 1;
  CHECK_EQUAL(kExitLogUnreachable, Publish("/customers/c", "{}", "0"));
  log.faults() = memory_log_faults();
  log.faults().min_delay = std::chrono::milliseconds(6);
  log.faults().max_delay = log.faults().min_delay;
  // The log stops answering after the command has read it.
  loop.RunAfter(std::chrono::milliseconds(11),
                [this] { log.faults().silent = true; });
  CHECK_EQUAL(kExitOutcomeUnknown, Run({"key", "issue", "acme"}));
  CHECK_TRUE(out.empty() && error.find("skh_") == std::string::npos);
  log.faults() = memory_log_faults();
  log.faults().down = true;
  CHECK_EQUAL(kExitLogUnreachable, Run({"config", "show"}));
}

TEST(commands, ConfigFilesAreCheckedComparedAndPublished) {
  WriteFile(R"({"/customers/acme": {"weight": 0},
           "/routes/r": {"path_prefix": "/r", "service": "s"}})");
  CHECK_EQUAL(kExitFindings, Run({"config", "check", file}));
  STRCMP_EQUAL(
      "/customers/acme/weight: must be a positive number of at most 1000, got "
      "0\n/routes/r/service: service \"s\" does not exist\n",
      out.c_str());
  CHECK_EQUAL(kExitFindings, Run({"config", "publish-file", file}));
  CHECK_EQUAL(0, log.history().size());

  WriteFile(
      R"({"/customers/acme": {}, "/services/s": {}, "/customers/old": null,
           "/routes/r": {"path_prefix": "/r", "service": "s"}})");
  Publish("/customers/old", "{}", "0");
  CHECK_EQUAL(kExitOk, Run({"config", "check", file}));
  CHECK_EQUAL(kExitFindings, Run({"config", "diff", file}));
  STRCMP_EQUAL(
      "+ /customers/acme {}\n- /customers/old {}\n"
      "+ /routes/r {\"path_prefix\":\"/r\",\"service\":\"s\"}\n"
      "+ /services/s {}\n",
      out.c_str());
  CHECK_EQUAL(kExitOk, Run({"config", "publish-file", file}));
  STRCMP_EQUAL(
      "/customers/acme accepted as version 2\n"
      "/services/s accepted as version 3\n/routes/r accepted as version 4\n"
      "/customers/old accepted as version 5\n",
      out.c_str());
  CHECK_EQUAL(kExitOk, Run({"config", "diff", file}));
  CHECK_EQUAL(kExitOk, Run({"config", "publish-file", file}));
  STRCMP_EQUAL("nothing to change\n", out.c_str());
}

TEST(commands, SettingsAreCheckedAndPassedToTheNode) {
  WriteFile(R"({"node": "n1", "cluster": "c", "zone": "z", "log":
           {"address": "1.2.3.4:5"}, "listeners": {"public": "1.2.3.4:6",
           "local": "1.2.3.4:7", "peer": "1.2.3.4:8"}})");
  CHECK_EQUAL(kExitOk, Run({"check-settings", file}));
  CHECK_EQUAL(42, Run({"node", file}));
  WriteFile(R"({"node": "n 1"})");
  CHECK_EQUAL(kExitFindings, Run({"node", file}));
  CHECK_EQUAL(kExitFindings, Run({"check-settings", file, "--json"}));
  CHECK_EQUAL(5, json::parse(out).at("findings").size());
}

// Guards against docs/configuration.md differing from the schema. To update it:
// skylarkhoist config describe > docs/configuration.md
TEST(commands, DocumentationIsUpToDate) {
  CHECK_EQUAL(kExitOk, Run({"config", "describe"}));
  std::ifstream stream("docs/configuration.md");
  std::stringstream text;
  text << stream.rdbuf();
  STRCMP_EQUAL(out.c_str(), text.str().c_str());
}

// Guards against a command that hangs when the log refuses connections.
TEST(commands, HttpSessionReportsAnUnreachableLog) {
  const auto session = ConnectOverHttp({"127.0.0.1:1", "s"});
  bool failed = false;
  session->client()->Read(
      1, 1, [&](const tl::expected<log_batch, log_error>& result) {
        failed = !result && result.error().kind == log_error_kind::kUnreachable;
      });
  CHECK_TRUE(
      session->RunUntil([&] { return failed; }, std::chrono::seconds(5)));
}

}  // namespace
}  // namespace skylarkhoist
