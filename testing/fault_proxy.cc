#include "testing/fault_proxy.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <utility>
#include <vector>

#include "wire/address.h"

namespace skylarkhoist {
namespace {

constexpr duration kLate = std::chrono::milliseconds(300);

// Makes the next close of a connection a reset.
void CloseByReset(bufferevent* stream) {
  const linger now = {1, 0};
  setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &now,
             sizeof(now));
}

}  // namespace

struct fault_proxy::pair {
  fault_proxy* owner = nullptr;
  uint64_t number = 0;
  bufferevent* caller = nullptr;
  bufferevent* target = nullptr;

  ~pair() {
    if (caller != nullptr)
      bufferevent_free(caller);
    if (target != nullptr)
      bufferevent_free(target);
  }
};

fault_proxy::fault_proxy(event_loop* loop,
                         const std::string& listen_address,
                         std::string target)
    : loop_(loop), target_(std::move(target)) {
  const auto address = ParseAddress(listen_address);
  if (address) {
    listener_ = evconnlistener_new_bind(
        loop_->base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<fault_proxy*>(self)->Accept(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        128, address->get(), static_cast<int>(address->length));
  }
  if (listener_ == nullptr) {
    std::fprintf(stderr, "cannot listen on %s\n", listen_address.c_str());
    std::abort();
  }
  address_ = LocalAddressOf(evconnlistener_get_fd(listener_));
}

fault_proxy::~fault_proxy() {
  evconnlistener_free(listener_);
}

void fault_proxy::Accept(int fd) {
  const auto target = ParseAddress(target_);
  auto added = std::make_unique<pair>();
  added->owner = this;
  added->number = next_++;
  added->caller =
      bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  added->target =
      bufferevent_socket_new(loop_->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const auto on_event = [](bufferevent*, short what, void* self) {
    if ((what & BEV_EVENT_CONNECTED) != 0)
      return;
    auto* ended = static_cast<pair*>(self);
    ended->owner->End(ended->number);
  };
  bufferevent_setcb(
      added->caller,
      [](bufferevent*, void* self) {
        auto* from = static_cast<pair*>(self);
        from->owner->Relay(from, false);
      },
      nullptr, on_event, added.get());
  bufferevent_setcb(
      added->target,
      [](bufferevent*, void* self) {
        auto* from = static_cast<pair*>(self);
        from->owner->Relay(from, true);
      },
      nullptr, on_event, added.get());
  DisableNagle(fd);
  if (bufferevent_socket_connect(added->target, target->get(),
                                 static_cast<int>(target->length)) != 0)
    return;
  DisableNagle(bufferevent_getfd(added->target));
  bufferevent_enable(added->caller, EV_READ | EV_WRITE);
  bufferevent_enable(added->target, EV_READ | EV_WRITE);
  pairs_.emplace(added->number, std::move(added));
}

void fault_proxy::Relay(pair* from, bool from_target) {
  evbuffer* input =
      bufferevent_get_input(from_target ? from->target : from->caller);
  std::vector<char> bytes(evbuffer_get_length(input));
  evbuffer_remove(input, bytes.data(), bytes.size());
  if (fault_ == proxy_fault::kSilent ||
      (fault_ == proxy_fault::kOneWay && from_target))
    return;
  const uint64_t number = from->number;
  const auto deliver = [this, number, from_target, bytes = std::move(bytes)] {
    const auto found = pairs_.find(number);
    if (found != pairs_.end())
      bufferevent_write(
          from_target ? found->second->caller : found->second->target,
          bytes.data(), bytes.size());
  };
  if (fault_ != proxy_fault::kDelay) {
    deliver();
    return;
  }
  loop_->RunAfter(kLate, [alive = std::weak_ptr<bool>(alive_), deliver] {
    if (!alive.expired())
      deliver();
  });
}

// What has arrived is passed on before the end.
void fault_proxy::End(uint64_t number) {
  const auto found = pairs_.find(number);
  if (found == pairs_.end())
    return;
  Relay(found->second.get(), true);
  Relay(found->second.get(), false);
  for (bufferevent* each : {found->second->caller, found->second->target})
    bufferevent_flush(each, EV_WRITE, BEV_FINISHED);
  // The rest of the output leaves in the next round of the loop.
  bufferevent_setcb(found->second->caller, nullptr, nullptr, nullptr, nullptr);
  bufferevent_setcb(found->second->target, nullptr, nullptr, nullptr, nullptr);
  loop_->RunAfter(std::chrono::milliseconds(1),
                  [this, alive = std::weak_ptr<bool>(alive_), number] {
                    if (!alive.expired())
                      pairs_.erase(number);
                  });
}

void fault_proxy::Reset() {
  for (auto& [number, each] : pairs_) {
    CloseByReset(each->caller);
    CloseByReset(each->target);
  }
  pairs_.clear();
}

}  // namespace skylarkhoist
