#include "case_fleet_test.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include "wire/address.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wall_clock = std::chrono::steady_clock;

constexpr char kHost[] = "desk.example";
constexpr char kKey[] = "6wsjnbanfqasnmgkcuyj";
constexpr char kTenant[] = "pulo780";
constexpr duration kReportInterval = milliseconds(1500);
constexpr duration kRestartDelay = milliseconds(500);
// The memory of the processes is looked at this often.
constexpr duration kMemoryCheckInterval = milliseconds(2);
constexpr int kStatusMisdirected = 421;

int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Resident memory of a process in KB, or 0 if it has ended.
int64_t ResidentKb(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.compare(0, 6, "VmRSS:") == 0)
      return std::strtoll(line.c_str() + 6, nullptr, 10);
  }
  return 0;
}

http_server_settings WorkerServerSettings(const std::string& address) {
  http_server_settings settings;
  settings.listen_address = address;
  settings.name = "worker";
  settings.max_body_bytes = size_t{64} << 20U;
  return settings;
}

json Resource(const char* type, const std::string& name, json spec) {
  return {{"resourceType", type},
          {"metadata", {{"name", name}}},
          {"spec", std::move(spec)}};
}

}  // namespace

case_record::case_record(const std::string& path)
    : file_(std::fopen(path.c_str(), "w")), started_at_(wall_clock::now()) {
  if (file_ == nullptr)
    std::exit(2);
}

case_record::~case_record() {
  std::fclose(file_);
}

void case_record::Write(const std::string& line) {
  const double time =
      std::chrono::duration<double>(wall_clock::now() - started_at_).count();
  const std::lock_guard<std::mutex> lock(mutex_);
  std::fprintf(file_, "%8.3f %s\n", time, line.c_str());
  std::fflush(file_);
}

client_connection::client_connection(const std::string& address,
                                     int receive_buffer) {
  const auto target = ParseAddress(address);
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0)
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  const int enabled = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  if (connect(fd_, target->get(), target->length) != 0)
    Close();
}

void client_connection::Close() {
  if (fd_ >= 0)
    close(std::exchange(fd_, -1));
}

bool client_connection::Send(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    bytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

received_response client_connection::Read(duration timeout,
                                          size_t bytes_per_second) {
  received_response response;
  const auto begin = wall_clock::now();
  const auto end = begin + timeout;
  size_t head_size = std::string::npos;
  size_t body_size = 0;
  size_t total = input_.size();
  while (true) {
    response.begun = response.begun || !input_.empty();
    if (head_size == std::string::npos) {
      const size_t head_end = input_.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        head_size = head_end + 4;
        response.status = std::atoi(input_.c_str() + 9);
        size_t line = input_.find("\r\n") + 2;
        while (line < head_end + 2) {
          const size_t line_end = input_.find("\r\n", line);
          const size_t colon = input_.find(": ", line);
          if (colon < line_end)
            response.fields[input_.substr(line, colon - line)] =
                input_.substr(colon + 2, line_end - colon - 2);
          line = line_end + 2;
        }
        const auto length = response.fields.find("Content-Length");
        if (length != response.fields.end())
          body_size = std::strtoull(length->second.c_str(), nullptr, 10);
      }
    }
    if (head_size != std::string::npos &&
        input_.size() >= head_size + body_size) {
      response.body = input_.substr(head_size, body_size);
      input_.erase(0, head_size + body_size);
      response.complete = true;
      return response;
    }
    const auto now = wall_clock::now();
    if (now >= end || fd_ < 0)
      break;
    if (bytes_per_second > 0) {
      const double elapsed = std::chrono::duration<double>(now - begin).count();
      if (static_cast<double>(total) >
          elapsed * static_cast<double>(bytes_per_second)) {
        std::this_thread::sleep_for(milliseconds(5));
        continue;
      }
    }
    pollfd waited = {fd_, POLLIN, 0};
    const auto left =
        std::chrono::duration_cast<milliseconds>(end - now).count() + 1;
    if (poll(&waited, 1, static_cast<int>(std::min<int64_t>(left, 50))) <= 0)
      continue;
    char bytes[16384];
    const ssize_t count = recv(fd_, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      response.closed = true;
      break;
    }
    total += static_cast<size_t>(count);
    input_.append(bytes, static_cast<size_t>(count));
  }
  if (head_size != std::string::npos)
    response.body = input_.substr(head_size);
  return response;
}

