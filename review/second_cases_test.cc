// Cases of the second review, which start nodes as processes on loopback
// addresses beside small stand-ins for the platform, its store, workers and
// clients. review/build-2.sh builds this program; review/N/run.sh runs a case.
//
//   second_cases CASE PROGRAM RECORD_FILE
//
// Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
// run. With TROUBLE=0 in the environment, the disruption is left out.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

// Ports are the same on all machines of a run; each machine has an address.
constexpr int kOutboundPort = 7548;
constexpr int kWorkerPort = 7547;
constexpr int kReadyPort = 7546;
constexpr int kControlPort = 7540;
constexpr int kFirstPeerPort = 7000;
constexpr int kLastPeerPort = 7015;
constexpr int kStorePort = 8545;

constexpr milliseconds kHeartbeat(1500);
constexpr milliseconds kGrace(6000);
constexpr int kDefaultMemoryMb = 260;
constexpr char kKey[] = "6wsjnbanfqasnmgkcuyj";

// Threads of connections still run when the process ends.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

const steady::time_point kStart = steady::now();

double Seconds() {
  return std::chrono::duration<double>(steady::now() - kStart).count();
}

void Sleep(milliseconds time) {
  std::this_thread::sleep_for(time);
}

// The record of a run: one line for each thing that was sent, answered or run.
class record {
 public:
  explicit record(const std::string& file) : stream_(file) {}
  void Add(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", Seconds());
    stream_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream stream_;
};

record* g_record = nullptr;

void Note(const std::string& text) {
  g_record->Add(text);
}

sockaddr_in SocketAddress(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

using fields = std::map<std::string, std::string>;

struct message {
  // The request line or the status line.
  std::string first_line;
  fields headers;
  std::string body;
  // Whether all of the body was received.
  bool complete = false;
  int status = 0;

  std::string Get(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
  std::string path() const {
    const size_t begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
};

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

// A blocking TCP connection with HTTP/1.1 messages that have a length.
class stream {
 public:
  explicit stream(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~stream() { close(fd_); }
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;

  static std::unique_ptr<stream> Connect(const std::string& host,
                                         int port,
                                         int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0)
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    const sockaddr_in address = SocketAddress(host, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<stream>(fd);
  }

  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t written =
          send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (written <= 0)
        return false;
      bytes.remove_prefix(static_cast<size_t>(written));
    }
    return true;
  }

  // Reads at most `size` bytes; returns 0 at the end of the connection.
  size_t Read(size_t size, milliseconds timeout) {
    pollfd wait{fd_, POLLIN, 0};
    if (poll(&wait, 1, static_cast<int>(timeout.count())) <= 0)
      return 0;
    std::string part(size, '\0');
    const ssize_t count = recv(fd_, part.data(), size, 0);
    if (count <= 0)
      return 0;
    buffer_.append(part, 0, static_cast<size_t>(count));
    return static_cast<size_t>(count);
  }

  std::optional<message> ReadHead(milliseconds timeout) {
    size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (Read(size_t{64} << 10U, timeout) == 0)
        return std::nullopt;
    }
    message result;
    std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    size_t position = head.find("\r\n");
    result.first_line = head.substr(0, position);
    for (position += 2; position < head.size();) {
      const size_t line_end = head.find("\r\n", position);
      const std::string line = head.substr(position, line_end - position);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        const size_t value = line.find_first_not_of(' ', colon + 1);
        result.headers[LowerCase(line.substr(0, colon))] =
            value == std::string::npos ? "" : line.substr(value);
      }
      position = line_end + 2;
    }
    if (result.first_line.compare(0, 5, "HTTP/") == 0)
      result.status = std::atoi(result.first_line.c_str() + 9);
    return result;
  }

  std::optional<message> ReadMessage(milliseconds timeout) {
    auto result = ReadHead(timeout);
    if (!result)
      return std::nullopt;
    const auto size = static_cast<size_t>(
        std::strtoull(result->Get("content-length").c_str(), nullptr, 10));
    while (buffer_.size() < size) {
      if (Read(size_t{256} << 10U, timeout) == 0)
        break;
    }
    result->complete = buffer_.size() >= size;
    const size_t taken = std::min(size, buffer_.size());
    result->body = buffer_.substr(0, taken);
    buffer_.erase(0, taken);
    return result;
  }

  // Reads and drops the body of a message whose head was read, at most
  // `bytes_per_second` of it, or at once if that is 0. Returns how much of it
  // was received before the connection ended.
  size_t DropBody(size_t size, double bytes_per_second) {
    const auto began_at = steady::now();
    size_t received = std::min(size, buffer_.size());
    buffer_.erase(0, received);
    while (received < size) {
      const size_t count = Read(std::min(size_t{32} << 10U, size - received),
                                milliseconds(2000));
      if (count == 0)
        break;
      buffer_.clear();
      received += count;
      if (bytes_per_second <= 0)
        continue;
      const std::chrono::duration<double> ahead =
          std::chrono::duration<double>(static_cast<double>(received) /
                                        bytes_per_second) -
          (steady::now() - began_at);
      if (ahead.count() > 0)
        std::this_thread::sleep_for(ahead);
    }
    return received;
  }

 private:
  int fd_;
  std::string buffer_;
};

bool Respond(stream* to,
             int status,
             const fields& headers,
             const std::string& body) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers)
    head.append(name).append(": ").append(value).append("\r\n");
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return to->Write(head) && to->Write(body);
}

