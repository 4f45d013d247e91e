#include "kernel/event_loop.h"

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace skylarkhoist {

namespace {

// With a change list, libevent makes one epoll_ctl call for the changes of a
// descriptor in one round, which saves most of these calls for HTTP. It must
// not be used with duplicated descriptors; this project makes none.
event_base* NewBase() {
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
  event* handle;
  std::function<void()> callback;

  ~timer() { event_free(handle); }
};

struct event_loop::signal_watch {
  event* handle;
  std::function<void()> callback;

  ~signal_watch() { event_free(handle); }
};

event_loop::event_loop() : base_(NewBase()) {
  // libevent writes to sockets without MSG_NOSIGNAL; a peer that closed its end
  // must not end this process.
  std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() {
  timers_.clear();
  signals_.clear();
  event_base_free(base_);
}

time_point event_loop::Now() const {
  return std::chrono::steady_clock::now();
}

timer_id event_loop::RunAfter(duration delay, std::function<void()> callback) {
  const timer_id id = next_id_++;
  auto entry = std::make_unique<timer>();
  entry->owner = this;
  entry->id = id;
  entry->callback = std::move(callback);
  entry->handle = evtimer_new(
      base_,
      [](evutil_socket_t, short, void* argument) {
        auto* fired = static_cast<timer*>(argument);
        auto& timers = fired->owner->timers_;
        const auto position = timers.find(fired->id);
        // Keeps the entry alive while its callback runs; the callback may
        // cancel or add timers.
        const std::unique_ptr<timer> running = std::move(position->second);
        timers.erase(position);
        running->callback();
      },
      entry.get());
  const auto micros = std::max<int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(delay).count());
  timeval wait{};
  wait.tv_sec = micros / 1'000'000;
  wait.tv_usec = micros % 1'000'000;
  evtimer_add(entry->handle, &wait);
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
  auto watch = std::make_unique<signal_watch>();
  watch->callback = std::move(callback);
  watch->handle = evsignal_new(
      base_, signal_number,
      [](evutil_socket_t, short, void* argument) {
        static_cast<signal_watch*>(argument)->callback();
      },
      watch.get());
  evsignal_add(watch->handle, nullptr);
  signals_[signal_number] = std::move(watch);
}

}  // namespace skylarkhoist
