#include "cli/log_session.h"

#include <utility>

#include "kernel/event_loop.h"
#include "wire/http_log_client.h"

namespace skylarkhoist {
namespace {

// Interval at which RunUntil evaluates its condition.
constexpr auto kConditionCheckInterval = std::chrono::milliseconds(10);

class http_log_session : public log_session {
 public:
  explicit http_log_session(const log_endpoint& endpoint)
      : client_(&loop_, {endpoint.address, endpoint.stream, endpoint.timeout}) {
  }

  loop* run_loop() override { return &loop_; }
  log_client* client() override { return &client_; }

  bool RunUntil(const std::function<bool()>& done, duration timeout) override {
    if (done())
      return true;
    bool result = false;
    const time_point deadline = loop_.Now() + timeout;
    std::function<void()> check = [&] {
      result = done();
      if (result || loop_.Now() >= deadline)
        loop_.Stop();
      else
        loop_.RunAfter(kConditionCheckInterval, check);
    };
    loop_.RunAfter(kConditionCheckInterval, check);
    loop_.Run();
    return result;
  }

 private:
  event_loop loop_;
  http_log_client client_;
};

}  // namespace

std::unique_ptr<log_session> ConnectOverHttp(const log_endpoint& endpoint) {
  return std::make_unique<http_log_session>(endpoint);
}

}  // namespace skylarkhoist