std::string MakeRequest(const std::string& method,
                        const std::string& path,
                        const fields& headers,
                        const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text.append(name).append(": ").append(value).append("\r\n");
  if (method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

// Accepts connections and serves each on a thread of its own.
void Listen(const std::string& host,
            int port,
            std::function<void(stream*)> serve,
            int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (receive_buffer > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  const sockaddr_in address = SocketAddress(host, port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 1024) != 0) {
    std::perror((host + ":" + std::to_string(port)).c_str());
    std::_Exit(kCannotRun);
  }
  std::thread([fd, serve = std::move(serve)] {
    for (;;) {
      const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        continue;
      std::thread([accepted, serve] {
        stream connection(accepted);
        serve(&connection);
      }).detach();
    }
  }).detach();
}

std::string BigEndian(uint64_t value, int bytes) {
  std::string text;
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    text += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
  return text;
}

std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j)
      group = group << 8U |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    for (size_t j = 0; j < 4; ++j)
      text += i + j > bytes.size() ? '=' : kDigits[group >> (18 - 6 * j) & 63U];
  }
  return text;
}

std::string Escaped(const std::string& text) {
  std::string result;
  for (const char c : text) {
    if (c == '"' || c == '\\')
      result += '\\';
    result += c;
  }
  return result;
}

// The platform's store: keyed topics with one partition.
class store {
 public:
  // Serves one machine at an address, or turns it away while `refuses`.
  void Serve(const std::string& host, const std::atomic<bool>* refuses) {
    Listen(host, kStorePort, [this, refuses](stream* connection) {
      while (const auto request =
                 connection->ReadMessage(std::chrono::minutes(10))) {
        if (!request->complete ||
            !(*refuses ? Respond(connection, 503, {{"Store-Era", "1"}}, "{}")
                       : Handle(*request, connection)))
          return;
      }
    });
  }

  void Append(const std::string& topic,
              const std::string& key,
              const std::string& value) {
    const std::lock_guard<std::mutex> lock(mutex_);
    topics_[topic].emplace_back(key, value);
    changed_.notify_all();
  }

 private:
  // Key and value; a record without a value deletes its key.
  using log = std::vector<std::pair<std::string, std::string>>;

  static std::string Parameter(const std::string& path,
                               const std::string& name) {
    const size_t query = path.find('?');
    size_t begin = path.find("&" + name + "=", query);
    if (begin == std::string::npos)
      begin = path.find("?" + name + "=", query);
    if (begin == std::string::npos)
      return "";
    begin += name.size() + 2;
    return path.substr(begin, path.find('&', begin) - begin);
  }

