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
    "Exit codes: 0 success; 1 findings or differences; 2 wrong usage; 3 "
    "another change came first;\n4 unknown whether the change takes effect; 5 "
    "the log cannot be reached.\n\n"
    "Examples:\n"
    "  skylarkhoist --log 10.0.0.9:7000 config show /rates/acme\n"
    "  skylarkhoist --settings node.json config publish /rates/acme "
    "'{\"per_second\":50,\"burst\":100}' --base-version 17\n"
    "  skylarkhoist --log 10.0.0.9:7000 key issue acme\n"
    "  skylarkhoist --log 10.0.0.9:7000 zone out cairo-a\n";

// Attempts of a command that does not depend on the other settings of its path,
// so that a lost race only means to try again.
constexpr int kAttempts = 5;

struct command_options {
  std::string log_address;
  std::string stream = "skylarkhoist";
  std::string settings_file;
  std::string author;
  int timeout_seconds = 10;
  bool json_output = false;
  bool force = false;

  // Arguments of single commands.
  std::string file;
  std::string path;
  std::string value;
  uint64_t base_version = 0;
  std::string name;
  double watch_seconds = 0;
};

json EntryToJson(const config_entry& entry) {
  return {{"version", entry.version},
          {"author", entry.author},
          {"unix_ms", entry.unix_ms},
          {"value", entry.value ? *entry.value : json()}};
}

std::string EntryToText(const std::string& path, const config_entry& entry) {
  return path + " " + (entry.value ? entry.value->dump() : "(deleted)") +
         " (version " + std::to_string(entry.version) + ", by " + entry.author +
         ")\n";
}

json FindingsToJson(const findings& problems) {
  json list = json::array();
  for (const finding& item : problems.items())
    list.push_back({{"place", item.place}, {"message", item.message}});
  return list;
}

// A configuration file: {"/customers/acme": {...}, "/routes/old": null}. Null
// stands for a deletion.
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
    problems.Add("/", "must be an object of paths and values");
    return tl::unexpected(problems);
  }
  return value->get<std::map<std::string, json>>();
}

