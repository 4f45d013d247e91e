#include "cli/log_session.h"

#include <utility>

#include "kernel/event_loop.h"
#include "wire/http_log_client.h"

namespace skylarkhoist {
namespace {

// How often a waiting command looks whether it is done.
constexpr auto kCheckInterval = std::chrono::milliseconds(10);

class http_log_session : public log_session {
 public:
  explicit http_log_session(const log_target& target)
      : client_(&loop_, {target.address, target.stream, target.timeout}) {}

  loop* run_loop() override { return &loop_; }
  log_client* client() override { return &client_; }

  bool RunUntil(const std::function<bool()>& done, duration limit) override {
    if (done())
      return true;
    bool result = false;
    const time_point end = loop_.Now() + limit;
    std::function<void()> check = [&] {
      result = done();
      if (result || loop_.Now() >= end)
        loop_.Stop();
      else
        loop_.RunAfter(kCheckInterval, check);
    };
    loop_.RunAfter(kCheckInterval, check);
    loop_.Run();
    return result;
  }

 private:
  event_loop loop_;
  http_log_client client_;
};

}  // namespace

std::unique_ptr<log_session> ConnectOverHttp(const log_target& target) {
  return std::make_unique<http_log_session>(target);
}

}  // namespace skylarkhoist