  bool Handle(const message& request, stream* connection) {
    const std::string path = request.path();
    const std::string call = path.substr(0, path.find('?'));
    const std::string topic = Parameter(path, "topic");
    const fields headers = {{"Store-Era", "1"},
                            {"Content-Type", "application/json"}};
    std::unique_lock<std::mutex> lock(mutex_);
    if (call == "/log-append") {
      log& records = topics_[topic];
      const size_t offset = records.size();
      const std::string& body = request.body;
      for (size_t at = 0; at + 5 <= body.size();) {
        size_t size = 0;
        for (size_t i = 0; i < 4; ++i)
          size = size << 8U | static_cast<unsigned char>(body[at + i]);
        const size_t key_size = static_cast<unsigned char>(body[at + 4]);
        records.emplace_back(
            body.substr(at + 5, key_size),
            body.substr(at + 5 + key_size, size - 1 - key_size));
        at += 4 + size;
      }
      changed_.notify_all();
      const std::string answer = "{\"offset\":" + std::to_string(offset) +
                                 ",\"end\":" + std::to_string(records.size()) +
                                 "}";
      lock.unlock();
      return Respond(connection, 200, headers, answer);
    }
    const auto found = topics_.find(topic);
    if (found == topics_.end()) {
      lock.unlock();
      return Respond(connection, 404, headers, "{}");
    }
    const log& records = found->second;
    if (call == "/log-newest") {
      std::map<std::string, size_t> newest;
      for (size_t i = 0; i < records.size(); ++i)
        newest[records[i].first] = i;
      std::string items;
      for (const auto& [key, offset] : newest) {
        if (records[offset].second.empty())
          continue;
        items += items.empty() ? "" : ",";
        items += "{\"key\":\"" + Escaped(key) + "\",\"value\":\"" +
                 Base64(records[offset].second) +
                 "\",\"offset\":" + std::to_string(offset) + "}";
      }
      const std::string answer =
          "{\"items\":[" + items +
          "],\"hasMore\":false,\"end\":" + std::to_string(records.size()) + "}";
      lock.unlock();
      return Respond(connection, 200, headers, answer);
    }
    const size_t from =
        std::strtoull(Parameter(path, "from").c_str(), nullptr, 10);
    const milliseconds wait(
        std::strtoull(Parameter(path, "waitMs").c_str(), nullptr, 10));
    changed_.wait_for(lock, wait, [&] { return records.size() > from; });
    std::string answer = BigEndian(records.size(), 8) + BigEndian(0, 8);
    for (size_t i = from; i < records.size(); ++i) {
      const auto& [key, value] = records[i];
      answer += BigEndian(1 + key.size() + value.size(), 4);
      answer += static_cast<char>(key.size());
      answer += key + value;
    }
    lock.unlock();
    return Respond(connection, 200, headers, answer);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, log> topics_;
};

// A machine: its node, which is a process, and its worker, which is a stand-in.
struct machine {
  std::string name;
  std::string host;
  std::string zone;
  std::string service;
  std::string worker_id;
  std::string settings_file;
  std::string log_file;
  int64_t born = 0;
  std::atomic<int> sequence{0};
  // Whether the worker's status reports arrive.
  std::atomic<bool> reports{true};
  std::string store_host;
  std::atomic<bool> store_refuses{false};
  std::atomic<pid_t> pid{0};
  // Ends of the process that no signal of this program asked for.
  std::atomic<int> own_ends{0};
  // Kills by the platform, because the process had more memory than it may.
  std::atomic<int> memory_kills{0};
  std::atomic<bool> keep_running{true};
  std::atomic<long> peak_kb{0};
};

struct answer {
  // 0 if the connection ended without a complete answer.
  int status = 0;
  size_t received = 0;
  size_t expected = 0;
  double took = 0;
};

class deployment {
 public:
  // Size of a worker's answer to a download; other answers are short.
  explicit deployment(size_t answer_bytes)
      : answer_(answer_bytes, 'a'),
        prefix_("127." + std::to_string(20 + getpid() % 200) + "." +
                std::to_string(getpid() / 200 % 250) + ".") {
    char folder[] = "/tmp/second_review_XXXXXX";
    if (mkdtemp(folder) == nullptr)
      std::_Exit(kCannotRun);
    folder_ = folder;
  }

  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Ends all processes that were started.
  void Stop() {
    for (const auto& each : machines_) {
      each->keep_running = false;
      if (each->pid > 0)
        kill(each->pid, SIGKILL);
    }
    for (int i = 0; i < 100 && RunningProcesses() > 0; ++i)
      Sleep(milliseconds(20));
    for (const auto& each : machines_) {
      unlink(each->settings_file.c_str());
      unlink(each->log_file.c_str());
    }
    rmdir(folder_.c_str());
  }

  void AddMachine(const std::string& zone, const std::string& service) {
    auto added = std::make_unique<machine>();
    const size_t number = machines_.size() + 1;
    added->name = "sidecar-" + zone + "-" + std::to_string(number);
    added->host = prefix_ + std::to_string(number);
    added->store_host = prefix_ + std::to_string(100 + number);
    added->zone = zone;
    added->service = service;
    added->worker_id = "i-7f3a91c" + std::to_string(number);
    added->settings_file = folder_ + "/" + added->name + ".json";
    added->log_file = folder_ + "/" + added->name + ".log";
    added->born = duration_cast<milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
    machines_.push_back(std::move(added));
  }

  machine& At(size_t index) { return *machines_.at(index); }

  // Starts all parts and waits until all nodes are ready.
  bool Start(const std::string& program, const std::string& configuration) {
    program_ = program;
    store_.Append("keyed.op", "config", configuration);
    for (const auto& each : machines_) {
      store_.Serve(each->store_host, &each->store_refuses);
      WriteSettings(*each);
      StartWorker(each.get());
      StartProcess(each.get());
    }
    std::thread([this] { Supervise(); }).detach();
    for (int i = 0; i < 80; ++i) {
      Sleep(milliseconds(250));
      const bool ready =
          std::all_of(machines_.begin(), machines_.end(),
                      [this](const auto& each) { return IsReady(*each); });
      if (ready && i >= 16)
        return true;
    }
    Note("the nodes are not ready");
    return false;
  }

