#include "cli/commands.h"

#include "node/hosted_settings.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cli/config_session.h"
#include "decisions/api_key.h"
#include "decisions/config_schema.h"
#include "decisions/routing_policy.h"

namespace skylarkhoist {
namespace {

constexpr char kFooter[] =
    "Exit codes: 0 success; 1 findings or differences; 2 usage error; 3 "
    "conflict with another change;\n4 unknown whether the change takes effect; "
    "5 the log cannot be reached.\n\n"
    "Examples:\n"
    "  skylarkhoist --log 10.0.0.9:7000 config show /rates/acme\n"
    "  skylarkhoist --settings node.json config publish /rates/acme "
    "'{\"per_second\":50,\"burst\":100}' --base-version 17\n"
    "  skylarkhoist --log 10.0.0.9:7000 key issue acme\n"
    "  skylarkhoist --log 10.0.0.9:7000 zone out cairo-a\n";

// Attempts to publish a change that is computed from the current value, so that
// it can be computed again after a conflict with another change.
constexpr int kMaxUpdateAttempts = 5;

struct command_options {
  std::string log_address;
  std::string stream = "skylarkhoist";
  std::string settings_file;
  std::string author;
  int timeout_seconds = 10;
  bool json_output = false;
  bool force = false;

  // Arguments that only some commands take.
  std::string file;
  std::string path;
  std::string value;
  uint64_t base_version = 0;
  // Name of a customer or zone, or the ID of a key.
  std::string name;
  // 0: until interrupted.
  double watch_seconds = 0;
};

json EntryToJson(const config_entry& entry) {
  return {{"version", entry.version},
          {"author", entry.author},
          {"unix_ms", entry.unix_ms},
          {"value", entry.value ? *entry.value : json()}};
}

std::string EntryToText(const std::string& path, const config_entry& entry) {
  return path + " " + (entry.value ? JsonText(*entry.value) : "(deleted)") +
         " (version " + std::to_string(entry.version) + ", by " + entry.author +
         ")\n";
}

json FindingsToJson(const findings& problems) {
  json list = json::array();
  for (const finding& item : problems.items())
    list.push_back({{"place", item.place}, {"message", item.message}});
  return list;
}

// Reads a configuration file, for example
// {"/customers/acme": {...}, "/routes/old": null}. Null deletes the path.
tl::expected<std::map<std::string, json>, findings> ReadConfigFile(
    const std::string& file) {
  findings problems;
  std::ifstream stream(file, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(stream),
                         std::istreambuf_iterator<char>()};
  if (!stream) {
    problems.Add(file, "cannot be read");
    return tl::unexpected(problems);
  }
  const auto value = ParseJson(text);
  if (!value)
    return tl::unexpected(value.error());
  if (!value->is_object()) {
    problems.Add("/", "must be a JSON object that maps paths to values");
    return tl::unexpected(problems);
  }
  return value->get<std::map<std::string, json>>();
}

// Parses the command line and runs the selected command.
class command_runner {
 public:
  explicit command_runner(const command_environment& environment)
      : environment_(environment) {}

  int Run(int argc, char** argv) {
    CLI::App app("Overload control layer for service call graphs");
    app.name("skylarkhoist");
    app.footer(kFooter);
    app.require_subcommand(1);
    app.fallthrough();
    AddOptions(app);
    AddCommands(app);
    try {
      app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      const int code = app.exit(error, *environment_.out, *environment_.error);
      return code == 0 ? kExitOk : kExitUsage;
    }
    return selected_action_ ? selected_action_() : kExitUsage;
  }

 private:
  void AddOptions(CLI::App& app) {
    app.add_option("--log", options_.log_address,
                   "Address of the log service (ip:port)")
        ->envname("SKYLARKHOIST_LOG");
    app.add_option("--stream", options_.stream, "Name of the log stream")
        ->envname("SKYLARKHOIST_STREAM")
        ->capture_default_str();
    app.add_option(
        "--settings", options_.settings_file,
        "Settings file of a node, from which to take the log address "
        "and stream");
    app.add_option("--author", options_.author,
                   "Author recorded with changes; default: the value of USER");
    app.add_option("--timeout", options_.timeout_seconds,
                   "Maximum wait for the log, in seconds")
        ->check(CLI::Range(1, 600))
        ->capture_default_str();
    app.add_flag("--json", options_.json_output, "Print JSON");
  }

