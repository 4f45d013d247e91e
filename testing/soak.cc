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
#include "wire/http_target_client.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "soak.example";
constexpr char kOperatorTopic[] = "keyed.op";
constexpr duration kPatience = seconds(3);
constexpr duration kStopGrace = seconds(6);
constexpr duration kStartTime = seconds(4);
// The last wait for answers, and the time to recover before it.
constexpr duration kRecovery = seconds(8);
constexpr duration kLastLoad = seconds(2);
constexpr double kRecoveredShare = 0.95;
// A node counts as left in peace when no fault touched it for this long.
constexpr duration kPeace = seconds(5);
// A withdrawn key works for this long at most, at a node in peace.
constexpr duration kWithdrawTime = seconds(2);
constexpr duration kLongestFault = seconds(3);

constexpr std::array<const char*, 3> kZones = {"a", "b", "c"};

enum class request_end { kOpen, kServed, kRefused, kOther };

struct soak_request {
  bool repeatable = false;
  std::string customer;
  std::string key;
  size_t node = 0;
  time_point sent;
  time_point ended;
  request_end end = request_end::kOpen;
  int runs = 0;
  // Of the last run.
  time_point ran;
};

class soak_run {
 public:
  explicit soak_run(const soak_options& options)
      : options_(options),
        random_(options.seed),
        network_("127." + std::to_string(10 + getpid() % 200) + "." +
                 std::to_string(options.seed % 250) + "."),
        client_(&loop_, ClientSettings(), nullptr),
        store_(&loop_, network_ + "250:7000") {}

  soak_result Run() {
    Publish({"k1", "k1-old"});
    for (int i = 0; i < options_.nodes; ++i)
      AddNode(static_cast<size_t>(i));
    Watch();
    RunFor(loop_, kStartTime);
    Load();
    const time_point end = loop_.Now() + options_.length;
    NextFault(end);
    RunFor(loop_, options_.length);
    EndFaults();
    RunFor(loop_, kRecovery);
    const time_point recovered = loop_.Now();
    RunFor(loop_, kLastLoad);
    sending_ = false;
    RunFor(loop_, kPatience + seconds(1));
    Judge(recovered);
    for (soak_node& each : nodes_)
      Signal(&each, SIGKILL);
    RunUntil(
        loop_, [this] { return Running() == 0; }, seconds(5));
    return std::move(result_);
  }

 private:
  struct soak_node {
    std::string settings_file;
    std::string log_file;
    std::string request_address;
    std::unique_ptr<fault_proxy> to_store;
    std::unique_ptr<fault_proxy> to_worker;
    std::unique_ptr<soak_worker> worker;
    pid_t process = 0;
    bool paused = false;
    // It is started again at its end.
    bool wanted = true;
    // Last moment at which a fault touched it.
    time_point harmed;
    // A planned stop, and since when.
    bool stopping = false;
    time_point stop_began;
  };

  static http_target_client_settings ClientSettings() {
    http_target_client_settings settings;
    settings.max_idle = seconds(20);
    settings.echo_field = "X-Request-Id";
    return settings;
  }

  static json Item(const char* type, const std::string& name, json spec) {
    return {{"resourceType", type},
            {"metadata", {{"name", name}}},
            {"spec", std::move(spec)}};
  }