  bool IsReady(const machine& asked) const {
    const auto connection = stream::Connect(asked.host, kReadyPort);
    if (connection == nullptr ||
        !connection->Write(MakeRequest("GET", "/ready", {{"Host", "x"}}, "")))
      return false;
    const auto response = connection->ReadMessage(milliseconds(500));
    return response && response->status == 200;
  }

  // Sends a request as a client on a machine and reads at most
  // `bytes_per_second` of the answer.
  answer Request(const machine& at,
                 const std::string& method,
                 const std::string& path,
                 milliseconds time_budget,
                 double bytes_per_second = 0,
                 const std::string& service = "",
                 const std::string& body = "order") {
    const std::string id =
        "c" + std::to_string(getpid()) + "x" + std::to_string(next_request_++);
    const auto began = steady::now();
    const auto elapsed = [&began] {
      return std::chrono::duration<double>(steady::now() - began).count();
    };
    answer result;
    const auto connection = stream::Connect(
        at.host, kOutboundPort, bytes_per_second > 0 ? 64 << 10 : 0);
    if (connection == nullptr)
      return result;
    connection->Write(MakeRequest(
        method, path,
        {{"Host", (service.empty() ? at.service : service) + ".example"},
         {"X-Request-Id", id},
         {"X-Deadline-Ms", std::to_string(time_budget.count())},
         {"Authorization", std::string("Bearer ") + kKey}},
        method == "GET" ? "" : body));
    if (auto head = connection->ReadHead(time_budget + milliseconds(1000))) {
      result.expected =
          std::strtoull(head->Get("content-length").c_str(), nullptr, 10);
      result.received = connection->DropBody(result.expected, bytes_per_second);
      if (result.received >= result.expected)
        result.status = head->status;
    }
    result.took = elapsed();
    if (record_requests_)
      Note("request " + id + " " + method + " " + path + " at " + at.name +
           ": " +
           (result.status == 0 ? std::string("no complete answer")
                               : "status " + std::to_string(result.status)) +
           ", " + std::to_string(result.received) + " of " +
           std::to_string(result.expected) + " bytes after " +
           std::to_string(result.took) + " s; runs " +
           std::to_string(RunsOf(id)));
    return result;
  }

  // Runs at the worker of a machine.
  int RunsAt(const machine& of) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_at_[of.name];
  }