  // Adds a subcommand to `parent`. `action` runs after all arguments have been
  // parsed.
  CLI::App* AddCommand(CLI::App* parent,
                       const std::string& name,
                       const std::string& help,
                       const std::string& example,
                       std::function<int()> action) {
    CLI::App* command = parent->add_subcommand(name, help);
    command->fallthrough();
    command->footer("Example:\n  skylarkhoist " + example);
    command->final_callback(
        [this, action = std::move(action)] { selected_action_ = action; });
    return command;
  }

  void AddCommands(CLI::App& app) {
    CLI::App* command = AddCommand(
        &app, "check-settings", "Check the settings file of a node",
        "check-settings node.json", [this] { return CheckSettings(); });
    command->add_option("FILE", options_.file)->required();
    if (environment_.run_node) {
      command = AddCommand(&app, "node", "Run a node", "node node.json",
                           [this] { return RunNode(); });
      command->add_option("FILE", options_.file, "Settings file of the node")
          ->required();
    }
    if (environment_.run_hosted_node) {
      command = AddCommand(
          &app, "hosted",
          "Run a node that uses the platform's store instead of a log",
          "hosted settings.json",
          [this] { return environment_.run_hosted_node(options_.file); });
      command->add_option(
          "FILE", options_.file,
          "Settings file of the node; default: the file named by "
          "SKYLARKHOIST_NODE_FILE");
    }
    command = AddCommand(
        &app, "check-hosted", "Check the settings file of a hosted node",
        "check-hosted settings.json", [this] { return CheckHostedSettings(); });
    command->add_option("FILE", options_.file)->required();
    AddConfigCommands(app);

    CLI::App* key = app.add_subcommand("key", "API keys of customers");
    key->require_subcommand(1)->fallthrough();
    command = AddCommand(
        key, "issue", "Issue a key and print it; it cannot be printed again",
        "key issue acme", [this] { return IssueCustomerKey(); });
    command->add_option("CUSTOMER", options_.name)->required();
    command = AddCommand(key, "withdraw", "Withdraw a key",
                         "key withdraw 0123456789abcdef",
                         [this] { return WithdrawKey(); });
    command
        ->add_option("ID", options_.name,
                     "ID of the key: the part between its underscores")
        ->required();

    CLI::App* zone = app.add_subcommand("zone", "Zones");
    zone->require_subcommand(1)->fallthrough();
    for (const char* state : {"out", "in"}) {
      command =
          AddCommand(zone, state,
                     std::string("Mark a zone as ") +
                         (state[0] == 'o' ? "out of service" : "in service"),
                     std::string("zone ") + state + " cairo-a",
                     [this, state] { return SetZone(state); });
      command->add_option("NAME", options_.name)->required();
    }
  }

