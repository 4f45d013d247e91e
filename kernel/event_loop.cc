#include "kernel/event_loop.h"

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace skylarkhoist {

namespace {

// The two clocks are not read at the same time, so their difference varies.
constexpr duration kMinSuspension = std::chrono::milliseconds(20);

// With a change list, libevent combines the changes to a file descriptor in one
// loop iteration into one epoll_ctl call, which saves most of these calls for
// HTTP. It does not support duplicated file descriptors; this project has none.
event_base* NewEventBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

}  // namespace

struct event_loop::timer {
  event_loop* owner;
  timer_id id;
  time_point due;
  event* handle;
  std::function<void()> callback;

  ~timer() { event_free(handle); }
};

struct event_loop::signal_handler {
  event* handle;
  std::function<void()> callback;

  ~signal_handler() { event_free(handle); }
};

event_loop::event_loop(const process_clock& clock)
    : clock_(clock), suspended_time_(SuspendedTime()), base_(NewEventBase()) {
  // libevent writes to sockets without MSG_NOSIGNAL; a write to a connection
  // that the peer has closed would otherwise terminate the process.
  std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() {
  timers_.clear();
  signal_handlers_.clear();
  event_base_free(base_);
}

time_point event_loop::Now() const {
  return clock_.Now();
}

void event_loop::SetTimer(const timer& armed, duration delay) {
  const auto micros = std::max<int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(delay).count());
  timeval wait{};
  wait.tv_sec = micros / 1'000'000;
  wait.tv_usec = micros % 1'000'000;
  evtimer_add(armed.handle, &wait);
}

void event_loop::CheckForSuspension() {
  const duration suspended_time = SuspendedTime();
  if (suspended_time - suspended_time_ < kMinSuspension)
    return;
  suspended_time_ = suspended_time;
  const time_point now = Now();
  for (const auto& [id, each] : timers_)
    SetTimer(*each, each->due - now);
}

timer_id event_loop::RunAfter(duration delay, std::function<void()> callback) {
  const timer_id id = next_id_++;
  auto entry = std::make_unique<timer>();
  entry->owner = this;
  entry->id = id;
  entry->due = Now() + delay;
  entry->callback = std::move(callback);
  entry->handle = evtimer_new(
      base_,
      [](evutil_socket_t, short, void* argument) {
        auto* fired = static_cast<timer*>(argument);
        auto& timers = fired->owner->timers_;
        const auto found = timers.find(fired->id);
        // Keeps the timer alive while its callback runs. The callback may
        // cancel or add timers.
        const std::unique_ptr<timer> running = std::move(found->second);
        timers.erase(found);
        running->owner->CheckForSuspension();
        running->callback();
      },
      entry.get());
  SetTimer(*entry, delay);
  timers_.emplace(id, std::move(entry));
  return id;
}

void event_loop::Cancel(timer_id id) {
  timers_.erase(id);
}

void event_loop::Run() {
  event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::Stop() {
  event_base_loopbreak(base_);
}

void event_loop::OnSignal(int signal_number, std::function<void()> callback) {
  auto handler = std::make_unique<signal_handler>();
  handler->callback = std::move(callback);
  handler->handle = evsignal_new(
      base_, signal_number,
      [](evutil_socket_t, short, void* argument) {
        static_cast<signal_handler*>(argument)->callback();
      },
      handler.get());
  evsignal_add(handler->handle, nullptr);
  signal_handlers_[signal_number] = std::move(handler);
}

}  // namespace skylarkhoist