  int RunsOf(const std::string& id) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_[id];
  }

  void SetRecordRequests(bool record) { record_requests_ = record; }
  // Workers read bodies at most at this rate.
  void SetWorkerReadRate(double bytes_per_second) {
    worker_read_rate_ = bytes_per_second;
  }
  void SetMemoryMb(int memory_mb) { memory_mb_ = memory_mb; }
  // Kills processes that exceed the memory of their machine, as the platform
  // does.
  void SetMemoryLimit(bool limited) { limits_memory_ = limited; }

  // Sends a status report to a node and returns the status of its answer. The
  // id may hold any bytes.
  int SendReport(const machine& to,
                 const std::string& id,
                 const std::string& body,
                 const std::string& call = "heartbeat") {
    const auto connection = stream::Connect(to.host, kControlPort);
    if (connection == nullptr)
      return 0;
    connection->Write(MakeRequest(
        "POST", "/rpc?call=instances." + call + "&of=" + id,
        {{"Host", to.host}, {"Content-Type", "application/json"}}, body));
    const auto response = connection->ReadMessage(milliseconds(1000));
    return response ? response->status : 0;
  }

  // Body of the worker's next status report.
  static std::string NextReport(machine* of) {
    return "{\"service\":\"" + of->service + "\",\"address\":\"" + of->host +
           ":" + std::to_string(kWorkerPort) + "\",\"zone\":\"" + of->zone +
           "\",\"version\":\"v1\",\"slots\":109,\"state\":\"ready\","
           "\"coldRemainingMs\":0,\"seq\":" +
           std::to_string(++of->sequence) +
           ",\"born\":" + std::to_string(of->born) + "}";
  }

 private:
  void WriteSettings(const machine& of) const {
    const auto address = [&of](int port) {
      return "\"" + of.host + ":" + std::to_string(port) + "\"";
    };
    std::ofstream(of.settings_file)
        << "{\"node\":\"" << of.name << "\",\"zone\":\"" << of.zone
        << "\",\"zones\":{\"lagos-ikeja\":\"lagos\",\"lagos-lekki\":\"lagos\"},"
        << "\"listeners\":{\"requests\":" << address(kOutboundPort)
        << ",\"ready\":" << address(kReadyPort)
        << ",\"announcements\":" << address(kControlPort)
        << ",\"peer\":" << address(kFirstPeerPort)
        << ",\"metrics\":" << address(kLastPeerPort)
        << "},\"target\":{\"service\":\"" << of.service
        << "\",\"address\":" << address(kWorkerPort)
        << "},\"store\":{\"address\":\"" << of.store_host << ":" << kStorePort
        << "\"},\"retry_ratio\":0.2,\"limits\":{\"memory_mb\":" << memory_mb_
        << ",\"max_descriptors\":4100},\"announcement_interval_ms\":"
        << kHeartbeat.count() << ",\"stop_grace_s\":" << kGrace.count() / 1000
        << "}\n";
  }

  void StartWorker(machine* of) {
    Listen(
        of->host, kWorkerPort,
        [this, of](stream* connection) {
          while (const auto request =
                     connection->ReadHead(std::chrono::minutes(10))) {
            const std::string id = request->Get("x-request-id");
            const std::string expected = request->Get("x-target-instance");
            if (request->path() == "/health") {
              if (!Respond(connection, 200, {{"X-Instance-Id", of->worker_id}},
                           ""))
                return;
              continue;
            }
            if (!expected.empty() && expected != of->worker_id) {
              Respond(connection, 421, {{"X-Instance-Id", of->worker_id}}, "");
              return;
            }
            {
              const std::lock_guard<std::mutex> lock(mutex_);
              ++runs_[id];
              ++runs_at_[of->name];
            }
            const size_t body_size = std::strtoull(
                request->Get("content-length").c_str(), nullptr, 10);
            if (connection->DropBody(body_size, worker_read_rate_) < body_size)
              return;
            if (!Respond(connection, 200,
                         {{"X-Request-Id", id},
                          {"X-Response-Signature", "3e1b.07." + id}},
                         request->path().compare(0, 10, "/download/") == 0
                             ? answer_
                             : "done"))
              return;
          }
        },
        worker_read_rate_ > 0 ? 64 << 10 : 0);
    std::thread([this, of] {
      for (;;) {
        if (of->reports)
          SendReport(*of, of->worker_id, NextReport(of));
        Sleep(kHeartbeat);
      }
    }).detach();
  }

  void StartProcess(machine* of) const {
    const std::string variable = "SKYLARKHOIST_NODE_FILE=" + of->settings_file;
    const char* const environment[] = {variable.c_str(), nullptr};
    const pid_t pid = fork();
    if (pid == 0) {
      // Also when this program is ended from outside.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = open(of->log_file.c_str(),
                           O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      execle(program_.c_str(), program_.c_str(), "hosted", nullptr,
             environment);
      _exit(127);
    }
    of->pid = pid;
  }

  int RunningProcesses() const {
    int count = 0;
    for (const auto& each : machines_)
      count += each->pid > 0 ? 1 : 0;
    return count;
  }

  static long ResidentKb(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.compare(0, 6, "VmRSS:") == 0)
        return std::atol(line.c_str() + 6);
    }
    return 0;
  }

  std::string LastLine(const machine& of) const {
    std::ifstream log(of.log_file);
    std::string last;
    for (std::string line; std::getline(log, line);)
      last = line;
    return last.substr(0, 200);
  }

  // Starts processes again half a second after their end, and watches their
  // memory.
  void Supervise() {
    std::map<machine*, steady::time_point> start_at;
    for (;;) {
      for (const auto& each : machines_) {
        machine* of = each.get();
        const pid_t pid = of->pid;
        if (pid == 0) {
          if (of->keep_running && steady::now() >= start_at[of])
            StartProcess(of);
          continue;
        }
        int status = 0;
        if (waitpid(pid, &status, WNOHANG) == pid) {
          const bool own = of->keep_running && !(WIFSIGNALED(status) &&
                                                 WTERMSIG(status) == SIGKILL);
          if (own)
            ++of->own_ends;
          if (of->keep_running)
            Note("the process of " + of->name + " ended" +
                 (own ? " by itself" : "") + ", wait status " +
                 std::to_string(status) + ": " + LastLine(*of));
          start_at[of] = steady::now() + milliseconds(500);
          of->pid = 0;
          continue;
        }
        const long resident = ResidentKb(pid);
        of->peak_kb = std::max<long>(of->peak_kb, resident);
        if (limits_memory_ && resident > long{1024} * memory_mb_) {
          ++of->memory_kills;
          Note("the process of " + of->name + " has " +
               std::to_string(resident / 1024) + " MB of its " +
               std::to_string(memory_mb_) + " MB and is killed");
          kill(pid, SIGKILL);
        }
      }
      Sleep(milliseconds(10));
    }
  }

  const std::string answer_;
  const std::string prefix_;
  std::string folder_;
  std::string program_;
  store store_;
  std::vector<std::unique_ptr<machine>> machines_;
  std::atomic<int> next_request_{1};
  std::atomic<bool> record_requests_{true};
  std::atomic<bool> limits_memory_{false};
  int memory_mb_ = kDefaultMemoryMb;
  double worker_read_rate_ = 0;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::map<std::string, int> runs_at_;
};

