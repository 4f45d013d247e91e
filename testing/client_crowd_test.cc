#include <CppUTest/TestHarness.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "kernel/json.h"
#include "kernel/random.h"
#include "testing/raw_socket.h"
#include "testing/run_until.h"
#include "testing/soak_worker.h"
#include "testing/store_stand_in.h"
#include "wire/http_target_client.h"

// Crowds of uncontrolled clients against the program's own process with its
// default limits. The checks do not depend on the speed of the machine.

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The smallest VM has 160 MB; the rest is left for the kernel's share.
constexpr size_t kMaxResidentKb = size_t{150} << 10U;
// The largest crowd has 64 connections.
constexpr size_t kMaxDescriptors = 200;
constexpr size_t kBodyBytes = size_t{4} << 20U;
constexpr size_t kLargestBodyBytes = size_t{64} << 20U;
constexpr char kHost[] = "crowd.example";

std::string PostHead(const std::string& framing) {
  static int last_id = 0;
  return "POST /once/x HTTP/1.1\r\nHost: " + std::string(kHost) +
         "\r\nAuthorization: Bearer k1\r\nX-Deadline-Ms: 3000\r\n"
         "X-Request-Id: crowd-" +
         std::to_string(++last_id) + "\r\n" + framing + "\r\n\r\n";
}

// Sends `head`, then `pieces` again and again until `repeated_bytes` of them
// are sent, then `tail`.
struct client_script {
  std::string head;
  std::vector<std::string> pieces;
  size_t repeated_bytes = 0;
  std::string tail;
};

struct crowd_client {
  raw_socket socket;
  client_script script;
  std::string pending;
  size_t next_piece = 0;
  size_t sent_of_pieces = 0;
  bool sent_tail = false;

  // Sends one piece at most; returns whether bytes were sent.
  bool SendNext() {
    if (socket.ended())
      return false;
    if (pending.empty()) {
      if (sent_of_pieces < script.repeated_bytes) {
        pending = script.pieces[next_piece++ % script.pieces.size()];
        pending.resize(
            std::min(pending.size(), script.repeated_bytes - sent_of_pieces));
        sent_of_pieces += pending.size();
      } else if (!sent_tail) {
        pending = script.tail;
        sent_tail = true;
      }
    }
    const size_t sent = socket.TryWrite(pending);
    pending.erase(0, sent);
    return sent > 0;
  }
};