std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const std::string& id,
                        int deadline_ms,
                        size_t body_bytes) {
  std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + kHost +
                        "\r\nX-Request-Id: " + id +
                        "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
                        "\r\nAuthorization: Bearer " + kKey + "\r\n";
  if (method == "POST")
    request += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
  request += "\r\n";
  request.append(body_bytes, 'b');
  return request;
}

std::string BodyOf(const std::string& id, size_t size) {
  std::string body = "answer to " + id + " ";
  if (body.size() < size)
    body.append(size - body.size(), '.');
  return body;
}

std::string SignatureOf(const std::string& id) {
  return "signed-" + id;
}

http_response AnswerTo(const std::string& id, size_t body_size) {
  http_response response;
  response.status = 200;
  response.headers.Add("X-Request-Id", id);
  response.headers.Add("X-Response-Signature", SignatureOf(id));
  response.body = BodyOf(id, body_size);
  return response;
}

case_worker::case_worker(event_loop* loop,
                         const case_node& node,
                         std::string service,
                         std::string id,
                         run_handler handler,
                         bool serves,
                         int slots)
    : loop_(loop),
      slots_(slots),
      service_(std::move(service)),
      id_(std::move(id)),
      zone_(node.zone),
      address_(node.worker_address()),
      control_address_(node.control_address()),
      handler_(std::move(handler)),
      born_(UnixMs()),
      client_(loop, {}, nullptr) {
  if (serves) {
    server_ = std::make_unique<http_server>(
        loop, WorkerServerSettings(address_),
        [this](const http_request& request,
               const std::shared_ptr<http_exchange>& exchange) {
          Handle(request, exchange);
        },
        &counters_);
    if (!server_->Listen())
      std::exit(2);
  }
  Report();
}

case_worker::~case_worker() {
  loop_->Cancel(report_timer_);
}

int64_t case_worker::ColdMs() const {
  return std::max<int64_t>(
      0, std::chrono::duration_cast<milliseconds>(cold_until_ - loop_->Now())
             .count());
}

void case_worker::Report() {
  http_request report;
  report.method = "POST";
  report.path = "/rpc?call=instances.heartbeat&of=" + id_;
  report.headers.Add("Content-Type", "application/json");
  report.body = json{
      {"service", service_},
      {"address", address_},
      {"zone", zone_},
      {"version", "v1"},
      {"slots", slots_},
      {"state", "ready"},
      {"coldRemainingMs", ColdMs()},
      {"seq", ++sequence_},
      {"born",
       born_}}.dump();
  client_.Call(control_address_, report, seconds(1), [](const auto&) {});
  report_timer_ = loop_->RunAfter(kReportInterval, [this] { Report(); });
}

void case_worker::Handle(const http_request& request,
                         const std::shared_ptr<http_exchange>& exchange) {
  if (request.method == "GET" && request.path == "/health") {
    http_response healthy;
    healthy.status = 200;
    healthy.headers.Add("X-Instance-Id", id_);
    healthy.headers.Add("X-Cold-Remaining-Ms", std::to_string(ColdMs()));
    exchange->Respond(healthy);
    return;
  }
  const std::string* id = request.headers.Find("X-Request-Id");
  const std::string* instance = request.headers.Find("X-Target-Instance");
  if (id == nullptr || (instance != nullptr && *instance != id_)) {
    http_response refused;
    refused.status = id == nullptr ? 400 : kStatusMisdirected;
    if (id == nullptr)
      refused.headers.Add("X-Not-Executed", "1");
    else
      refused.headers.Add("X-Request-Id", *id);
    refused.headers.Add("X-Instance-Id", id_);
    exchange->Respond(refused);
    return;
  }
  handler_(*id, request, exchange);
}