// Threads of a deployment run until the program exits, so that it is static and
// only its processes end with the case.
struct stop_guard {
  deployment* stopped;
  ~stop_guard() { stopped->Stop(); }
};

std::string Resource(const std::string& type,
                     const std::string& name,
                     const std::string& spec) {
  return R"({"resourceType":")" + type + R"(","metadata":{)" +
         (name.empty() ? "" : R"("name":")" + name + "\"") + R"(},"spec":{)" +
         spec + "}}";
}

// A desired state with a host for each service, which has a route for each kind
// of request.
std::string DesiredState(const std::vector<std::string>& services,
                         int time_budget_ms) {
  std::string resources;
  for (const std::string& service : services) {
    for (const char* kind : {"safe", "unsafe", "download"}) {
      std::string spec = R"("host":")";
      spec.append(service).append(R"(.example","pathPrefix":"/)");
      spec.append(kind).append(R"(/","kind":")").append(kind);
      spec.append(R"(","timeoutMs":)").append(std::to_string(time_budget_ms));
      spec.append(R"(,"targetLatencyMs":1500,"priority":1,"service":")");
      spec.append(service).append(R"(","maxAttempts":2,"public":false)");
      resources += Resource("routes", service + "-" + kind, spec) + ",";
    }
    resources += Resource("services", service,
                          R"("healthPath":"/health","maxConnections":754,)"
                          R"("protocol":"h1","tls":false,"coldStartS":3.0,)"
                          R"("coldPerS":21.0)") +
                 ",";
  }
  resources +=
      Resource("tenants", "pulo780",
               std::string(R"("apiKeys":[")") + kKey + R"("],"priority":1)") +
      ",";
  resources += Resource("limits", "",
                        R"("maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
                        R"("headerTimeoutMs":3000,"idleTimeoutMs":15000)");
  return R"({"version":"r7","resources":[)" + resources + "]}";
}

struct case_run {
  std::string program;
  bool trouble = true;
};

// A status report of another writer, whose id is not text, reaches the control
// address of two machines, three times each.
int RunUnreadableReport(const case_run& run) {
  static deployment fleet(1500);
  const stop_guard guard{&fleet};
  fleet.AddMachine("lagos-ikeja", "orderbook");
  fleet.AddMachine("lagos-lekki", "orderbook");
  fleet.AddMachine("lagos-ikeja", "stockdesk");
  fleet.AddMachine("lagos-lekki", "stockdesk");
  if (!fleet.Start(run.program, DesiredState({"orderbook", "stockdesk"}, 6000)))
    return kCannotRun;
  std::atomic<bool> sending{true};
  std::vector<std::thread> clients;
  for (size_t i = 0; i < 4; ++i)
    clients.emplace_back([&sending, i] {
      while (sending) {
        fleet.Request(fleet.At(i), "POST", "/unsafe/2f", milliseconds(6000));
        Sleep(milliseconds(500));
      }
    });
  for (int round = 0; round < 3; ++round) {
    Sleep(milliseconds(2000));
    for (size_t i = 0; run.trouble && i < 2; ++i) {
      Note("another writer sends a report to " + fleet.At(i).name);
      fleet.SendReport(
          fleet.At(i), "i-\xff\xfe\x01",
          R"({"service":"nosuch","address":"127.0.0.1:9","zone":"z",)"
          R"("version":"v1","slots":4,"state":"draining",)"
          R"("coldRemainingMs":0,"seq":4,"born":1700000000000})");
    }
    Sleep(milliseconds(6000));
  }
  sending = false;
  for (std::thread& each : clients)
    each.join();
  int machines = 0;
  for (size_t i = 0; i < 4; ++i) {
    Note(fleet.At(i).name + ": " + std::to_string(fleet.At(i).own_ends) +
         " ends by itself");
    machines += fleet.At(i).own_ends >= 3 ? 1 : 0;
  }
  return machines >= 2 ? kBroken : kHeld;
}