  void AddConfigCommands(CLI::App& app) {
    CLI::App* config = app.add_subcommand("config", "Published configuration");
    config->require_subcommand(1)->fallthrough();
    CLI::App* command =
        AddCommand(config, "check",
                   "Check a configuration file without connecting to the log",
                   "config check fleet.json", [this] { return CheckConfig(); });
    command->add_option("FILE", options_.file)->required();
    command = AddCommand(
        config, "diff",
        "Compare a file with the published configuration; paths that "
        "the file does not name are ignored",
        "config diff fleet.json", [this] { return DiffConfig(); });
    command->add_option("FILE", options_.file)->required();
    command =
        AddCommand(config, "publish", "Publish one value",
                   "config publish /rates/acme "
                   "'{\"per_second\":50,\"burst\":100}' --base-version 17",
                   [this] { return PublishValue(); });
    command->add_option("PATH", options_.path)->required();
    command
        ->add_option("VALUE", options_.value,
                     "JSON value; null deletes the path")
        ->required();
    command
        ->add_option("--base-version", options_.base_version,
                     "Version that the change replaces; 0 for a new path")
        ->required();
    command->add_flag("--force", options_.force,
                      "Publish even if the change adds findings");
    command = AddCommand(
        config, "publish-file",
        "Publish the values of a file that differ from the published ones, "
        "each based on its current version; null deletes the path",
        "config publish-file fleet.json", [this] { return PublishFile(); });
    command->add_option("FILE", options_.file)->required();
    command->add_flag("--force", options_.force,
                      "Publish even if the change adds findings");
    command =
        AddCommand(config, "show", "Show the published configuration",
                   "config show /rates/acme", [this] { return ShowConfig(); });
    command->add_option("PATH", options_.path, "A path or a path prefix");
    command =
        AddCommand(config, "watch", "Print changes as they take effect",
                   "config watch --for 60", [this] { return WatchConfig(); });
    command->add_option("--for", options_.watch_seconds,
                        "Seconds to watch; by default until interrupted");
    AddCommand(config, "describe",
               "Print the reference of all configuration settings",
               "config describe > docs/configuration.md", [this] {
                 *environment_.out << DescribeConfig();
                 return kExitOk;
               });
  }

  // Prints `value` with --json, and `text` otherwise.
  void Print(const json& value, const std::string& text) {
    if (options_.json_output)
      *environment_.out << JsonText(value) << "\n" << std::flush;
    else
      *environment_.out << text << std::flush;
  }

  int ReportError(int code, const std::string& message) {
    if (options_.json_output)
      Print({{"result", "error"}, {"message", message}}, "");
    else
      *environment_.error << message << "\n";
    return code;
  }

  int ReportFindings(const findings& problems) {
    Print({{"result", "findings"}, {"findings", FindingsToJson(problems)}},
          problems.ToText());
    return kExitFindings;
  }

  int CheckSettings() {
    const auto settings = ReadNodeSettings(options_.file, environment_.plugins);
    if (!settings)
      return ReportFindings(settings.error());
    Print({{"result", "ok"}}, "no findings\n");
    return kExitOk;
  }

  int CheckHostedSettings() {
    const auto settings = ReadHostedSettings(options_.file);
    if (!settings)
      return ReportFindings(settings.error());
    Print({{"result", "ok"}}, "no findings\n");
    return kExitOk;
  }

  int RunNode() {
    const auto settings = ReadNodeSettings(options_.file, environment_.plugins);
    if (!settings)
      return ReportFindings(settings.error());
    return environment_.run_node(*settings);
  }

  int CheckConfig() {
    auto values = ReadConfigFile(options_.file);
    if (!values)
      return ReportFindings(values.error());
    for (auto at = values->begin(); at != values->end();)
      at = at->second.is_null() ? values->erase(at) : std::next(at);
    const auto view = BuildConfigView(0, *values);
    if (!view)
      return ReportFindings(view.error());
    Print({{"result", "ok"}, {"paths", values->size()}},
          "no findings in " + std::to_string(values->size()) + " paths\n");
    return kExitOk;
  }

  // Connects to the log and reads the published configuration. Returns kExitOk
  // on success, and otherwise the exit code after printing the error.
  int LoadSession() {
    log_endpoint endpoint{options_.log_address, options_.stream};
    if (!options_.settings_file.empty()) {
      const auto settings =
          ReadNodeSettings(options_.settings_file, environment_.plugins);
      if (!settings)
        return ReportFindings(settings.error());
      endpoint = {settings->log_address, settings->log_stream,
                  settings->log_timeout};
    }
    if (endpoint.address.empty())
      return ReportError(
          kExitUsage,
          "the log address is missing: use --log ADDRESS or --settings FILE");
    if (options_.author.empty()) {
      const char* user = std::getenv("USER");
      options_.author = user != nullptr ? user : "unknown";
    }
    session_ = std::make_unique<config_session>(
        environment_.connect(endpoint),
        std::chrono::seconds(options_.timeout_seconds));
    if (!session_->Load())
      return ReportError(
          kExitLogUnreachable,
          "cannot read the log within the time limit (--timeout)");
    return kExitOk;
  }