// One run of the command line.
class command_run {
 public:
  explicit command_run(const command_environment& environment)
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
    return chosen_ ? chosen_() : kExitUsage;
  }

 private:
  void AddOptions(CLI::App& app) {
    app.add_option("--log", options_.log_address,
                   "Address of the log service, ip:port")
        ->envname("SKYLARKHOIST_LOG");
    app.add_option("--stream", options_.stream, "Stream of the log")
        ->envname("SKYLARKHOIST_STREAM")
        ->capture_default_str();
    app.add_option("--settings", options_.settings_file,
                   "Settings file of a node, for the log and the stream");
    app.add_option("--author", options_.author,
                   "Author of changes; the user's name by default");
    app.add_option("--timeout", options_.timeout_seconds,
                   "Longest wait for the log, in seconds")
        ->check(CLI::Range(1, 600))
        ->capture_default_str();
    app.add_flag("--json", options_.json_output, "Print JSON");
  }

  // Adds a command that runs `action` once all arguments are read.
  CLI::App* Add(CLI::App* parent,
                const std::string& name,
                const std::string& help,
                const std::string& example,
                std::function<int()> action) {
    CLI::App* command = parent->add_subcommand(name, help);
    command->fallthrough();
    command->footer("Example:\n  skylarkhoist " + example);
    command->final_callback(
        [this, action = std::move(action)] { chosen_ = action; });
    return command;
  }

  void AddCommands(CLI::App& app) {
    CLI::App* command =
        Add(&app, "check-settings", "Check the settings file of a node",
            "check-settings node.json", [this] { return CheckSettings(); });
    command->add_option("FILE", options_.file)->required();
    if (environment_.run_node) {
      command = Add(&app, "node", "Run a node", "node node.json",
                    [this] { return RunNode(); });
      command->add_option("FILE", options_.file, "Settings of the node")
          ->required();
    }
    if (environment_.run_hosted_node) {
      command =
          Add(&app, "hosted", "Run a node on a platform that keeps its state",
              "hosted settings.json",
              [this] { return environment_.run_hosted_node(options_.file); });
      command->add_option("FILE", options_.file,
                          "Settings of the node; by default the file that the "
                          "platform names");
    }
    command =
        Add(&app, "check-hosted", "Check the settings file of a hosted node",
            "check-hosted settings.json", [this] { return CheckHosted(); });
    command->add_option("FILE", options_.file)->required();
    AddConfigCommands(app);

    CLI::App* key = app.add_subcommand("key", "Keys of customers");
    key->require_subcommand(1)->fallthrough();
    command = Add(key, "issue", "Issue a key and print it, once",
                  "key issue acme", [this] { return IssueCustomerKey(); });
    command->add_option("CUSTOMER", options_.name)->required();
    command =
        Add(key, "withdraw", "Withdraw a key", "key withdraw 0123456789abcdef",
            [this] { return WithdrawKey(); });
    command->add_option("ID", options_.name, "The part between the underscores")
        ->required();

    CLI::App* zone = app.add_subcommand("zone", "Zones");
    zone->require_subcommand(1)->fallthrough();
    for (const char* state : {"out", "in"}) {
      command = Add(zone, state,
                    std::string("Take a zone ") +
                        (state[0] == 'o' ? "out of service" : "into service"),
                    std::string("zone ") + state + " cairo-a",
                    [this, state] { return SetZone(state); });
      command->add_option("NAME", options_.name)->required();
    }
  }

  void AddConfigCommands(CLI::App& app) {
    CLI::App* config = app.add_subcommand("config", "Published configuration");
    config->require_subcommand(1)->fallthrough();
    CLI::App* command =
        Add(config, "check", "Check a file by itself, without the log",
            "config check fleet.json", [this] { return CheckConfig(); });
    command->add_option("FILE", options_.file)->required();
    command = Add(config, "diff",
                  "Compare a file with the published configuration; a path "
                  "that the file does not name is left alone",
                  "config diff fleet.json", [this] { return Diff(); });
    command->add_option("FILE", options_.file)->required();
    command = Add(config, "publish", "Publish one value",
                  "config publish /rates/acme "
                  "'{\"per_second\":50,\"burst\":100}' --base-version 17",
                  [this] { return PublishValue(); });
    command->add_option("PATH", options_.path)->required();
    command->add_option("VALUE", options_.value, "JSON; null deletes the path")
        ->required();
    command
        ->add_option("--base-version", options_.base_version,
                     "Version that the change replaces, 0 for a new path")
        ->required();
    command->add_flag("--force", options_.force,
                      "Publish although the result has findings");
    command =
        Add(config, "publish-file",
            "Publish the values of a file that differ, each on the "
            "version in force; null deletes",
            "config publish-file fleet.json", [this] { return PublishFile(); });
    command->add_option("FILE", options_.file)->required();
    command->add_flag("--force", options_.force,
                      "Publish although the result has findings");
    command = Add(config, "show", "Show the published configuration",
                  "config show /rates/acme", [this] { return Show(); });
    command->add_option("PATH", options_.path,
                        "A path, or the beginning of one");
    command = Add(config, "watch", "Print changes as they come into force",
                  "config watch --for 60", [this] { return Watch(); });
    command->add_option("--for", options_.watch_seconds,
                        "Seconds until the end; without it, until interrupted");
    Add(config, "describe", "Describe all settings",
        "config describe > docs/configuration.md", [this] {
          *environment_.out << DescribeConfig();
          return kExitOk;
        });
  }

  // Prints one result, as JSON or as text.
  void Print(const json& value, const std::string& text) {
    if (options_.json_output)
      *environment_.out << value.dump() << "\n" << std::flush;
    else
      *environment_.out << text << std::flush;
  }

  int Fail(int code, const std::string& message) {
    if (options_.json_output)
      Print({{"result", "error"}, {"message", message}}, "");
    else
      *environment_.error << message << "\n";
    return code;
  }

  int FailWith(const findings& problems) {
    Print({{"result", "findings"}, {"findings", FindingsToJson(problems)}},
          problems.ToText());
    return kExitFindings;
  }

  int CheckSettings() {
    const auto settings = ReadNodeSettings(options_.file, environment_.plugins);
    if (!settings)
      return FailWith(settings.error());
    Print({{"result", "ok"}}, "no findings\n");
    return kExitOk;
  }

  int CheckHosted() {
    const auto settings = ReadHostedSettings(options_.file);
    if (!settings)
      return FailWith(settings.error());
    Print({{"result", "ok"}}, "no findings\n");
    return kExitOk;
  }

  int RunNode() {
    const auto settings = ReadNodeSettings(options_.file, environment_.plugins);
    if (!settings)
      return FailWith(settings.error());
    return environment_.run_node(*settings);
  }

  int CheckConfig() {
    auto values = ReadConfigFile(options_.file);
    if (!values)
      return FailWith(values.error());
    for (auto at = values->begin(); at != values->end();)
      at = at->second.is_null() ? values->erase(at) : std::next(at);
    const auto view = BuildConfigView(0, *values);
    if (!view)
      return FailWith(view.error());
    Print({{"result", "ok"}, {"paths", values->size()}},
          "no findings in " + std::to_string(values->size()) + " paths\n");
    return kExitOk;
  }

  // Connects to the log and reads the state. Returns kExitOk on success.
  int Load() {
    log_target target{options_.log_address, options_.stream};
    if (!options_.settings_file.empty()) {
      const auto settings =
          ReadNodeSettings(options_.settings_file, environment_.plugins);
      if (!settings)
        return FailWith(settings.error());
      target = {settings->log_address, settings->log_stream,
                settings->log_timeout};
    }
    if (target.address.empty())
      return Fail(kExitUsage, "give the log: --log ADDRESS or --settings FILE");
    if (options_.author.empty()) {
      const char* user = std::getenv("USER");
      options_.author = user != nullptr ? user : "unknown";
    }
    session_ = std::make_unique<config_session>(
        environment_.connect(target),
        std::chrono::seconds(options_.timeout_seconds));
    if (!session_->Load())
      return Fail(kExitLogUnreachable, "the log cannot be read");
    return kExitOk;
  }

  int Diff() {
    const auto values = ReadConfigFile(options_.file);
    if (!values)
      return FailWith(values.error());
    if (const int code = Load(); code != kExitOk)
      return code;
    json differences = json::array();
    std::string text;
    for (const auto& [path, value] : *values) {
      const json* published = session_->ValueOf(path);
      const json before = published != nullptr ? *published : json();
      if (before == value)
        continue;
      differences.push_back(
          {{"path", path}, {"published", before}, {"file", value}});
      if (!before.is_null())
        text += "- " + path + " " + before.dump() + "\n";
      if (!value.is_null())
        text += "+ " + path + " " + value.dump() + "\n";
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
        // Names nothing that a deletion could be checked against.
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
      const bool old =
          !before && std::count(before.error().items().begin(),
                                before.error().items().end(), item) != 0;
      if (!old)
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
      return FailWith(problems);
    }
    if (const int code = Load(); code != kExitOk)
      return code;
    const findings added = NewFindings({{options_.path, *value}});
    if (!added.empty() && !options_.force)
      return FailWith(added);
    return Publish(options_.path, options_.base_version, *value);
  }

  int Publish(const std::string& path, uint64_t base, const json& value) {
    const append_result result = session_->Publish(
        path, base, value.is_null() ? std::nullopt : std::optional<json>(value),
        options_.author);
    return Report(path, base, value, result);
  }

  int Report(const std::string& path,
             uint64_t base,
             const json& value,
             const append_result& result) {
    json report = {{"path", path}, {"base_version", base}};
    switch (result.state) {
      case append_state::kAccepted:
        report["result"] = "accepted";
        report["version"] = result.offset;
        Print(report, path + " accepted as version " +
                          std::to_string(result.offset) + "\n");
        return kExitOk;
      case append_state::kUnknown:
        if (!result.reached_log)
          return Fail(kExitLogUnreachable,
                      path + ": the log was not reached; nothing has changed");
        return Fail(kExitUnknown,
                    path +
                        ": no answer from the log; the change may still "
                        "take effect. Look with: config show " +
                        path);
      case append_state::kVoid:
        break;
    }
    if (!result.problem.empty())
      return Fail(kExitFindings, path + ": " + result.problem);
    report["result"] = "lost_race";
    report["yours"] = value;
    report["in_force"] =
        result.in_force ? EntryToJson(*result.in_force) : json();
    std::string text = path + ": another change came first\n  yours:    " +
                       (value.is_null() ? "(deleted)" : value.dump()) +
                       " (base version " + std::to_string(base) +
                       ")\n  in force: ";
    text += result.in_force ? EntryToText(path, *result.in_force)
                            : path + " (no version)\n";
    Print(report, text);
    return kExitLostRace;
  }

  int PublishFile() {
    const auto values = ReadConfigFile(options_.file);
    if (!values)
      return FailWith(values.error());
    if (const int code = Load(); code != kExitOk)
      return code;
    const findings added = NewFindings(*values);
    if (!added.empty() && !options_.force)
      return FailWith(added);
    // What others refer to comes first, and goes last.
    std::vector<std::pair<std::string, json>> order;
    for (const bool deletions : {false, true}) {
      std::vector<std::pair<std::string, json>> part;
      for (const config_subtree& subtree : ConfigSubtrees()) {
        if (subtree.name == "customers" || subtree.name == "services")
          CopySubtree(subtree.name, deletions, *values, &part);
      }
      for (const config_subtree& subtree : ConfigSubtrees()) {
        if (subtree.name != "customers" && subtree.name != "services")
          CopySubtree(subtree.name, deletions, *values, &part);
      }
      if (deletions)
        std::reverse(part.begin(), part.end());
      order.insert(order.end(), part.begin(), part.end());
    }
    // Taken before the first change, so that a change by someone else in the
    // meantime is noticed.
    std::map<std::string, uint64_t> bases;
    for (const auto& [path, value] : order)
      bases[path] = session_->VersionOf(path);
    for (const auto& [path, value] : order) {
      if (const int code = Publish(path, bases[path], value); code != kExitOk)
        return code;
    }
    if (order.empty())
      Print({{"result", "ok"}, {"changes", 0}}, "nothing to change\n");
    return kExitOk;
  }

  // Adds the values of one subtree that differ from the published ones.
  void CopySubtree(const std::string& subtree,
                   bool deletions,
                   const std::map<std::string, json>& values,
                   std::vector<std::pair<std::string, json>>* part) const {
    const std::string prefix = "/" + subtree + "/";
    for (const auto& [path, value] : values) {
      const json* published = session_->ValueOf(path);
      const json before = published != nullptr ? *published : json();
      if (path.compare(0, prefix.size(), prefix) == 0 &&
          value.is_null() == deletions && before != value)
        part->emplace_back(path, value);
    }
  }

  int Show() {
    if (const int code = Load(); code != kExitOk)
      return code;
    json entries = json::object();
    std::string text;
    for (const auto& [path, entry] : session_->fold().entries()) {
      const bool exact = path == options_.path;
      if (path.compare(0, options_.path.size(), options_.path) != 0 ||
          (!entry.value && !exact))
        continue;
      entries[path] = EntryToJson(entry);
      text += EntryToText(path, entry);
    }
    const bool nothing = entries.empty() && !options_.path.empty();
    const findings& problems = session_->follower().problems();
    Print({{"offset", session_->fold().offset()},
           {"entries", std::move(entries)},
           {"findings", FindingsToJson(problems)}},
          text + (problems.empty() ? "" : "findings:\n" + problems.ToText()));
    if (nothing && !options_.json_output)
      *environment_.error << options_.path << " has no value\n";
    return nothing ? kExitFindings : kExitOk;
  }

  int Watch() {
    if (const int code = Load(); code != kExitOk)
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
    const auto limit =
        options_.watch_seconds > 0
            ? std::chrono::duration_cast<duration>(
                  std::chrono::duration<double>(options_.watch_seconds))
            : duration(std::chrono::hours(24 * 365));
    session_->log().RunUntil([] { return false; }, limit);
    // The callback refers to a variable of this function.
    session_.reset();
    return kExitOk;
  }

  int IssueCustomerKey() {
    if (const int code = Load(); code != kExitOk)
      return code;
    if (session_->ValueOf("/customers/" + options_.name) == nullptr)
      return Fail(kExitFindings,
                  "customer \"" + options_.name + "\" does not exist");
    const auto key = IssueKey();
    if (!key)
      return Fail(kExitFindings, "the random generator failed");
    const std::string path = "/keys/" + key->id;
    const json value = {{"customer", options_.name},
                        {"secret_sha256", key->secret_sha256},
                        {"state", "active"}};
    const append_result result =
        session_->Publish(path, 0, value, options_.author);
    if (result.state != append_state::kAccepted) {
      // The secret is not shown: a key that may come into force without its
      // holder's knowledge is of no use, and can be withdrawn by its id.
      return Report(path, 0, value, result);
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
    return Change(path, [this, &path](const json* before) {
      std::optional<json> after;
      if (before == nullptr) {
        Fail(kExitFindings, path + " does not exist");
      } else {
        after = *before;
        (*after)["state"] = "withdrawn";
      }
      return after;
    });
  }

  int SetZone(const std::string& state) {
    return Change("/zones/" + options_.name, [state](const json* before) {
      json after = before != nullptr ? *before : json::object();
      after["state"] = state;
      return std::optional<json>(after);
    });
  }

  // Publishes what `edit` makes of the value in force, again after a lost race.
  // Without a value from `edit`, which reports why, nothing is published.
  int Change(const std::string& path,
             const std::function<std::optional<json>(const json*)>& edit) {
    if (const int code = Load(); code != kExitOk)
      return code;
    for (int attempt = 1;; ++attempt) {
      const json* before = session_->ValueOf(path);
      const std::optional<json> after = edit(before);
      if (!after)
        return kExitFindings;
      const uint64_t base = session_->VersionOf(path);
      if (before != nullptr && *before == *after) {
        Print({{"result", "unchanged"}, {"path", path}, {"version", base}},
              path + " is so already, since version " + std::to_string(base) +
                  "\n");
        return kExitOk;
      }
      const append_result result =
          session_->Publish(path, base, after, options_.author);
      if (result.state != append_state::kVoid || attempt == kAttempts ||
          !result.problem.empty())
        return Report(path, base, *after, result);
    }
  }

  const command_environment& environment_;
  command_options options_;
  std::function<int()> chosen_;
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
  return command_run(environment).Run(argc, argv);
}

}  // namespace skylarkhoist