// Clients on two machines read large answers slowly, each within its time
// budget. Without trouble they read at once.
int RunSlowReaders(const case_run& run) {
  constexpr size_t kAnswerBytes = size_t{16} << 20U;
  // The answer is read 13.3 s after the request, and the budget is 15 s. At
  // five requests a second, at most 67 clients of a machine read at a time, at
  // 84 MB/s together.
  constexpr double kBytesPerSecond = static_cast<double>(kAnswerBytes) / 13.3;
  constexpr milliseconds kArrivalInterval(200);
  constexpr milliseconds kSendingTime(70000);
  static deployment fleet(kAnswerBytes);
  const stop_guard guard{&fleet};
  fleet.AddMachine("lagos-ikeja", "drawvault");
  fleet.AddMachine("lagos-lekki", "orderbook");
  if (!fleet.Start(run.program,
                   DesiredState({"drawvault", "orderbook"}, 15000)))
    return kCannotRun;
  fleet.SetMemoryLimit(true);
  const auto ends_of = [](size_t at) {
    return fleet.At(at).memory_kills + fleet.At(at).own_ends;
  };
  const auto began_at = steady::now();
  std::vector<std::thread> clients;
  while (steady::now() - began_at < kSendingTime &&
         (ends_of(0) < 3 || ends_of(1) < 3)) {
    for (size_t at = 0; at < 2; ++at)
      clients.emplace_back([&run, at] {
        fleet.Request(fleet.At(at), "GET", "/download/2f", milliseconds(15000),
                      run.trouble ? kBytesPerSecond : 0);
      });
    Sleep(kArrivalInterval);
  }
  for (std::thread& each : clients)
    each.join();
  int machines = 0;
  for (size_t i = 0; i < 2; ++i) {
    machine& each = fleet.At(i);
    Note(each.name + ": peak " + std::to_string(each.peak_kb / 1024) +
         " MB, killed " + std::to_string(each.memory_kills) +
         " times for its memory, ended " + std::to_string(each.own_ends) +
         " times by itself");
    machines += ends_of(i) >= 3 ? 1 : 0;
  }
  return machines >= 2 ? kBroken : kHeld;
}

// Workers on two machines read the bodies of requests slowly. Clients on ten
// other machines send large bodies of legal size. Without trouble the workers
// read at once.
int RunSlowWorkers(const case_run& run) {
  constexpr size_t kBodyBytes = size_t{7} << 20U;
  // A body is read in 5.8 s, and the time budget is 15 s. A worker gets 12
  // bodies a second, at 88 MB/s together.
  constexpr double kBytesPerSecond = static_cast<double>(kBodyBytes) / 5.8;
  constexpr size_t kTargets = 2;
  constexpr size_t kEntries = 10;
  constexpr milliseconds kArrivalInterval(400);
  constexpr milliseconds kSendingTime(60000);
  static deployment fleet(600);
  const stop_guard guard{&fleet};
  if (run.trouble)
    fleet.SetWorkerReadRate(kBytesPerSecond);
  fleet.AddMachine("lagos-ikeja", "orderbook");
  fleet.AddMachine("lagos-lekki", "pricebook");
  for (size_t i = 0; i < kEntries; ++i)
    fleet.AddMachine(i % 2 == 0 ? "lagos-ikeja" : "lagos-lekki", "stockdesk");
  if (!fleet.Start(
          run.program,
          DesiredState({"orderbook", "pricebook", "stockdesk"}, 15000)))
    return kCannotRun;
  fleet.SetMemoryLimit(true);
  static const std::string body(kBodyBytes, 'b');
  const auto ends_of = [](size_t at) {
    return fleet.At(at).memory_kills + fleet.At(at).own_ends;
  };
  const auto began_at = steady::now();
  std::vector<std::thread> clients;
  for (size_t turn = 0; steady::now() - began_at < kSendingTime &&
                        (ends_of(0) < 3 || ends_of(1) < 3);
       ++turn) {
    for (size_t i = 0; i < kEntries; ++i) {
      clients.emplace_back([i, turn] {
        fleet.Request(fleet.At(kTargets + i), "POST", "/unsafe/2f",
                      milliseconds(15000), 0,
                      (i + turn) % 2 == 0 ? "orderbook" : "pricebook", body);
      });
      Sleep(kArrivalInterval / kEntries);
    }
  }
  for (std::thread& each : clients)
    each.join();
  int machines = 0;
  for (size_t i = 0; i < kTargets + kEntries; ++i) {
    machine& each = fleet.At(i);
    Note(each.name + ": peak " + std::to_string(each.peak_kb / 1024) +
         " MB, killed " + std::to_string(each.memory_kills) +
         " times for its memory, ended " + std::to_string(each.own_ends) +
         " times by itself");
    machines += ends_of(i) >= 3 ? 1 : 0;
  }
  return machines >= 2 ? kBroken : kHeld;
}