  int DiffConfig() {
    const auto values = ReadConfigFile(options_.file);
    if (!values)
      return ReportFindings(values.error());
    if (const int code = LoadSession(); code != kExitOk)
      return code;
    json differences = json::array();
    std::string text;
    for (const auto& [path, value] : *values) {
      const json* published = session_->ValueOf(path);
      const json published_value = published != nullptr ? *published : json();
      if (published_value == value)
        continue;
      differences.push_back(
          {{"path", path}, {"published", published_value}, {"file", value}});
      if (!published_value.is_null())
        text += "- " + path + " " + JsonText(published_value) + "\n";
      if (!value.is_null())
        text += "+ " + path + " " + JsonText(value) + "\n";
    }
    const bool equal = differences.empty();
    Print({{"differences", std::move(differences)}}, text);
    return equal ? kExitOk : kExitFindings;
  }

  // Returns the findings that `changes` would add to the published state.
  findings NewFindings(const std::map<std::string, json>& changes) const {
    std::map<std::string, json> values = session_->Values();
    const auto before = BuildConfigView(0, values);
    findings added;
    for (const auto& [path, value] : changes) {
      if (value.is_null()) {
        // BuildConfigView does not see deleted paths, so check the form here.
        if (!IsConfigPath(path))
          added.Add(path, "must have the form /SUBTREE/NAME");
        values.erase(path);
      } else {
        values[path] = value;
      }
    }
    const auto after = BuildConfigView(0, values);
    if (after)
      return added;
    for (const finding& item : after.error().items()) {
      const bool existed_before =
          !before && std::count(before.error().items().begin(),
                                before.error().items().end(), item) != 0;
      if (!existed_before)
        added.Add(item.place, item.message);
    }
    return added;
  }

  int PublishValue() {
    const auto value = ParseJson(options_.value);
    if (!value) {
      findings problems;
      for (const finding& item : value.error().items())
        problems.Add("VALUE", item.message);
      return ReportFindings(problems);
    }
    if (const int code = LoadSession(); code != kExitOk)
      return code;
    const findings added = NewFindings({{options_.path, *value}});
    if (!added.empty() && !options_.force)
      return ReportFindings(added);
    return Publish(options_.path, options_.base_version, *value);
  }

  int Publish(const std::string& path,
              uint64_t base_version,
              const json& value) {
    const append_result result = session_->Publish(
        path, base_version,
        value.is_null() ? std::nullopt : std::optional<json>(value),
        options_.author);
    return ReportAppendResult(path, base_version, value, result);
  }

  int ReportAppendResult(const std::string& path,
                         uint64_t base_version,
                         const json& value,
                         const append_result& result) {
    json report = {{"path", path}, {"base_version", base_version}};
    switch (result.state) {
      case append_state::kAccepted:
        report["result"] = "accepted";
        report["version"] = result.offset;
        Print(report, path + " accepted as version " +
                          std::to_string(result.offset) + "\n");
        return kExitOk;
      case append_state::kUnknown:
        if (!result.may_have_reached_log)
          return ReportError(
              kExitLogUnreachable,
              path +
                  ": the log cannot be reached; the change was not published");
        return ReportError(kExitOutcomeUnknown,
                           path +
                               ": no answer from the log; the change may still "
                               "take effect. Check with: config show " +
                               path);
      case append_state::kVoid:
        break;
    }
    if (!result.record_problem.empty())
      return ReportError(kExitFindings, path + ": " + result.record_problem);
    report["result"] = "lost_race";
    report["yours"] = value;
    report["in_force"] =
        result.entry_in_force ? EntryToJson(*result.entry_in_force) : json();
    std::string text =
        path + ": conflict: another change was published first\n  yours:    " +
        (value.is_null() ? "(deleted)" : JsonText(value)) + " (base version " +
        std::to_string(base_version) + ")\n  in force: ";
    text += result.entry_in_force ? EntryToText(path, *result.entry_in_force)
                                  : path + " (never published)\n";
    Print(report, text);
    return kExitConflict;
  }