  // A desired state in which the first customer has `keys`.
  void Publish(const std::vector<std::string>& keys) {
    const auto route = [](const std::string& prefix, const char* kind) {
      return Item("routes", kind,
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
    const json document = {{"version", "r" + std::to_string(++version_)},
                           {"resources",
                            {route("/safe/", "safe"), route("/once/", "unsafe"),
                             Item("services", "shop", {{"coldPerS", 50}}),
                             Item("tenants", "t1", {{"apiKeys", keys}}),
                             Item("tenants", "t2", {{"apiKeys", {"k2"}}})}}};
    store_.Write(kOperatorTopic, "config", document.dump());
  }

  void AddNode(size_t index) {
    nodes_.emplace_back();
    soak_node& added = nodes_.back();
    const std::string host = network_ + std::to_string(index + 1);
    const std::string zone = kZones[index % kZones.size()];
    added.request_address = host + ":7000";
    added.to_store =
        std::make_unique<fault_proxy>(&loop_, host + ":7010", store_.address());
    soak_worker_settings worker;
    worker.listen_address = host + ":7011";
    worker.node_address = host + ":7002";
    worker.service = "shop";
    worker.zone = zone;
    worker.id = "w" + std::to_string(index);
    added.worker = std::make_unique<soak_worker>(
        &loop_, worker, &random_,
        [this](const http_request& request) { OnRunAtWorker(request); });
    added.to_worker = std::make_unique<fault_proxy>(&loop_, host + ":7012",
                                                    added.worker->address());
    added.worker->SetPublicAddress(added.to_worker->address());
    json settings = {
        {"node", "n" + std::to_string(index)},
        {"zone", zone},
        {"zones", {{"a", "r"}, {"b", "r"}, {"c", "r"}}},
        {"listeners",
         {{"requests", added.request_address},
          {"ready", host + ":7001"},
          {"announcements", worker.node_address},
          {"peer", host + ":7003"},
          {"metrics", host + ":7004"}}},
        {"target",
         {{"service", "shop"}, {"address", added.to_worker->address()}}},
        {"store", {{"address", added.to_store->address()}}},
        {"announcement_interval_ms", 300},
        {"stop_grace_s", 6}};
    const std::string base = options_.directory + "/n" + std::to_string(index);
    added.settings_file = base + ".json";
    added.log_file = base + ".log";
    std::ofstream(added.settings_file) << settings.dump(2);
    added.worker->DenyRuns(options_.deny_runs && index % 2 == 0);
    added.worker->StartReports();
    Start(&added);
  }

  void Start(soak_node* started) {
    started->stopping = false;
    started->paused = false;
    started->harmed = loop_.Now();
    const pid_t process = fork();
    if (process == 0) {
      const int log = open(started->log_file.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      execl(options_.program.c_str(), options_.program.c_str(), "hosted",
            started->settings_file.c_str(), nullptr);
      _exit(127);
    }
    started->process = process;
  }

  size_t Running() const {
    size_t running = 0;
    for (const soak_node& each : nodes_)
      running += each.process > 0 ? 1 : 0;
    return running;
  }

  void Signal(soak_node* to, int number) {
    to->wanted = to->wanted && sending_;
    if (to->process > 0)
      kill(to->process, number);
  }

  // Restarts nodes that have ended, like the platform does.
  void Watch() {
    for (size_t i = 0; i < nodes_.size(); ++i) {
      soak_node& each = nodes_[i];
      int status = 0;
      if (each.process <= 0 ||
          waitpid(each.process, &status, WNOHANG) != each.process)
        continue;
      each.process = 0;
      const bool by_signal = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
      if (!by_signal && (!WIFEXITED(status) || WEXITSTATUS(status) != 0))
        Violation("node " + std::to_string(i) + " ended by itself, status " +
                  std::to_string(status));
      if (!each.wanted)
        continue;
      loop_.RunAfter(milliseconds(200 + random_.Below(800)), [this, i] {
        if (nodes_[i].wanted && nodes_[i].process == 0)
          Start(&nodes_[i]);
      });
    }
    loop_.RunAfter(milliseconds(20), [this] { Watch(); });
  }

  void Harm(soak_node* harmed) { harmed->harmed = loop_.Now(); }

  // Series of faults that overlap.
  void NextFault(time_point end) {
    if (loop_.Now() >= end)
      return;
    ++result_.faults;
    const size_t index = random_.Below(nodes_.size());
    const auto length = std::chrono::duration_cast<duration>(
        (kLongestFault - milliseconds(200)) * random_.Fraction() +
        milliseconds(200));
    Inflict(static_cast<int>(random_.Below(12)), index, length);
    loop_.RunAfter(milliseconds(100 + random_.Below(900)),
                   [this, end] { NextFault(end); });
  }

  void Inflict(int kind, size_t index, duration length) {
    soak_node& node = nodes_[index];
    switch (kind) {
      case 0:
      case 1:
        Harm(&node);
        Signal(&node, SIGKILL);
        return;
      case 2:
        Pause(index, length);
        return;
      case 3:
      case 4:
        PlanStop(&node);
        return;
      case 5:
        Signal(&node, SIGHUP);
        return;
      case 6:
        HarmProxy(index, true, RandomFault(), length);
        return;
      case 7:
        HarmProxy(index, false, RandomFault(), length);
        return;
      case 8:
        Harm(&node);
        (random_.Below(2) == 0 ? node.to_store : node.to_worker)->Reset();
        return;
      case 9:
        LoseAnswers(index, length);
        return;
      case 10:
        HarmStore(length);
        return;
      default:
        ChangeKeys();
        return;
    }
  }

  proxy_fault RandomFault() {
    return static_cast<proxy_fault>(1 + random_.Below(3));
  }

  void Pause(size_t index, duration length) {
    if (nodes_[index].paused || nodes_[index].process <= 0)
      return;
    nodes_[index].paused = true;
    Harm(&nodes_[index]);
    kill(nodes_[index].process, SIGSTOP);
    const pid_t process = nodes_[index].process;
    loop_.RunAfter(length, [this, index, process] {
      if (nodes_[index].process != process)
        return;
      nodes_[index].paused = false;
      Harm(&nodes_[index]);
      kill(process, SIGCONT);
    });
  }

  void PlanStop(soak_node* node) {
    if (node->process <= 0 || node->stopping)
      return;
    node->stopping = true;
    node->stop_began = loop_.Now();
    kill(node->process, SIGTERM);
    const pid_t process = node->process;
    loop_.RunAfter(kStopGrace, [node, process] {
      if (node->process == process)
        kill(process, SIGKILL);
    });
  }

  void HarmProxy(size_t index, bool store, proxy_fault fault, duration length) {
    const auto proxy = [this, index, store] {
      return (store ? nodes_[index].to_store : nodes_[index].to_worker).get();
    };
    Harm(&nodes_[index]);
    proxy()->SetFault(fault);
    loop_.RunAfter(length, [this, index, proxy] {
      Harm(&nodes_[index]);
      proxy()->SetFault(proxy_fault::kNone);
      // Connections whose bytes were lost end, as those of a network do.
      proxy()->Reset();
    });
  }

  void LoseAnswers(size_t index, duration length) {
    Harm(&nodes_[index]);
    nodes_[index].worker->LoseAnswers(true);
    loop_.RunAfter(length, [this, index] {
      Harm(&nodes_[index]);
      nodes_[index].worker->LoseAnswers(false);
    });
  }

  void HarmStore(duration length) {
    store_harmed_ = loop_.Now();
    switch (random_.Below(3)) {
      case 0:
        store_.Compact(kOperatorTopic);
        return;
      case 1:
        store_.SetDown(true);
        break;
      default:
        store_.LoseAnswers(true);
        break;
    }
    loop_.RunAfter(length, [this] {
      store_harmed_ = loop_.Now();
      store_.SetDown(false);
      store_.LoseAnswers(false);
    });
  }

  void ChangeKeys() {
    has_old_key_ = !has_old_key_;
    keys_changed_ = loop_.Now();
    if (has_old_key_)
      Publish({"k1", "k1-old"});
    else
      Publish({"k1"});
  }

  void EndFaults() {
    store_.SetDown(false);
    store_.LoseAnswers(false);
    for (soak_node& each : nodes_) {
      each.to_store->SetFault(proxy_fault::kNone);
      each.to_worker->SetFault(proxy_fault::kNone);
      each.to_store->Reset();
      each.to_worker->Reset();
      each.worker->LoseAnswers(false);
      if (each.paused && each.process > 0)
        kill(each.process, SIGCONT);
      each.paused = false;
      Harm(&each);
    }
  }

  void Load() {
    if (!sending_)
      return;
    Send();
    loop_.RunAfter(duration(seconds(1)) / options_.requests_per_second,
                   [this] { Load(); });
  }

  void Send() {
    const std::string id =
        std::to_string(options_.seed) + "-" + std::to_string(next_id_++);
    soak_request& sent = requests_[id];
    sent.node = random_.Below(nodes_.size());
    sent.repeatable = random_.Below(2) == 0;
    const bool first = random_.Below(2) == 0;
    sent.customer = first ? "t1" : "t2";
    sent.key = !first ? "k2" : random_.Below(4) == 0 ? "k1-old" : "k1";
    sent.sent = loop_.Now();
    ++result_.sent;
    http_request request;
    request.method = sent.repeatable ? "GET" : "POST";
    request.path = sent.repeatable ? "/safe/x" : "/once/x";
    request.headers.Add("Host", kHost);
    request.headers.Add("X-Request-Id", id);
    request.headers.Add("X-Deadline-Ms",
                        std::to_string(ToMilliseconds(kPatience)));
    request.headers.Add("Authorization", "Bearer " + sent.key);
    if (!sent.repeatable)
      request.body = "order " + id;
    client_.Call(
        nodes_[sent.node].request_address, request, kPatience,
        [this, id](const target_result& result) { OnEnd(id, result); });
  }

  void OnEnd(const std::string& id, const target_result& result) {
    soak_request& ended = requests_.at(id);
    ended.ended = loop_.Now();
    ended.end = request_end::kOther;
    if (result.error != target_error::kNone) {
      CheckPlannedStop(id, ended, result);
      return;
    }
    const http_response& response = result.response;
    if (response.status == 200) {
      ended.end = request_end::kServed;
      const std::string* signature =
          response.headers.Find("X-Response-Signature");
      if (response.body != soak_worker::BodyFor(id) || signature == nullptr ||
          *signature != soak_worker::SignatureFor(id))
        Violation(id + ": the answer is not the whole answer to this request");
    } else if (response.status == 429 || response.status == 503) {
      ended.end = request_end::kRefused;
      if (ended.runs > 0 && !ended.repeatable)
        Violation(id + ": refused as not run, and had run");
    }
  }

  void CheckPlannedStop(const std::string& id,
                        const soak_request& ended,
                        const target_result& result) {
    const soak_node& node = nodes_[ended.node];
    if (result.error != target_error::kConnectionLost || ended.runs == 0 ||
        !node.stopping || ended.sent < node.stop_began)
      return;
    for (const soak_node& each : nodes_) {
      if (loop_.Now() - each.harmed < kPeace)
        return;
    }
    Violation(id + ": ran, and a planned stop cut it");
  }

  void OnRunAtWorker(const http_request& request) {
    const std::string id = *request.headers.Find("X-Request-Id");
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
      Violation(id + ": ran, and nobody sent it");
      return;
    }
    soak_request& ran = found->second;
    ran.ran = loop_.Now();
    if (++ran.runs > 1 && !ran.repeatable)
      Violation(id + ": ran more than once");
    if (ran.end == request_end::kRefused && !ran.repeatable)
      Violation(id + ": ran after it was refused as not run");
    if (request.headers.Find("Authorization") != nullptr)
      Violation(id + ": the worker saw the key");
    const std::string* customer = request.headers.Find("X-Tenant");
    if (customer == nullptr || *customer != ran.customer)
      Violation(id + ": ran for another customer");
    if (request.path != (ran.repeatable ? "/safe/x" : "/once/x") ||
        request.body != (ran.repeatable ? "" : "order " + id))
      Violation(id + ": ran with another path or body");
    CheckKey(id, ran);
  }

  void CheckKey(const std::string& id, const soak_request& ran) {
    const time_point calm = loop_.Now() - kPeace;
    if (ran.key != "k1-old" || has_old_key_ ||
        ran.sent < keys_changed_ + kWithdrawTime || store_harmed_ > calm ||
        nodes_[ran.node].harmed > calm || nodes_[ran.node].stopping)
      return;
    Violation(id + ": ran with a key that was withdrawn " +
              std::to_string(ToMilliseconds(ran.sent - keys_changed_)) +
              " ms before it was sent");
  }

  void Judge(time_point recovered) {
    int late = 0;
    int late_served = 0;
    for (const auto& [id, each] : requests_) {
      result_.served += each.end == request_end::kServed ? 1 : 0;
      result_.refused += each.end == request_end::kRefused ? 1 : 0;
      result_.unknown += each.end == request_end::kOther ? 1 : 0;
      if (each.end == request_end::kOpen)
        Violation(id + ": has no end");
      if (each.sent < recovered || (each.key == "k1-old" && !has_old_key_))
        continue;
      ++late;
      late_served += each.end == request_end::kServed ? 1 : 0;
    }
    if (late_served < kRecoveredShare * late)
      Violation("after the faults " + std::to_string(late_served) + " of " +
                std::to_string(late) + " requests were served");
  }

  void Violation(const std::string& text) {
    result_.violations.push_back(
        std::to_string(ToMilliseconds(loop_.Now() - began_)) + " ms: " + text);
  }

  soak_options options_;
  event_loop loop_;
  mt_random random_;
  // First three parts of the addresses of this run.
  std::string network_;
  http_target_client client_;
  store_stand_in store_;
  std::vector<soak_node> nodes_;
  std::map<std::string, soak_request> requests_;
  uint64_t next_id_ = 1;
  uint64_t version_ = 0;
  bool sending_ = true;
  bool has_old_key_ = true;
  time_point keys_changed_;
  time_point store_harmed_;
  time_point began_ = loop_.Now();
  soak_result result_;
};

}  // namespace

soak_result RunSoak(const soak_options& options) {
  return soak_run(options).Run();
}

}  // namespace skylarkhoist