TEST_GROUP(client_crowd) {
  event_loop loop;
  mt_random random{1};
  std::string prefix = "127." + std::to_string(10 + getpid() % 200) + ".251.";
  http_target_client client{&loop, {}, nullptr};
  std::unique_ptr<store_stand_in> store;
  std::unique_ptr<soak_worker> worker;
  std::string directory;
  std::vector<crowd_client> crowd;
  pid_t pid = 0;

  std::string Address(int port) {
    return prefix + "1:" + std::to_string(port);
  }

  void setup() override {
    const char* program = std::getenv("SKYLARKHOIST_PROGRAM");
    CHECK_TEXT(program != nullptr,
               "SKYLARKHOIST_PROGRAM must be set to the path of skylarkhoist");
    directory =
        (std::filesystem::temp_directory_path() / "skylarkhoist-crowd-XXXXXX")
            .string();
    CHECK_TRUE(mkdtemp(directory.data()) != nullptr);
    store = std::make_unique<store_stand_in>(&loop, prefix + "250:7000");
    PublishConfig();
    soak_worker_settings settings;
    settings.listen_address = Address(7011);
    settings.public_address = Address(7011);
    settings.node_address = Address(7002);
    settings.service = "shop";
    settings.zone = "a";
    settings.id = "w0";
    settings.max_body_bytes = kLargestBodyBytes;
    worker = std::make_unique<soak_worker>(&loop, settings, &random,
                                           [](const http_request&) {});
    worker->StartReports();
    StartProcess(program);
    CHECK_TRUE_TEXT(IsServed(), "the node does not serve before the crowd");
  }

  void teardown() override {
    crowd.clear();
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    worker.reset();
    store.reset();
    std::filesystem::remove_all(directory);
  }

  void PublishConfig() {
    const auto resource = [](const char* type, const char* name, json spec) {
      return json{{"resourceType", type},
                  {"metadata", {{"name", name}}},
                  {"spec", std::move(spec)}};
    };
    const json document = {
        {"version", "r1"},
        {"resources",
         {resource("routes", "once",
                   {{"host", kHost},
                    {"pathPrefix", "/once/"},
                    {"kind", "unsafe"},
                    {"timeoutMs", 5000},
                    {"targetLatencyMs", 1000},
                    {"priority", 1},
                    {"service", "shop"},
                    {"maxAttempts", 2},
                    {"public", false}}),
          resource("services", "shop", {{"coldPerS", 50}}),
          resource("tenants", "t1", {{"apiKeys", {"k1"}}})}}};
    store->AppendRecord("keyed.op", "config", document.dump());
  }

  void StartProcess(const char* program) {
    const json settings = {
        {"node", "n0"},
        {"zone", "a"},
        {"zones", {{"a", "r"}}},
        {"listeners",
         {{"requests", Address(7000)},
          {"ready", Address(7001)},
          {"announcements", Address(7002)},
          {"peer", Address(7003)},
          {"metrics", Address(7004)}}},
        {"target", {{"service", "shop"}, {"address", Address(7011)}}},
        {"store", {{"address", store->address()}}},
        {"announcement_interval_ms", 300},
        {"stop_grace_s", 6}};
    const std::string file = directory + "/settings.json";
    std::ofstream(file) << settings.dump(2);
    pid = fork();
    if (pid == 0) {
      const int log = open((directory + "/log").c_str(),
                           O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
      execl(program, program, "hosted", file.c_str(), nullptr);
      _exit(127);
    }
  }

  // Calls `request` until it gets 200, at most 40 times.
  bool IsServedAt(const std::string& address, const http_request& request) {
    for (int attempt = 0; attempt < 40; ++attempt) {
      bool ended = false;
      int status = 0;
      client.Call(address, request, seconds(5),
                  [&](const target_result& result) {
                    ended = true;
                    status = result.response.status;
                  });
      CHECK_TRUE(RunUntil(loop, [&] { return ended; }));
      if (status == 200)
        return true;
      RunFor(loop, milliseconds(250));
    }
    return false;
  }

  bool IsServed(const std::string& body = "order") {
    static int last_id = 0;
    http_request request;
    request.method = "POST";
    request.path = "/once/x";
    request.headers.Add("Host", kHost);
    request.headers.Add("Authorization", "Bearer k1");
    request.headers.Add("X-Deadline-Ms", "3000");
    request.headers.Add("X-Request-Id",
                        "ordinary-" + std::to_string(++last_id));
    request.body = body;
    return IsServedAt(Address(7000), request);
  }

  bool IsServedAtListener(int port, const std::string& path) {
    http_request request;
    request.method = "GET";
    request.path = path;
    request.headers.Add("Host", "node");
    return IsServedAt(Address(port), request);
  }

  size_t PeakResidentKb() {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmHWM:", 0) == 0)
        return std::stoul(line.substr(6));
    }
    return 0;
  }

  void CheckPeakResident() {
#if defined(__SANITIZE_ADDRESS__)
    // The sanitizer keeps up to 256 MB of freed memory, so the bound holds only
    // for the process without it. The other checks hold for both.
#else
    const size_t resident = PeakResidentKb();
    if (std::getenv("CLIENT_CROWD_FIGURES") != nullptr)
      std::printf("peak %zu KB\n", resident);
    CHECK_TEXT(resident <= kMaxResidentKb,
               StringFromFormat("peak resident memory is %zu KB", resident)
                   .asCharString());
#endif
  }

  size_t OpenDescriptors() {
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(pid) + "/fd");
    return static_cast<size_t>(std::distance(begin(entries), end(entries)));
  }

  // Runs `count` clients side by side until none can send any more, keeps their
  // connections open, and checks the process.
  void RunCrowd(int count, const std::function<client_script()>& make_script) {
    for (int i = 0; i < count; ++i) {
      crowd.emplace_back();
      crowd.back().socket = raw_socket::ConnectTo(Address(7000));
      crowd.back().socket.DisableNagle();
      crowd.back().script = make_script();
      crowd.back().pending = crowd.back().script.head;
    }
    size_t peak_descriptors = 0;
    time_point last_sent = loop.Now();
    int round = 0;
    while (loop.Now() - last_sent < seconds(1)) {
      for (crowd_client& each : crowd) {
        each.socket.Read();
        if (each.SendNext())
          last_sent = loop.Now();
      }
      if (++round % 64 == 0) {
        CHECK_EQUAL_TEXT(0, waitpid(pid, nullptr, WNOHANG),
                         "the process has ended");
        peak_descriptors = std::max(peak_descriptors, OpenDescriptors());
      }
      // The stand-ins of this process run between the rounds.
      loop.RunAfter(duration::zero(), [this] { loop.Stop(); });
      loop.Run();
    }
    peak_descriptors = std::max(peak_descriptors, OpenDescriptors());
    CHECK_TRUE_TEXT(IsServedAtListener(7001, "/"), "no ready check");
    CHECK_TRUE_TEXT(IsServedAtListener(7004, "/metrics"), "no metrics");
    CHECK_TRUE_TEXT(IsServed(), "an ordinary request is not served");
    CHECK_EQUAL_TEXT(0, waitpid(pid, nullptr, WNOHANG),
                     "the process has ended");
    CheckPeakResident();
    CHECK_TEXT(peak_descriptors <= kMaxDescriptors,
               StringFromFormat("%zu open descriptors", peak_descriptors)
                   .asCharString());
  }
};