  int PublishFile() {
    const auto values = ReadConfigFile(options_.file);
    if (!values)
      return ReportFindings(values.error());
    if (const int code = LoadSession(); code != kExitOk)
      return code;
    const findings added = NewFindings(*values);
    if (!added.empty() && !options_.force)
      return ReportFindings(added);
    // Customers and services are published before the values that refer to
    // them, and deleted after those.
    std::vector<std::pair<std::string, json>> all_changes;
    for (const bool deletions : {false, true}) {
      std::vector<std::pair<std::string, json>> changes;
      for (const config_subtree& subtree : ConfigSubtrees()) {
        if (subtree.name == "customers" || subtree.name == "services")
          AppendSubtreeChanges(subtree.name, deletions, *values, &changes);
      }
      for (const config_subtree& subtree : ConfigSubtrees()) {
        if (subtree.name != "customers" && subtree.name != "services")
          AppendSubtreeChanges(subtree.name, deletions, *values, &changes);
      }
      if (deletions)
        std::reverse(changes.begin(), changes.end());
      all_changes.insert(all_changes.end(), changes.begin(), changes.end());
    }
    // Read before the first change is published, so that a concurrent change by
    // another author causes a conflict.
    std::map<std::string, uint64_t> base_versions;
    for (const auto& [path, value] : all_changes)
      base_versions[path] = session_->VersionOf(path);
    for (const auto& [path, value] : all_changes) {
      if (const int code = Publish(path, base_versions[path], value);
          code != kExitOk)
        return code;
    }
    if (all_changes.empty())
      Print({{"result", "ok"}, {"changes", 0}}, "nothing to change\n");
    return kExitOk;
  }

  // Appends to `changes` the values of one subtree that differ from the
  // published ones: the deletions if `deletions` is set, and the other values
  // otherwise.
  void AppendSubtreeChanges(
      const std::string& subtree,
      bool deletions,
      const std::map<std::string, json>& values,
      std::vector<std::pair<std::string, json>>* changes) const {
    const std::string prefix = "/" + subtree + "/";
    for (const auto& [path, value] : values) {
      const json* published = session_->ValueOf(path);
      const json published_value = published != nullptr ? *published : json();
      if (path.compare(0, prefix.size(), prefix) == 0 &&
          value.is_null() == deletions && published_value != value)
        changes->emplace_back(path, value);
    }
  }

  int ShowConfig() {
    if (const int code = LoadSession(); code != kExitOk)
      return code;
    json entries = json::object();
    std::string text;
    for (const auto& [path, entry] : session_->fold().entries()) {
      const bool exact_match = path == options_.path;
      if (path.compare(0, options_.path.size(), options_.path) != 0 ||
          (!entry.value && !exact_match))
        continue;
      entries[path] = EntryToJson(entry);
      text += EntryToText(path, entry);
    }
    const bool no_match = entries.empty() && !options_.path.empty();
    const findings& problems = session_->follower().problems();
    Print({{"offset", session_->fold().offset()},
           {"entries", std::move(entries)},
           {"findings", FindingsToJson(problems)}},
          text + (problems.empty() ? "" : "findings:\n" + problems.ToText()));
    if (no_match && !options_.json_output)
      *environment_.error << options_.path << " has no value\n";
    return no_match ? kExitFindings : kExitOk;
  }

