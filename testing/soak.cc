#include "testing/soak.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <map>
#include <memory>
#include <utility>

#include "kernel/event_loop.h"
#include "kernel/json.h"
#include "kernel/random.h"
#include "testing/fault_proxy.h"
#include "testing/run_until.h"
#include "testing/soak_worker.h"
#include "testing/store_stand_in.h"
#include "testing/target_status_check.h"
#include "wire/http_target_client.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "soak.example";
constexpr char kOperatorTopic[] = "keyed.op";
constexpr duration kRequestTimeout = seconds(3);
// Same as `stop_grace_s` in the settings of the nodes.
constexpr duration kStopGrace = seconds(6);
constexpr duration kStartupTime = seconds(4);
// Time for the fleet to recover after the faults. Of the requests sent in
// kLoadAfterRecovery after it, kMinServedShare must be served.
constexpr duration kRecoveryTime = seconds(8);
constexpr duration kLoadAfterRecovery = seconds(2);
constexpr double kMinServedShare = 0.95;
// Some checks skip nodes that had a fault within this time, since its effects
// can last that long.
constexpr duration kFaultEffectTime = seconds(5);
// A node without recent faults accepts a withdrawn key for this long at most.
constexpr duration kMaxKeyWithdrawalTime = seconds(2);
constexpr duration kMaxFaultLength = seconds(3);
// Requests may reach a worker for this long after its departure was confirmed.
constexpr duration kMaxDepartureTime = seconds(2);
// After the start of a process or a fault of its connections to other programs,
// requests may be late for this long.
constexpr duration kStabilityTime = seconds(3);

constexpr std::array<const char*, 3> kZones = {"a", "b", "c"};

enum class request_outcome { kPending, kServed, kRefused, kUnknown };

struct soak_request {
  bool repeatable = false;
  std::string customer;
  std::string key;
  size_t node = 0;
  time_point sent_at;
  time_point ended_at;
  request_outcome outcome = request_outcome::kPending;
  int runs = 0;
  time_point last_run_at;
  // Node beside the worker of the last run.
  size_t worker_node = 0;
};

class soak_run {
 public:
  explicit soak_run(const soak_options& options)
      : options_(options),
        random_(options.seed),
        address_prefix_("127." + std::to_string(10 + getpid() % 200) + "." +
                        std::to_string(options.seed % 250) + "."),
        client_(&loop_, ClientSettings(), nullptr),
        store_(&loop_, address_prefix_ + "250:7000") {}

  soak_result Run() {
    PublishConfig({"k1", "k1-old"});
    for (int i = 0; i < options_.nodes; ++i)
      AddNode(static_cast<size_t>(i));
    SuperviseNodes();
    RunFor(loop_, kStartupTime);
    SendLoad();
    const time_point end = loop_.Now() + options_.fault_duration;
    InjectNextFault(end);
    RunFor(loop_, options_.fault_duration);
    EndFaults();
    RunFor(loop_, kRecoveryTime);
    const time_point recovered_at = loop_.Now();
    RunFor(loop_, kLoadAfterRecovery);
    sending_ = false;
    RunFor(loop_, kRequestTimeout + seconds(1));
    CheckOutcomes(recovered_at);
    for (soak_node& node : nodes_)
      SendSignal(&node, SIGKILL);
    RunUntil(
        loop_, [this] { return CountProcesses() == 0; }, seconds(5));
    return std::move(result_);
  }

 private:
  struct soak_node {
    std::string settings_file;
    std::string log_file;
    std::string request_address;
    std::unique_ptr<fault_proxy> store_proxy;
    std::unique_ptr<fault_proxy> worker_proxy;
    std::unique_ptr<soak_worker> worker;
    target_status_check status_check;
    // 0 while no process runs.
    pid_t pid = 0;
    bool paused = false;
    // Whether to start the node again when its process ends.
    bool restart_on_exit = true;
    // When the node was started, or when a fault of it last began or ended.
    time_point last_fault_at;
    // The same without faults of the connections to the store, which excuse no
    // request to a worker that has left.
    time_point last_process_fault_at;
    // When the node confirmed the departure of its worker.
    std::optional<time_point> worker_left_at;
    // Whether and since when a planned stop is in progress.
    bool stopping = false;
    time_point stop_began_at;
  };

  static http_target_client_settings ClientSettings() {
    http_target_client_settings settings;
    settings.max_idle = seconds(20);
    settings.echo_field = "X-Request-Id";
    return settings;
  }