case_fleet::case_fleet(const fleet_options& options)
    : options_(options),
      prefix_("127." + std::to_string(20 + getpid() % 200) + "." +
              std::to_string(getpid() / 200 % 250) + "."),
      record_(options.record_file),
      client_(&loop_, {}, nullptr) {
  directory_ =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  if (mkdtemp(directory_.data()) == nullptr)
    std::exit(2);
  store_ = std::make_unique<store_stand_in>(&loop_, prefix_ + "250:7000");
  const char* zones[] = {"cairo-a", "alex-a", "cairo-b"};
  for (int i = 0; i < options_.nodes; ++i) {
    case_node node;
    node.name = "n" + std::to_string(i);
    node.zone = zones[i % 3];
    node.host = prefix_ + std::to_string(i + 1);
    node.settings_file = directory_ + "/" + node.name + ".json";
    node.log_file = directory_ + "/" + node.name + ".log";
    node.memory_mb = options_.memory_mb;
    nodes_.push_back(std::move(node));
  }
}

case_fleet::~case_fleet() {
  for (case_node& node : nodes_) {
    if (node.pid <= 0)
      continue;
    kill(node.pid, SIGKILL);
    waitpid(node.pid, nullptr, 0);
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(directory_, ignored);
}

void case_fleet::PublishConfig(const std::vector<route_options>& routes) {
  json resources = json::array();
  std::map<std::string, bool> services;
  for (const route_options& route : routes) {
    services[route.service] = true;
    resources.push_back(Resource("routes", "r" + route.prefix.substr(1, 4),
                                 {{"host", kHost},
                                  {"pathPrefix", route.prefix},
                                  {"kind", route.kind},
                                  {"timeoutMs", route.timeout_ms},
                                  {"targetLatencyMs", 1500},
                                  {"priority", route.priority},
                                  {"service", route.service},
                                  {"maxAttempts", 2},
                                  {"public", false}}));
  }
  for (const auto& [service, known] : services)
    resources.push_back(Resource("services", service,
                                 {{"healthPath", "/health"},
                                  {"maxConnections", 754},
                                  {"protocol", "h1"},
                                  {"tls", false},
                                  {"coldStartS", 3.0},
                                  {"coldPerS", 21.0}}));
  resources.push_back(
      Resource("tenants", kTenant, {{"apiKeys", json::array({kKey})}}));
  resources.push_back({{"resourceType", "limits"},
                       {"metadata", json::object()},
                       {"spec",
                        {{"maxHeaderBytes", 16384},
                         {"maxBodyBytes", 67108864},
                         {"headerTimeoutMs", 3000},
                         {"idleTimeoutMs", 15000}}}});
  const json document = {{"version", "r" + std::to_string(version_++)},
                         {"resources", resources}};
  store_->AppendRecord("keyed.op", "config", document.dump());
}

void case_fleet::SetEvacuated(const std::string& zone, bool evacuated) {
  record_.Write(zone + (evacuated ? " is evacuated" : " is taken back"));
  store_->AppendRecord(
      "keyed.op", "evacuate/" + zone,
      evacuated ? std::optional<std::string>("{}") : std::nullopt);
}

void case_fleet::StartNodes() {
  json zones = json::object();
  for (const case_node& node : nodes_)
    zones[node.zone] = "cairo";
  for (case_node& node : nodes_) {
    const json settings = {
        {"node", node.name},
        {"zone", node.zone},
        {"zones", zones},
        {"listeners",
         {{"requests", node.request_address()},
          {"ready", node.host + ":7001"},
          {"announcements", node.control_address()},
          {"peer", node.host + ":7003"},
          {"metrics", node.host + ":7004"}}},
        {"target",
         {{"service", "bookings"}, {"address", node.worker_address()}}},
        {"store", {{"address", store_->address()}}},
        {"retry_ratio", 0.2},
        {"limits", {{"memory_mb", node.memory_mb}, {"max_descriptors", 4100}}},
        {"announcement_interval_ms", 1500},
        {"stop_grace_s", 6}};
    std::ofstream(node.settings_file) << settings.dump(2);
    StartProcess(&node);
  }
  Supervise();
  CheckReady();
}

void case_fleet::StartProcess(case_node* node) {
  const pid_t parent = getpid();
  const pid_t pid = fork();
  if (pid == 0) {
    // The process must not outlive this one.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(127);
    const int log_fd =
        open(node->log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log_fd, STDOUT_FILENO);
    dup2(log_fd, STDERR_FILENO);
    execl(options_.program.c_str(), options_.program.c_str(), "hosted",
          node->settings_file.c_str(), nullptr);
    _exit(127);
  }
  node->pid = pid;
  record_.Write("platform starts " + node->name);
}

void case_fleet::Supervise() {
  for (size_t i = 0; i < nodes_.size(); ++i) {
    case_node& node = nodes_[i];
    if (node.pid <= 0)
      continue;
    const int64_t resident = ResidentKb(node.pid);
    node.largest_kb = std::max(node.largest_kb, resident);
    if (resident > int64_t{node.memory_mb} << 10U) {
      ++node.memory_kills;
      record_.Write("platform ends " + node.name + ": it uses " +
                    std::to_string(resident >> 10U) + " MB of " +
                    std::to_string(node.memory_mb) + " MB");
      kill(node.pid, SIGKILL);
    }
    int status = 0;
    if (waitpid(node.pid, &status, WNOHANG) != node.pid)
      continue;
    node.pid = 0;
    ++node.exits;
    record_.Write(node.name + " has ended, wait status " +
                  std::to_string(status));
    ready_[node.name] = false;
    if (node.restarts)
      loop_.RunAfter(kRestartDelay, [this, i] { StartProcess(&nodes_[i]); });
  }
  loop_.RunAfter(kMemoryCheckInterval, [this] { Supervise(); });
}

void case_fleet::CheckReady() {
  for (const case_node& node : nodes_) {
    http_request question;
    question.method = "GET";
    question.path = "/ready";
    client_.Call(
        node.host + ":7001", question, milliseconds(500),
        [this, name = node.name](const target_result& result) {
          const bool ready = result.error == target_error::kNone &&
                             result.response.status == 200;
          if (std::exchange(ready_[name], ready) != ready)
            record_.Write(name + (ready ? " is" : " is not") + " ready");
        });
  }
  loop_.RunAfter(seconds(1), [this] { CheckReady(); });
}

bool case_fleet::WaitUntilReady(duration timeout) {
  const auto end = wall_clock::now() + timeout;
  while (wall_clock::now() < end) {
    const bool all =
        std::all_of(nodes_.begin(), nodes_.end(),
                    [this](const auto& node) { return ready_[node.name]; });
    if (all)
      return true;
    RunFor(milliseconds(20));
  }
  return false;
}

void case_fleet::Signal(case_node* node, int signal_number) {
  record_.Write("signal " + std::to_string(signal_number) + " to " +
                node->name);
  if (node->pid > 0)
    kill(node->pid, signal_number);
}

void case_fleet::RunFor(duration time) {
  loop_.RunAfter(time, [this] { loop_.Stop(); });
  loop_.Run();
}

bool case_fleet::RunUntilDone(const std::atomic<bool>& done, duration timeout) {
  const auto end = wall_clock::now() + timeout;
  while (!done) {
    if (wall_clock::now() >= end)
      return false;
    RunFor(milliseconds(5));
  }
  return true;
}

}  // namespace skylarkhoist