  int WatchConfig() {
    if (const int code = LoadSession(); code != kExitOk)
      return code;
    std::map<std::string, uint64_t> versions;
    for (const auto& [path, entry] : session_->fold().entries())
      versions[path] = entry.version;
    session_->follower().OnChange([this, &versions] {
      for (const auto& [path, entry] : session_->fold().entries()) {
        if (versions[path] == entry.version)
          continue;
        versions[path] = entry.version;
        json change = EntryToJson(entry);
        change["path"] = path;
        Print(change, EntryToText(path, entry));
      }
    });
    const auto watch_time =
        options_.watch_seconds > 0
            ? std::chrono::duration_cast<duration>(
                  std::chrono::duration<double>(options_.watch_seconds))
            : duration(std::chrono::hours(24 * 365));
    session_->log().RunUntil([] { return false; }, watch_time);
    // Ends the callback, which refers to the local variable `versions`.
    session_.reset();
    return kExitOk;
  }

  int IssueCustomerKey() {
    if (const int code = LoadSession(); code != kExitOk)
      return code;
    if (session_->ValueOf("/customers/" + options_.name) == nullptr)
      return ReportError(kExitFindings,
                         "customer \"" + options_.name + "\" does not exist");
    const auto key = IssueKey();
    if (!key)
      return ReportError(
          kExitFindings,
          "cannot issue a key: the random number generator failed");
    const std::string path = "/keys/" + key->id;
    const json value = {{"customer", options_.name},
                        {"secret_sha256", key->secret_sha256},
                        {"state", "active"}};
    const append_result result =
        session_->Publish(path, 0, value, options_.author);
    if (result.state != append_state::kAccepted) {
      // The secret is not printed, so that nobody relies on a key that may
      // never take effect. If it does, nobody holds its secret, and it can be
      // withdrawn by its ID.
      return ReportAppendResult(path, 0, value, result);
    }
    Print({{"result", "accepted"},
           {"id", key->id},
           {"customer", options_.name},
           {"version", result.offset},
           {"key", key->text}},
          key->text + "\n");
    return kExitOk;
  }

  int WithdrawKey() {
    const std::string path = "/keys/" + options_.name;
    return UpdateValue(path, [this, &path](const json* before) {
      std::optional<json> after;
      if (before == nullptr) {
        ReportError(kExitFindings, path + " does not exist");
      } else {
        after = *before;
        (*after)["state"] = "withdrawn";
      }
      return after;
    });
  }

  int SetZone(const std::string& state) {
    return UpdateValue("/zones/" + options_.name, [state](const json* before) {
      json after = before != nullptr ? *before : json::object();
      after["state"] = state;
      return std::optional<json>(after);
    });
  }

  // Publishes the value that `edit` returns for the current one (null if the
  // path has none), and tries again after a conflict. If `edit` returns
  // nothing, it has printed the error, and nothing is published.
  int UpdateValue(const std::string& path,
                  const std::function<std::optional<json>(const json*)>& edit) {
    if (const int code = LoadSession(); code != kExitOk)
      return code;
    for (int attempt = 1;; ++attempt) {
      const json* before = session_->ValueOf(path);
      const std::optional<json> after = edit(before);
      if (!after)
        return kExitFindings;
      const uint64_t base_version = session_->VersionOf(path);
      if (before != nullptr && *before == *after) {
        Print({{"result", "unchanged"},
               {"path", path},
               {"version", base_version}},
              path + " already has this value, set in version " +
                  std::to_string(base_version) + "\n");
        return kExitOk;
      }
      const append_result result =
          session_->Publish(path, base_version, after, options_.author);
      if (result.state != append_state::kVoid ||
          attempt == kMaxUpdateAttempts || !result.record_problem.empty())
        return ReportAppendResult(path, base_version, *after, result);
    }
  }

  const command_environment& environment_;
  command_options options_;
  std::function<int()> selected_action_;
  std::unique_ptr<config_session> session_;
};

}  // namespace

command_environment::command_environment()
    : out(&std::cout), error(&std::cerr), connect(ConnectOverHttp) {
  plugins.routing_policies = routing_registry::Names();
}

int RunCommand(int argc, char** argv) {
  return RunCommand(argc, argv, command_environment());
}

int RunCommand(int argc, char** argv, const command_environment& environment) {
  return command_runner(environment).Run(argc, argv);
}

}  // namespace skylarkhoist