// A client on each of two machines sends one large order at a time to a service
// whose worker is on another machine. Without trouble the orders have 4 MB.
int RunLargeBody(const case_run& run) {
  const size_t body_size = run.trouble ? size_t{60} << 20U : size_t{4} << 20U;
  constexpr size_t kClients = 2;
  constexpr int kRounds = 3;
  static deployment fleet(600);
  const stop_guard guard{&fleet};
  // The smallest machines of the grown deployments.
  fleet.SetMemoryMb(160);
  fleet.AddMachine("lagos-ikeja", "stockdesk");
  fleet.AddMachine("lagos-lekki", "stockdesk");
  fleet.AddMachine("lagos-ikeja", "orderbook");
  fleet.AddMachine("lagos-lekki", "orderbook");
  if (!fleet.Start(run.program, DesiredState({"orderbook", "stockdesk"}, 6000)))
    return kCannotRun;
  fleet.SetMemoryLimit(true);
  const std::string body(body_size, 'b');
  for (int round = 0; round < kRounds; ++round) {
    for (size_t at = 0; at < kClients; ++at)
      fleet.Request(fleet.At(at), "POST", "/unsafe/2f", milliseconds(6000), 0,
                    "orderbook", body);
    Sleep(milliseconds(5000));
  }
  int machines = 0;
  for (size_t i = 0; i < 4; ++i) {
    machine& each = fleet.At(i);
    Note(each.name + ": peak " + std::to_string(each.peak_kb / 1024) +
         " MB, killed " + std::to_string(each.memory_kills) +
         " times for its memory, ended " + std::to_string(each.own_ends) +
         " times by itself");
    machines += each.memory_kills + each.own_ends >= 3 ? 1 : 0;
  }
  return machines >= 2 ? kBroken : kHeld;
}

// A worker leaves, and its node confirms it. Then the process of the node is
// killed, while the store turns away its machine, and two status reports that
// the worker sent before it left arrive.
int RunForgottenLeaving(const case_run& run) {
  constexpr milliseconds kDrain(2000);
  static deployment fleet(600);
  const stop_guard guard{&fleet};
  fleet.AddMachine("lagos-ikeja", "orderbook");
  fleet.AddMachine("lagos-ikeja", "stockdesk");
  fleet.AddMachine("lagos-lekki", "orderbook");
  if (!fleet.Start(run.program, DesiredState({"orderbook", "stockdesk"}, 6000)))
    return kCannotRun;
  machine& leaving = fleet.At(0);
  // Both reports are late by seconds.
  leaving.reports = false;
  Sleep(milliseconds(200));
  const std::string first_report = fleet.NextReport(&leaving);
  Note("the worker sends a report, seq " + std::to_string(leaving.sequence));
  Sleep(kHeartbeat);
  const std::string second_report = fleet.NextReport(&leaving);
  Note("the worker sends a report, seq " + std::to_string(leaving.sequence));
  Sleep(milliseconds(100));
  const int confirmation = fleet.SendReport(
      leaving, leaving.worker_id,
      "{\"born\":" + std::to_string(leaving.born) + "}", "deregister");
  const auto left_at = steady::now();
  const auto wait_until = [&left_at](int ms) {
    std::this_thread::sleep_until(left_at + milliseconds(ms));
  };
  Note("the worker deregisters, answer " + std::to_string(confirmation));
  if (confirmation != 200)
    return kCannotRun;
  wait_until(300);
  leaving.store_refuses = run.trouble;
  wait_until(500);
  if (run.trouble) {
    Note("the store turns away " + leaving.name + ", its process is killed");
    kill(leaving.pid, SIGKILL);
  }
  wait_until(2000);
  Note("the first report arrives, answer " +
       std::to_string(
           fleet.SendReport(leaving, leaving.worker_id, first_report)));
  wait_until(2500);
  Note("the second report arrives, answer " +
       std::to_string(
           fleet.SendReport(leaving, leaving.worker_id, second_report)));
  // All processes have run for 3 s.
  wait_until(4500);
  const int runs_before = fleet.RunsAt(leaving);
  for (int i = 0; i < 35; ++i) {
    fleet.Request(fleet.At(1), "POST", "/unsafe/2f", milliseconds(6000), 0,
                  "orderbook");
    Sleep(milliseconds(100));
  }
  const int runs = fleet.RunsAt(leaving) - runs_before;
  Note(std::to_string(runs) + " of 35 requests reached the worker that left, " +
       std::to_string((milliseconds(4500) - kDrain).count()) +
       " ms and more after drainMs");
  wait_until(9300);
  leaving.store_refuses = false;
  return runs > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fputs("usage: second_cases CASE PROGRAM RECORD_FILE\n", stderr);
    return kCannotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  static record notes(argv[3]);
  g_record = &notes;
  const std::map<std::string, int (*)(const case_run&)> cases = {
      {"unreadable_report", RunUnreadableReport},
      {"slow_readers", RunSlowReaders},
      {"slow_workers", RunSlowWorkers},
      {"large_body", RunLargeBody},
      {"forgotten_leaving", RunForgottenLeaving},
  };
  const auto found = cases.find(argv[1]);
  if (found == cases.end() || access(argv[2], X_OK) != 0)
    return kCannotRun;
  case_run run;
  run.program = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  run.trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  Note(std::string("case ") + argv[1] +
       (run.trouble ? "" : " without the disruption"));
  const int result = found->second(run);
  Note(result == kBroken ? "the rule was broken"
       : result == kHeld ? "the rule held"
                         : "the case could not run");
  std::fflush(nullptr);
  // Threads of stand-ins still run.
  std::_Exit(result);
}