const char kManyFields[] = "a:b\r\n";

std::string Repeat(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i)
    result += text;
  return result;
}

// Guards against limits over all connections that refuse the largest legal
// request in calm, and against more than two copies of its body.
TEST(client_crowd, LargestBodyIsServedAlone) {
  CHECK_TRUE(IsServed(std::string(kLargestBodyBytes, 'x')));
  CheckPeakResident();
}

// (a) Guards against complete heads over the limit that exhaust the memory
// while they are received. Short fields cost far more than their bytes.
TEST(client_crowd, HeadsOverTheLimit) {
  RunCrowd(64, [] {
    client_script script;
    script.head = "GET / HTTP/1.1\r\nHost: x\r\n";
    script.pieces = {Repeat(kManyFields, 1000)};
    script.repeated_bytes = 200'000;
    script.tail = "\r\n";
    return script;
  });
}

// (b) Guards against heads that never end.
TEST(client_crowd, HeadsWithoutEnd) {
  RunCrowd(64, [] {
    client_script script;
    script.head = "GET / HTTP/1.1\r\nHost: x\r\n";
    script.pieces = {Repeat(kManyFields, 1000)};
    script.repeated_bytes = 400'000;
    return script;
  });
}

// (c) Guards against empty lines that never end before a request.
TEST(client_crowd, EmptyLinesWithoutEnd) {
  RunCrowd(64, [] {
    client_script script;
    script.pieces = {Repeat("\r\n", 4096)};
    script.repeated_bytes = kBodyBytes;
    return script;
  });
}

// (d) Guards against large bodies of legal size that are sent whole at once.
TEST(client_crowd, LargeBodiesSentWhole) {
  RunCrowd(48, [] {
    client_script script;
    script.head = PostHead("Content-Length: " + std::to_string(kBodyBytes));
    script.pieces = {std::string(kBodyBytes / 4, 'x')};
    script.repeated_bytes = kBodyBytes;
    return script;
  });
}

// (e) Guards against large bodies that arrive in pieces and stop just short of
// the end while their connections stay open.
TEST(client_crowd, LargeBodiesInPiecesWithoutEnd) {
  RunCrowd(48, [] {
    client_script script;
    script.head = PostHead("Content-Length: " + std::to_string(kBodyBytes));
    script.pieces = {std::string(4096, 'x')};
    script.repeated_bytes = kBodyBytes - 1;
    return script;
  });
}

// (f) Guards against chunked bodies in large chunks without the last one.
TEST(client_crowd, LargeChunksWithoutEnd) {
  RunCrowd(48, [] {
    client_script script;
    script.head = PostHead("Transfer-Encoding: chunked");
    script.pieces = {"10000\r\n" + std::string(0x10000, 'x') + "\r\n"};
    script.repeated_bytes = kBodyBytes;
    return script;
  });
}

// (g) Guards against chunked bodies in very small chunks without the last one.
// A byte that arrives alone occupies a buffer of its own.
TEST(client_crowd, SmallChunksWithoutEnd) {
  RunCrowd(64, [] {
    client_script script;
    script.head = PostHead("Transfer-Encoding: chunked");
    script.pieces = {"1\r\n", "x", "\r\n"};
    script.repeated_bytes = 120'000;
    return script;
  });
}

}  // namespace
}  // namespace skylarkhoist