  static json MakeResource(const char* type,
                           const std::string& name,
                           json spec) {
    return {{"resourceType", type},
            {"metadata", {{"name", name}}},
            {"spec", std::move(spec)}};
  }

  // Publishes a configuration in which customer t1 has `keys`.
  void PublishConfig(const std::vector<std::string>& keys) {
    const auto route = [](const std::string& prefix, const char* kind) {
      return MakeResource("routes", kind,
                          {{"host", kHost},
                           {"pathPrefix", prefix},
                           {"kind", kind},
                           {"timeoutMs", 5000},
                           {"targetLatencyMs", 1000},
                           {"priority", 1},
                           {"service", "shop"},
                           {"maxAttempts", 2},
                           {"public", false}});
    };
    const json document = {
        {"version", "r" + std::to_string(++config_version_)},
        {"resources",
         {route("/safe/", "safe"), route("/once/", "unsafe"),
          MakeResource(
              "services", "shop",
              {{"coldPerS", 50}, {"healthPath", soak_worker::kHealthPath}}),
          MakeResource("tenants", "t1", {{"apiKeys", keys}}),
          MakeResource("tenants", "t2", {{"apiKeys", {"k2"}}})}}};
    // A restore loses this configuration.
    store_.Backup();
    config_ = document.dump();
    store_.AppendRecord(kOperatorTopic, "config", config_);
  }

  void AddNode(size_t index) {
    nodes_.emplace_back();
    soak_node& node = nodes_.back();
    const std::string host = address_prefix_ + std::to_string(index + 1);
    const std::string zone = kZones[index % kZones.size()];
    node.request_address = host + ":7000";
    node.store_proxy =
        std::make_unique<fault_proxy>(&loop_, host + ":7010", store_.address());
    soak_worker_settings worker_settings;
    worker_settings.listen_address = host + ":7011";
    worker_settings.node_address = host + ":7002";
    worker_settings.service = "shop";
    worker_settings.zone = zone;
    worker_settings.id = "w" + std::to_string(index);
    node.worker = std::make_unique<soak_worker>(
        &loop_, worker_settings, &random_,
        [this, index](const http_request& request) {
          OnRunAtWorker(index, request);
        });
    node.worker_proxy = std::make_unique<fault_proxy>(&loop_, host + ":7012",
                                                      node.worker->address());
    node.worker->SetPublicAddress(node.worker_proxy->address());
    json node_settings = {
        {"node", "n" + std::to_string(index)},
        {"zone", zone},
        {"zones", {{"a", "r"}, {"b", "r"}, {"c", "r"}}},
        {"listeners",
         {{"requests", node.request_address},
          {"ready", host + ":7001"},
          {"announcements", worker_settings.node_address},
          {"peer", host + ":7003"},
          {"metrics", host + ":7004"}}},
        {"target",
         {{"service", "shop"}, {"address", node.worker_proxy->address()}}},
        {"store", {{"address", node.store_proxy->address()}}},
        {"announcement_interval_ms", 300},
        {"stop_grace_s", 6}};
    const std::string path_prefix =
        options_.directory + "/n" + std::to_string(index);
    node.settings_file = path_prefix + ".json";
    node.log_file = path_prefix + ".log";
    std::ofstream(node.settings_file) << node_settings.dump(2);
    node.worker->ClaimNotExecuted(options_.claim_not_executed &&
                                  index % 2 == 0);
    node.worker->StartReports();
    StartProcess(&node);
  }

