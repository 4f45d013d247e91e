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

constexpr duration kRelayDelay = std::chrono::milliseconds(300);

// Makes the close of the connection send a TCP reset.
void SetResetOnClose(bufferevent* stream) {
  const linger reset_on_close = {1, 0};
  setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
}

}  // namespace

struct fault_proxy::proxied_connection {
  fault_proxy* owner = nullptr;
  uint64_t id = 0;
  bufferevent* client = nullptr;
  bufferevent* upstream = nullptr;

  ~proxied_connection() {
    if (client != nullptr)
      bufferevent_free(client);
    if (upstream != nullptr)
      bufferevent_free(upstream);
  }
};

fault_proxy::fault_proxy(event_loop* loop,
                         const std::string& listen_address,
                         std::string upstream_address)
    : loop_(loop), upstream_address_(std::move(upstream_address)) {
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
    std::fprintf(stderr, "fault proxy: cannot listen on %s\n",
                 listen_address.c_str());
    std::abort();
  }
  address_ = LocalAddressOf(evconnlistener_get_fd(listener_));
}

fault_proxy::~fault_proxy() {
  evconnlistener_free(listener_);
}

void fault_proxy::Accept(int fd) {
  const auto address = ParseAddress(upstream_address_);
  auto connection = std::make_unique<proxied_connection>();
  connection->owner = this;
  connection->id = next_id_++;
  connection->client =
      bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  connection->upstream =
      bufferevent_socket_new(loop_->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  const auto on_event = [](bufferevent*, short events, void* self) {
    if ((events & BEV_EVENT_CONNECTED) != 0)
      return;
    auto* connection = static_cast<proxied_connection*>(self);
    connection->owner->CloseAfterRelay(connection->id);
  };
  bufferevent_setcb(
      connection->client,
      [](bufferevent*, void* self) {
        auto* connection = static_cast<proxied_connection*>(self);
        connection->owner->Relay(connection, false);
      },
      nullptr, on_event, connection.get());
  bufferevent_setcb(
      connection->upstream,
      [](bufferevent*, void* self) {
        auto* connection = static_cast<proxied_connection*>(self);
        connection->owner->Relay(connection, true);
      },
      nullptr, on_event, connection.get());
  DisableNagle(fd);
  if (bufferevent_socket_connect(connection->upstream, address->get(),
                                 static_cast<int>(address->length)) != 0)
    return;
  DisableNagle(bufferevent_getfd(connection->upstream));
  bufferevent_enable(connection->client, EV_READ | EV_WRITE);
  bufferevent_enable(connection->upstream, EV_READ | EV_WRITE);
  connections_.emplace(connection->id, std::move(connection));
}

void fault_proxy::Relay(proxied_connection* connection, bool from_upstream) {
  evbuffer* input = bufferevent_get_input(from_upstream ? connection->upstream
                                                        : connection->client);
  std::vector<char> bytes(evbuffer_get_length(input));
  evbuffer_remove(input, bytes.data(), bytes.size());
  if (fault_ == proxy_fault::kDiscardAll ||
      (fault_ == proxy_fault::kDiscardFromUpstream && from_upstream))
    return;
  const uint64_t id = connection->id;
  const auto forward = [this, id, from_upstream, bytes = std::move(bytes)] {
    const auto found = connections_.find(id);
    if (found != connections_.end())
      bufferevent_write(
          from_upstream ? found->second->client : found->second->upstream,
          bytes.data(), bytes.size());
  };
  if (fault_ != proxy_fault::kDelay) {
    forward();
    return;
  }
  loop_->RunAfter(kRelayDelay, [alive = std::weak_ptr<bool>(alive_), forward] {
    if (!alive.expired())
      forward();
  });
}

// Relays the bytes that have already been received before it closes both sides.
void fault_proxy::CloseAfterRelay(uint64_t id) {
  const auto found = connections_.find(id);
  if (found == connections_.end())
    return;
  Relay(found->second.get(), true);
  Relay(found->second.get(), false);
  for (bufferevent* stream : {found->second->client, found->second->upstream})
    bufferevent_flush(stream, EV_WRITE, BEV_FINISHED);
  // The loop writes the remaining output before the timer frees the connection.
  bufferevent_setcb(found->second->client, nullptr, nullptr, nullptr, nullptr);
  bufferevent_setcb(found->second->upstream, nullptr, nullptr, nullptr,
                    nullptr);
  loop_->RunAfter(std::chrono::milliseconds(1),
                  [this, alive = std::weak_ptr<bool>(alive_), id] {
                    if (!alive.expired())
                      connections_.erase(id);
                  });
}

void fault_proxy::Reset() {
  for (auto& [id, connection] : connections_) {
    SetResetOnClose(connection->client);
    SetResetOnClose(connection->upstream);
  }
  connections_.clear();
}

}  // namespace skylarkhoist