  void StartProcess(soak_node* node) {
    node->stopping = false;
    node->paused = false;
    RecordFault(node);
    ExcuseNode(static_cast<size_t>(node - nodes_.data()));
    const pid_t pid = fork();
    if (pid == 0) {
      const int log_fd = open(node->log_file.c_str(),
                              O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(log_fd, STDOUT_FILENO);
      dup2(log_fd, STDERR_FILENO);
      execl(options_.program.c_str(), options_.program.c_str(), "hosted",
            node->settings_file.c_str(), nullptr);
      _exit(127);
    }
    node->pid = pid;
  }

  size_t CountProcesses() const {
    size_t count = 0;
    for (const soak_node& node : nodes_)
      count += node.pid > 0 ? 1 : 0;
    return count;
  }

  // A node that gets a signal after the end of the load is not restarted.
  void SendSignal(soak_node* node, int signal_number) {
    node->restart_on_exit = node->restart_on_exit && sending_;
    if (node->pid > 0)
      kill(node->pid, signal_number);
  }

  // Restarts nodes whose process has ended, as the platform does.
  void SuperviseNodes() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      soak_node& node = nodes_[i];
      int status = 0;
      if (node.pid <= 0 || waitpid(node.pid, &status, WNOHANG) != node.pid)
        continue;
      node.pid = 0;
      const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
      if (!killed && (!WIFEXITED(status) || WEXITSTATUS(status) != 0))
        AddViolation("node " + std::to_string(i) +
                     " exited unexpectedly with wait status " +
                     std::to_string(status));
      if (!node.restart_on_exit)
        continue;
      loop_.RunAfter(milliseconds(200 + random_.Below(800)), [this, i] {
        if (nodes_[i].restart_on_exit && nodes_[i].pid == 0)
          StartProcess(&nodes_[i]);
      });
    }
    loop_.RunAfter(milliseconds(20), [this] { SuperviseNodes(); });
  }

  // Nothing that the node has passed on binds it any more.
  void ExcuseNode(size_t index) {
    for (soak_node& node : nodes_)
      node.status_check.OnNodeExcused(index);
  }

  void RecordFault(soak_node* node) {
    node->last_fault_at = loop_.Now();
    node->last_process_fault_at = loop_.Now();
  }
  void RecordStoreFault(soak_node* node) { node->last_fault_at = loop_.Now(); }

  // Injects one fault and, until `end`, schedules the next. Faults can overlap.
  void InjectNextFault(time_point end) {
    if (loop_.Now() >= end)
      return;
    ++result_.faults;
    const size_t index = random_.Below(nodes_.size());
    const auto length = std::chrono::duration_cast<duration>(
        (kMaxFaultLength - milliseconds(200)) * random_.Fraction() +
        milliseconds(200));
    InjectFault(static_cast<int>(random_.Below(16)), index, length);
    loop_.RunAfter(milliseconds(100 + random_.Below(900)),
                   [this, end] { InjectNextFault(end); });
  }

  // `kind` is below 16. A fault with two numbers is twice as likely.
  void InjectFault(int kind, size_t index, duration length) {
    soak_node& node = nodes_[index];
    switch (kind) {
      case 0:
      case 1:
        RecordFault(&node);
        SendSignal(&node, SIGKILL);
        return;
      case 2:
        PauseProcess(index, length);
        return;
      case 3:
      case 4:
        BeginPlannedStop(&node);
        return;
      case 5:
        SendSignal(&node, SIGHUP);
        return;
      case 6:
        InjectProxyFault(index, true, RandomProxyFault(), length);
        return;
      case 7:
        InjectProxyFault(index, false, RandomProxyFault(), length);
        return;
      case 8:
        RecordFault(&node);
        (random_.Below(2) == 0 ? node.store_proxy : node.worker_proxy)->Reset();
        return;
      case 9:
        HarmWorkerResponses(index, length);
        return;
      case 10:
        InjectStoreFault(length);
        return;
      case 11:
        NameLimit(&node, length);
        return;
      case 12:
        NameDeparture(&node, length);
        return;
      case 13:
        Deregister(index, length);
        return;
      case 14:
        node.worker->SendStrayReport();
        return;
      default:
        ToggleOldKey();
        return;
    }
  }

  // The limit lasts until after the time in which nodes may adjust to it.
  void NameLimit(soak_node* node, duration length) {
    const auto per_second = static_cast<double>(1 + random_.Below(3));
    node->worker->NameLimit(per_second);
    node->status_check.BeginLimit(per_second, loop_.Now());
    loop_.RunAfter(length + kFaultEffectTime, [node] {
      node->worker->NameLimit(std::nullopt);
      node->status_check.Clear();
    });
  }

  static void RestartWorker(soak_node* node) {
    node->worker->Restart();
    node->status_check.Clear();
    node->worker_left_at.reset();
  }

  // Half of the nodes are killed soon after they have confirmed the departure,
  // and cannot reach the store when they start again.
  void Deregister(size_t index, duration length) {
    soak_node& node = nodes_[index];
    const bool kill_node = random_.Below(2) == 0;
    const auto kill_delay = milliseconds(random_.Below(500));
    node.worker->Deregister([this, index, kill_node, kill_delay](bool stored) {
      if (!stored)
        return;
      nodes_[index].worker_left_at = loop_.Now();
      if (!kill_node)
        return;
      loop_.RunAfter(kill_delay, [this, index] {
        InjectProxyFault(index, true, RandomProxyFault(), 2 * kMaxFaultLength);
        RecordFault(&nodes_[index]);
        SendSignal(&nodes_[index], SIGKILL);
      });
    });
    loop_.RunAfter(length + kFaultEffectTime,
                   [this, index] { RestartWorker(&nodes_[index]); });
  }

  void NameDeparture(soak_node* node, duration length) {
    node->worker->NameDeparture();
    node->status_check.BeginDeparture();
    loop_.RunAfter(length + kFaultEffectTime, [node] { RestartWorker(node); });
  }

  proxy_fault RandomProxyFault() {
    return static_cast<proxy_fault>(1 + random_.Below(3));
  }

  void PauseProcess(size_t index, duration length) {
    if (nodes_[index].paused || nodes_[index].pid <= 0)
      return;
    nodes_[index].paused = true;
    RecordFault(&nodes_[index]);
    ExcuseNode(index);
    kill(nodes_[index].pid, SIGSTOP);
    const pid_t pid = nodes_[index].pid;
    loop_.RunAfter(length, [this, index, pid] {
      if (nodes_[index].pid != pid)
        return;
      nodes_[index].paused = false;
      RecordFault(&nodes_[index]);
      kill(pid, SIGCONT);
    });
  }

  void BeginPlannedStop(soak_node* node) {
    if (node->pid <= 0 || node->stopping)
      return;
    node->stopping = true;
    node->stop_began_at = loop_.Now();
    kill(node->pid, SIGTERM);
    const pid_t pid = node->pid;
    loop_.RunAfter(kStopGrace, [node, pid] {
      if (node->pid == pid)
        kill(pid, SIGKILL);
    });
  }

  void InjectProxyFault(size_t index,
                        bool to_store,
                        proxy_fault fault,
                        duration length) {
    const auto proxy = [this, index, to_store] {
      return (to_store ? nodes_[index].store_proxy : nodes_[index].worker_proxy)
          .get();
    };
    const auto record = [this, index, to_store] {
      to_store ? RecordStoreFault(&nodes_[index]) : RecordFault(&nodes_[index]);
    };
    record();
    proxy()->SetFault(fault);
    loop_.RunAfter(length, [record, proxy] {
      record();
      proxy()->SetFault(proxy_fault::kNone);
      // Connections that lost bytes cannot continue, so they are reset.
      proxy()->Reset();
    });
  }

  // Half of the faults, by their length, drop the responses and the others
  // spoil them.
  void HarmWorkerResponses(size_t index, duration length) {
    RecordFault(&nodes_[index]);
    if (length.count() % 2 == 0)
      nodes_[index].worker->DropResponses(true);
    else
      nodes_[index].worker->SpoilResponses(true);
    loop_.RunAfter(length, [this, index] {
      RecordFault(&nodes_[index]);
      nodes_[index].worker->DropResponses(false);
      nodes_[index].worker->SpoilResponses(false);
    });
  }

  void InjectStoreFault(duration length) {
    last_store_fault_at_ = loop_.Now();
    switch (random_.Below(4)) {
      case 0:
        store_.Compact(kOperatorTopic);
        return;
      case 1:
        store_.SetUnavailable(true);
        break;
      case 2:
        store_.SetUnavailable(true);
        loop_.RunAfter(length, [this] { RestoreStore(); });
        break;
      default:
        store_.DropAppendResponses(true);
        break;
    }
    loop_.RunAfter(length, [this] {
      last_store_fault_at_ = loop_.Now();
      store_.SetUnavailable(false);
      store_.DropAppendResponses(false);
    });
  }

  // The operator writes the lost configuration again, unless there is a newer
  // one by then.
  void RestoreStore() {
    store_.Restore();
    loop_.RunAfter(std::chrono::milliseconds(500), [this] {
      last_store_fault_at_ = loop_.Now();
      store_.AppendRecord(kOperatorTopic, "config", config_);
    });
  }

  void ToggleOldKey() {
    old_key_valid_ = !old_key_valid_;
    keys_changed_at_ = loop_.Now();
    if (old_key_valid_)
      PublishConfig({"k1", "k1-old"});
    else
      PublishConfig({"k1"});
  }

  void EndFaults() {
    store_.SetUnavailable(false);
    store_.DropAppendResponses(false);
    for (soak_node& node : nodes_) {
      node.store_proxy->SetFault(proxy_fault::kNone);
      node.worker_proxy->SetFault(proxy_fault::kNone);
      node.store_proxy->Reset();
      node.worker_proxy->Reset();
      node.worker->DropResponses(false);
      node.worker->SpoilResponses(false);
      RestartWorker(&node);
      if (node.paused && node.pid > 0)
        kill(node.pid, SIGCONT);
      node.paused = false;
      RecordFault(&node);
    }
  }

  void SendLoad() {
    if (!sending_)
      return;
    SendRequest();
    loop_.RunAfter(duration(seconds(1)) / options_.requests_per_second,
                   [this] { SendLoad(); });
  }

  void SendRequest() {
    const std::string id =
        std::to_string(options_.seed) + "-" + std::to_string(next_id_++);
    soak_request& sent = requests_[id];
    sent.node = random_.Below(nodes_.size());
    sent.repeatable = random_.Below(2) == 0;
    const bool first_customer = random_.Below(2) == 0;
    sent.customer = first_customer ? "t1" : "t2";
    sent.key = !first_customer ? "k2" : random_.Below(4) == 0 ? "k1-old" : "k1";
    sent.sent_at = loop_.Now();
    ++result_.sent;
    http_request request;
    request.method = sent.repeatable ? "GET" : "POST";
    request.path = sent.repeatable ? "/safe/x" : "/once/x";
    request.headers.Add("Host", kHost);
    request.headers.Add("X-Request-Id", id);
    request.headers.Add("X-Deadline-Ms",
                        std::to_string(ToMilliseconds(kRequestTimeout)));
    request.headers.Add("Authorization", "Bearer " + sent.key);
    if (!sent.repeatable)
      request.body = "order " + id;
    client_.Call(
        nodes_[sent.node].request_address, request, kRequestTimeout,
        [this, id](const target_result& result) { OnResult(id, result); });
  }

  void OnResult(const std::string& id, const target_result& result) {
    soak_request& ended = requests_.at(id);
    ended.ended_at = loop_.Now();
    ended.outcome = request_outcome::kUnknown;
    if (result.error != target_error::kNone) {
      // For example a response without the id of the request.
      if (result.error == target_error::kMalformed)
        AddViolation(id + ": the response belongs to no request");
      CheckPlannedStop(id, ended, result);
      return;
    }
    const http_response& response = result.response;
    target_status_check& check = nodes_[ended.worker_node].status_check;
    if (response.headers.Find("Server-Limit") != nullptr)
      check.OnLimitPassedOn(ended.node, loop_.Now());
    if (response.headers.Find("Server-Leaving") != nullptr)
      check.OnDeparturePassedOn(ended.node, loop_.Now());
    if (response.status == 200) {
      ended.outcome = request_outcome::kServed;
      const std::string* signature =
          response.headers.Find("X-Response-Signature");
      if (response.body != soak_worker::BodyFor(id) || signature == nullptr ||
          *signature != soak_worker::SignatureFor(id))
        AddViolation(id +
                     ": body or X-Response-Signature of the response "
                     "does not match the request");
    } else if (response.status == 429 || response.status == 503) {
      ended.outcome = request_outcome::kRefused;
      if (ended.runs > 0 && !ended.repeatable)
        AddViolation(id + ": refused as not run, but had run");
    }
  }

  void CheckPlannedStop(const std::string& id,
                        const soak_request& ended,
                        const target_result& result) {
    const soak_node& node = nodes_[ended.node];
    if (result.error != target_error::kConnectionLost || ended.runs == 0 ||
        !node.stopping || ended.sent_at < node.stop_began_at)
      return;
    for (const soak_node& fleet_node : nodes_) {
      if (loop_.Now() - fleet_node.last_fault_at < kFaultEffectTime)
        return;
    }
    AddViolation(
        id +
        ": ran, but a planned stop closed its connection without a response");
  }

  void OnRunAtWorker(size_t worker_node, const http_request& request) {
    const std::string id = *request.headers.Find("X-Request-Id");
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      AddViolation(id + ": ran, but was never sent");
      return;
    }
    soak_request& ran = found->second;
    ran.last_run_at = loop_.Now();
    ran.worker_node = worker_node;
    if (const auto violation = nodes_[worker_node].status_check.OnRun(
            ran.node, ran.sent_at, loop_.Now()))
      AddViolation(id + ": " + *violation);
    CheckDeparture(id, ran);
    if (++ran.runs > 1 && !ran.repeatable)
      AddViolation(id + ": ran more than once");
    if (ran.outcome == request_outcome::kRefused && !ran.repeatable)
      AddViolation(id + ": ran after it was refused as not run");
    if (request.headers.Find("Authorization") != nullptr)
      AddViolation(id + ": the worker received the Authorization field");
    const std::string* customer = request.headers.Find("X-Tenant");
    if (customer == nullptr || *customer != ran.customer)
      AddViolation(
          id +
          ": X-Tenant at the worker is missing or not the customer of the key");
    if (request.path != (ran.repeatable ? "/safe/x" : "/once/x") ||
        request.body != (ran.repeatable ? "" : "order " + id))
      AddViolation(id +
                   ": path or body at the worker differs from the request");
    CheckKey(id, ran);
  }

  void CheckDeparture(const std::string& id, const soak_request& ran) {
    const soak_node& node = nodes_[ran.worker_node];
    const time_point stable_since = loop_.Now() - kStabilityTime;
    if (!node.worker_left_at ||
        loop_.Now() <= *node.worker_left_at + kMaxDepartureTime ||
        node.last_process_fault_at > stable_since ||
        nodes_[ran.node].last_process_fault_at > stable_since)
      return;
    AddViolation(
        id + ": reached a worker " +
        std::to_string(ToMilliseconds(loop_.Now() - *node.worker_left_at)) +
        " ms after its node had confirmed that it leaves");
  }

  void CheckKey(const std::string& id, const soak_request& ran) {
    const time_point fault_free_since = loop_.Now() - kFaultEffectTime;
    if (ran.key != "k1-old" || old_key_valid_ ||
        ran.sent_at < keys_changed_at_ + kMaxKeyWithdrawalTime ||
        last_store_fault_at_ > fault_free_since ||
        nodes_[ran.node].last_fault_at > fault_free_since ||
        nodes_[ran.node].stopping)
      return;
    AddViolation(
        id + ": ran with a key that had been withdrawn " +
        std::to_string(ToMilliseconds(ran.sent_at - keys_changed_at_)) +
        " ms before the request was sent");
  }

  // Counts the outcomes and checks that requests sent since `recovered_at` were
  // served.
  void CheckOutcomes(time_point recovered_at) {
    int sent_after_recovery = 0;
    int served_after_recovery = 0;
    for (const auto& [id, request] : requests_) {
      result_.served += request.outcome == request_outcome::kServed ? 1 : 0;
      result_.refused += request.outcome == request_outcome::kRefused ? 1 : 0;
      result_.unknown += request.outcome == request_outcome::kUnknown ? 1 : 0;
      if (request.outcome == request_outcome::kPending)
        AddViolation(id + ": got neither a response nor an error");
      if (request.sent_at < recovered_at ||
          (request.key == "k1-old" && !old_key_valid_))
        continue;
      ++sent_after_recovery;
      served_after_recovery +=
          request.outcome == request_outcome::kServed ? 1 : 0;
    }
    if (served_after_recovery < kMinServedShare * sent_after_recovery)
      AddViolation("after recovery only " +
                   std::to_string(served_after_recovery) + " of " +
                   std::to_string(sent_after_recovery) +
                   " requests were served");
  }

  void AddViolation(const std::string& text) {
    result_.violations.push_back(
        std::to_string(ToMilliseconds(loop_.Now() - started_at_)) +
        " ms: " + text);
  }

  soak_options options_;
  event_loop loop_;
  mt_random random_;
  // First three parts of the IP addresses of this run.
  std::string address_prefix_;
  http_target_client client_;
  store_stand_in store_;
  std::string config_;
  std::vector<soak_node> nodes_;
  std::map<std::string, soak_request> requests_;
  uint64_t next_id_ = 1;
  uint64_t config_version_ = 0;
  bool sending_ = true;
  // Whether the last published configuration has the key "k1-old".
  bool old_key_valid_ = true;
  time_point keys_changed_at_;
  time_point last_store_fault_at_;
  time_point started_at_ = loop_.Now();
  soak_result result_;
};

}  // namespace

soak_result RunSoak(const soak_options& options) {
  return soak_run(options).Run();
}

}  // namespace skylarkhoist
