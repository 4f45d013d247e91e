#include "wire/tcp_transport.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "kernel/log.h"
#include "wire/address.h"

namespace skylarkhoist {
namespace {

constexpr int kListenBacklog = 1024;

// One system call moves up to this many bytes; the default of libevent is 16
// KiB, which costs a call for each ten or so requests.
constexpr size_t kBytesPerCall = 256U << 10U;

// A peer that has not said Hello cannot make this node buffer more than this.
constexpr size_t kMaxHelloPayload = 64U << 10U;

// A busy accept error, such as too many open files, would otherwise keep the
// loop spinning.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);

// Larger messages are mostly body, which is not packed.
constexpr size_t kMaxPackedMessage = 1U << 20U;

// Bounds the memory for refused peers that were logged already.
constexpr size_t kMaxLoggedRefusals = 256;

constexpr std::array<std::string_view, 7> kDownCauses = {
    "refused",      "closed",   "silent", "damaged_frame",
    "incompatible", "replaced", "other"};

bool IsCall(const fbs::envelopeT& message) {
  return message.body.Ascall_request() != nullptr ||
         message.body.Ascall_answer() != nullptr;
}

std::string_view LabelOf(link_down_cause cause) {
  const auto index = static_cast<size_t>(cause);
  return kDownCauses[std::min(index, kDownCauses.size() - 1)];
}

constexpr std::array<std::string_view, 7> kHelloFaults = {
    "cluster", "version",   "address",     "incarnation",
    "self",    "not_hello", "second_hello"};

}  // namespace

struct tcp_transport::connection {
  tcp_transport* owner = nullptr;
  bufferevent* stream = nullptr;
  link_pointer peer_link;
  // Empty for accepted connections.
  std::string dialled;
  bool connected = false;
  // Hello was received and accepted.
  bool ready = false;
  bool closed = false;
  time_point opened;
  time_point last_received;
  uint64_t counter = 0;
  uint64_t last_counter = 0;
  // Frames to the peer are packed from the first call on; a link without calls
  // is not worth the memory.
  bool may_pack = false;
  std::unique_ptr<frame_packer> packer;
  // Made with the first packed frame.
  std::unique_ptr<frame_unpacker> unpacker;

  ~connection() {
    if (stream != nullptr)
      bufferevent_free(stream);
  }
};

struct tcp_transport::link {
  peer_info peer;
  bool up = false;
  bool closed = false;
  // End of the use that the messages so far gave it, in either direction.
  time_point used_until;
  // Where this end sends; set when the link is up.
  connection_pointer output;
  std::vector<connection_pointer> connections;
  // Encoded frames that wait for the connection.
  evbuffer* pending = evbuffer_new();

  link() = default;
  link(const link&) = delete;
  link& operator=(const link&) = delete;
  ~link() { evbuffer_free(pending); }
};

tcp_transport::tcp_transport(event_loop* loop,
                             tcp_transport_settings settings,
                             metrics* counters)
    : loop_(loop),
      settings_(std::move(settings)),
      frames_sent_(counters->Counter("skylarkhoist_peer_frames_sent_total",
                                     "Frames queued for peers")),
      frames_received_(
          counters->Counter("skylarkhoist_peer_frames_received_total",
                            "Valid frames from peers")),
      bytes_before_packing_(counters->Counter(
          "skylarkhoist_peer_packing_bytes_total",
          "Bytes of frames that were packed, before and after",
          {{"when", "before"}})),
      bytes_packed_(counters->Counter(
          "skylarkhoist_peer_packing_bytes_total",
          "Bytes of frames that were packed, before and after",
          {{"when", "after"}})),
      skipped_messages_(
          counters->Counter("skylarkhoist_peer_messages_skipped_total",
                            "Messages of a type unknown to this version")),
      oversized_sends_(
          counters->Counter("skylarkhoist_peer_oversized_sends_total",
                            "Messages above the frame limit")),
      send_overflows_(
          counters->Counter("skylarkhoist_peer_send_overflows_total",
                            "Links closed at the send bound")),
      late_beats_(
          counters->Counter("skylarkhoist_peer_late_heartbeats_total",
                            "Heartbeat timers that ran more than one interval "
                            "late; silence is not judged then")),
      open_links_(
          counters->Gauge("skylarkhoist_peer_links", "Links that are up")) {
  settings_.hello.reads_packed = true;
  for (size_t index = 0; index < static_cast<size_t>(frame_error::kCount);
       ++index) {
    const auto label = skylarkhoist::LabelOf(static_cast<frame_error>(index));
    frame_errors_.push_back(&counters->Counter(
        "skylarkhoist_peer_frame_errors_total",
        "Frames that closed a connection", {{"error", std::string(label)}}));
  }
  for (const std::string_view cause : kDownCauses) {
    links_down_.push_back(&counters->Counter(
        "skylarkhoist_peer_links_down_total", "Links that went down",
        {{"cause", std::string(cause)}}));
  }
  for (const std::string_view reason : kHelloFaults) {
    hello_refused_[std::string(reason)] = &counters->Counter(
        "skylarkhoist_peer_hello_refused_total", "Connections refused at Hello",
        {{"reason", std::string(reason)}});
  }
}

tcp_transport::~tcp_transport() {
  loop_->Cancel(beat_timer_);
  loop_->Cancel(report_timer_);
  loop_->Cancel(accept_timer_);
  if (listener_ != nullptr)
    evconnlistener_free(listener_);
  for (auto& [key, each] : connections_)
    each->peer_link = nullptr;
  for (auto& [address, each] : links_) {
    each->output = nullptr;
    each->connections.clear();
  }
}

tl::expected<void, findings> tcp_transport::Listen() {
  findings problems;
  const auto address = ParseAddress(settings_.listen_address);
  if (!address) {
    problems.Add("/peer/listen_address", "must be \"ip:port\", got \"" +
                                             settings_.listen_address + "\"");
    return tl::unexpected(problems);
  }
  listener_ = evconnlistener_new_bind(
      loop_->base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<tcp_transport*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      kListenBacklog, address->get(), static_cast<int>(address->length));
  if (listener_ == nullptr) {
    problems.Add("/peer/listen_address", "cannot listen on " +
                                             settings_.listen_address + ": " +
                                             std::strerror(errno));
    return tl::unexpected(problems);
  }
  evconnlistener_set_error_cb(listener_, [](evconnlistener*, void* argument) {
    auto* self = static_cast<tcp_transport*>(argument);
    evconnlistener_disable(self->listener_);
    self->accept_timer_ = self->loop_->RunAfter(
        kAcceptPause, [self] { evconnlistener_enable(self->listener_); });
  });
  bound_address_ = LocalAddressOf(evconnlistener_get_fd(listener_));
  if (settings_.hello.peer_address.empty())
    settings_.hello.peer_address = bound_address_;
  return {};
}

void tcp_transport::Start(peer_observer* observer) {
  observer_ = observer;
  next_beat_ = loop_->Now() + settings_.heartbeat_interval;
  beat_timer_ =
      loop_->RunAfter(settings_.heartbeat_interval, [this] { Beat(); });
}

void tcp_transport::Send(const std::string& address,
                         const fbs::envelopeT& message) {
  const auto frame = encoder_.Encode(message);
  if (!frame) {
    oversized_sends_.Increment();
    return;
  }
  const auto found = links_.find(address);
  const link_pointer target =
      found != links_.end() ? found->second : Dial(address);
  if (target == nullptr)
    return;
  evbuffer* buffer = target->up ? bufferevent_get_output(target->output->stream)
                                : target->pending;
  if (evbuffer_get_length(buffer) + frame->size + kFrameHeaderSize >
      settings_.max_send_buffer) {
    send_overflows_.Increment();
    CloseLink(target, link_down_cause::kClosed, /*deferred=*/true);
    return;
  }
  if (target->up) {
    connection& output = *target->output;
    if (output.may_pack && output.packer == nullptr && IsCall(message))
      output.packer = std::make_unique<frame_packer>();
    Write(output, *frame);
  } else {
    evbuffer_add(buffer, frame->header.data(), frame->header.size());
    evbuffer_add(buffer, frame->payload, frame->size);
  }
  Use(*target, message);
  frames_sent_.Increment();
}

void tcp_transport::Write(connection& to, const frame_encoder::frame& frame) {
  if (to.packer != nullptr && frame.size <= kMaxPackedMessage) {
    const std::string packed = to.packer->Pack(frame);
    bytes_before_packing_.Increment(
        static_cast<double>(frame.size + kFrameHeaderSize));
    bytes_packed_.Increment(static_cast<double>(packed.size()));
    bufferevent_write(to.stream, packed.data(), packed.size());
    return;
  }
  bufferevent_write(to.stream, frame.header.data(), frame.header.size());
  bufferevent_write(to.stream, frame.payload, frame.size);
}

tcp_transport::connection_pointer tcp_transport::AddConnection(int fd) {
  auto added = std::make_shared<connection>();
  added->owner = this;
  added->stream =
      bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  added->opened = loop_->Now();
  added->last_received = added->opened;
  DisableNagle(fd);
  bufferevent_set_max_single_read(added->stream, kBytesPerCall);
  bufferevent_set_max_single_write(added->stream, kBytesPerCall);
  bufferevent_setcb(
      added->stream,
      [](bufferevent*, void* argument) {
        auto* self = static_cast<connection*>(argument);
        // Keeps the connection alive while it is handled.
        const connection_pointer held = self->owner->connections_.at(self);
        self->owner->OnReadable(held);
      },
      nullptr,
      [](bufferevent*, short what, void* argument) {
        auto* self = static_cast<connection*>(argument);
        const connection_pointer held = self->owner->connections_.at(self);
        self->owner->OnEvent(held, what);
      },
      added.get());
  connections_.emplace(added.get(), added);
  return added;
}

bool tcp_transport::StartStream(connection& started) {
  started.connected = true;
  started.opened = loop_->Now();
  started.last_received = started.opened;
  // Hello goes to the socket directly, so that it is on its way even when this
  // end refuses the peer's Hello at once. An empty socket buffer holds it.
  const std::string hello = EncodeFrame(Envelope(settings_.hello));
  const auto sent = send(bufferevent_getfd(started.stream), hello.data(),
                         hello.size(), MSG_NOSIGNAL);
  if (sent != static_cast<ssize_t>(hello.size()))
    return false;
  bufferevent_enable(started.stream, EV_READ | EV_WRITE);
  return true;
}

void tcp_transport::Accept(int fd) {
  FlushReports();
  if (unknown_connections_ >= settings_.max_unknown_connections) {
    evutil_closesocket(fd);
    return;
  }
  const connection_pointer accepted = AddConnection(fd);
  ++unknown_connections_;
  if (!StartStream(*accepted))
    Release(accepted);
}

tcp_transport::link_pointer tcp_transport::Dial(const std::string& address) {
  auto dialled = std::make_shared<link>();
  dialled->peer.address = address;
  links_.emplace(address, dialled);
  const auto target = ParseAddress(address);
  const int fd = target ? socket(target->storage.ss_family,
                                 SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
                        : -1;
  if (fd < 0) {
    CloseLink(dialled, link_down_cause::kClosed, /*deferred=*/true);
    return nullptr;
  }
  const connection_pointer added = AddConnection(fd);
  added->dialled = address;
  added->peer_link = dialled;
  dialled->connections.push_back(added);
  if (bufferevent_socket_connect(added->stream, target->get(),
                                 static_cast<int>(target->length)) != 0) {
    CloseLink(dialled, link_down_cause::kClosed, /*deferred=*/true);
    return nullptr;
  }
  return dialled;
}

void tcp_transport::OnReadable(const connection_pointer& from) {
  FlushReports();
  from->last_received = loop_->Now();
  evbuffer* input = bufferevent_get_input(from->stream);
  while (!from->closed) {
    const size_t available = evbuffer_get_length(input);
    if (available < kFrameHeaderSize)
      return;
    frame_header_bytes bytes;
    evbuffer_copyout(input, bytes.data(), bytes.size());
    const auto header = ParseFrameHeader(
        bytes.data(), from->ready ? kMaxFramePayload : kMaxHelloPayload);
    if (!header) {
      OnFrameError(from, header.error());
      return;
    }
    const size_t size = kFrameHeaderSize + header->length;
    if (available < size)
      return;
    const uint8_t* payload =
        evbuffer_pullup(input, static_cast<ev_ssize_t>(size)) +
        kFrameHeaderSize;
    const auto message = header->packed ? DecodePacked(*from, *header, payload)
                                        : DecodePayload(*header, payload);
    if (!message) {
      OnFrameError(from, message.error());
      return;
    }
    evbuffer_drain(input, size);
    frames_received_.Increment();
    if (message->has_value())
      HandleMessage(from, **message);
    else
      skipped_messages_.Increment();
  }
}

tl::expected<std::optional<fbs::envelopeT>, frame_error>
tcp_transport::DecodePacked(connection& from,
                            frame_header header,
                            const uint8_t* payload) {
  if (!from.ready)
    return tl::unexpected(frame_error::kVersion);
  if (from.unpacker == nullptr)
    from.unpacker = std::make_unique<frame_unpacker>();
  const auto plain = from.unpacker->Unpack(payload, header.length);
  if (!plain)
    return tl::unexpected(plain.error());
  header.length = static_cast<uint32_t>(plain->size());
  return DecodePayload(header, plain->data());
}

void tcp_transport::OnFrameError(const connection_pointer& from,
                                 frame_error error) {
  frame_errors_[static_cast<size_t>(error)]->Increment();
  CloseConnection(from, error == frame_error::kVersion
                            ? link_down_cause::kIncompatible
                            : link_down_cause::kDamagedFrame);
}

void tcp_transport::OnEvent(const connection_pointer& from, short what) {
  const int error = EVUTIL_SOCKET_ERROR();
  FlushReports();
  if (from->closed)
    return;
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    if (!StartStream(*from))
      CloseConnection(from, link_down_cause::kClosed);
    return;
  }
  CloseConnection(from, !from->connected && error == ECONNREFUSED
                            ? link_down_cause::kRefused
                            : link_down_cause::kClosed);
}

void tcp_transport::HandleMessage(const connection_pointer& from,
                                  const fbs::envelopeT& message) {
  const fbs::helloT* hello = message.body.Ashello();
  if (!from->ready) {
    if (hello == nullptr)
      Refuse(from, "not_hello", {});
    else
      HandleHello(from, *hello);
    return;
  }
  if (hello != nullptr) {
    Refuse(from, "second_hello", *hello);
    return;
  }
  if (const fbs::heartbeatT* heartbeat = message.body.Asheartbeat())
    from->last_counter = heartbeat->counter;
  else
    Use(*from->peer_link, message);
  // The observer may close the link by a Send.
  const link_pointer held = from->peer_link;
  observer_->OnPeerMessage(held->peer, message);
}

void tcp_transport::HandleHello(const connection_pointer& from,
                                const fbs::helloT& hello) {
  const fbs::helloT& own = settings_.hello;
  if (hello.cluster != own.cluster)
    return Refuse(from, "cluster", hello);
  if (hello.max_version < own.min_version ||
      hello.min_version > own.max_version)
    return Refuse(from, "version", hello);
  if (hello.incarnation == 0)
    return Refuse(from, "incarnation", hello);
  if (hello.incarnation == own.incarnation)
    return Refuse(from, "self", hello);
  // A dialled node must be the one that was meant, since messages wait for it.
  if (hello.peer_address.empty() ||
      (!from->dialled.empty() && from->dialled != hello.peer_address))
    return Refuse(from, "address", hello);

  link_pointer joined;
  const auto found = links_.find(hello.peer_address);
  if (found != links_.end()) {
    joined = found->second;
    if (joined->up && joined->peer.incarnation != hello.incarnation) {
      Detach(from);
      CloseLink(joined, link_down_cause::kReplaced, /*deferred=*/false);
      joined = nullptr;
    } else if (joined->up && from->dialled.empty() && HasAccepted(*joined)) {
      // A node dials a peer once at a time, so it has lost the old link.
      CloseLink(joined, link_down_cause::kClosed, /*deferred=*/false);
      joined = nullptr;
    }
  }
  if (joined == nullptr) {
    // An observer may have dialled the address again when the old link went
    // down.
    link_pointer& slot = links_[hello.peer_address];
    if (slot == nullptr)
      slot = std::make_shared<link>();
    joined = slot;
    joined->peer.address = hello.peer_address;
  }
  if (from->dialled.empty())
    --unknown_connections_;
  from->ready = true;
  if (settings_.pack_between_zones && hello.reads_packed &&
      hello.zone != own.zone)
    from->may_pack = true;
  if (from->peer_link == nullptr) {
    from->peer_link = joined;
    joined->connections.push_back(from);
  }
  joined->used_until =
      std::max(joined->used_until, loop_->Now() + settings_.use_period);
  if (joined->up)
    return;
  joined->up = true;
  joined->peer.node = hello.node;
  joined->peer.zone = hello.zone;
  joined->peer.incarnation = hello.incarnation;
  joined->output = from;
  evbuffer_add_buffer(bufferevent_get_output(from->stream), joined->pending);
  open_links_.Increment();
  LogStateChange("peer_link", "link_up",
                 {{"peer", joined->peer.address}, {"node", hello.node}});
  observer_->OnLinkUp(joined->peer);
}

void tcp_transport::Refuse(const connection_pointer& from,
                           const std::string& reason,
                           const fbs::helloT& hello) {
  hello_refused_.at(reason)->Increment();
  const std::string key = reason + " " + hello.peer_address;
  if (logged_refusals_.size() < kMaxLoggedRefusals &&
      logged_refusals_.insert(key).second) {
    LogWarning("peer_link", "hello_refused",
               {{"reason", reason},
                {"peer", hello.peer_address},
                {"node", hello.node}});
  }
  CloseConnection(from, link_down_cause::kIncompatible);
}

void tcp_transport::Detach(const connection_pointer& from) {
  if (from->peer_link == nullptr)
    return;
  auto& siblings = from->peer_link->connections;
  siblings.erase(std::remove(siblings.begin(), siblings.end(), from),
                 siblings.end());
  from->peer_link = nullptr;
}

bool tcp_transport::HasAccepted(const link& checked) {
  return std::any_of(checked.connections.begin(), checked.connections.end(),
                     [](const connection_pointer& each) {
                       return each->ready && each->dialled.empty();
                     });
}

void tcp_transport::CloseConnection(const connection_pointer& closed,
                                    link_down_cause cause) {
  const link_pointer owner = closed->peer_link;
  if (owner == nullptr || (owner->up && !closed->ready)) {
    // The link, if any, is up on another connection.
    Detach(closed);
    Release(closed);
    return;
  }
  CloseLink(owner, cause, /*deferred=*/false);
}

void tcp_transport::CloseLink(const link_pointer& closed,
                              link_down_cause cause,
                              bool deferred) {
  if (std::exchange(closed->closed, true))
    return;
  const auto found = links_.find(closed->peer.address);
  if (found != links_.end() && found->second == closed)
    links_.erase(found);
  closed->output = nullptr;
  for (const connection_pointer& each : std::exchange(closed->connections, {}))
    Release(each);
  links_down_[static_cast<size_t>(cause)]->Increment();
  if (std::exchange(closed->up, false)) {
    open_links_.Decrement();
    LogStateChange("peer_link", "link_down",
                   {{"peer", closed->peer.address},
                    {"cause", std::string(LabelOf(cause))}});
  }
  if (!deferred) {
    observer_->OnLinkDown(closed->peer, cause);
    return;
  }
  reports_.emplace_back(closed->peer, cause);
  if (report_timer_ == 0) {
    report_timer_ = loop_->RunAfter(duration::zero(), [this] {
      report_timer_ = 0;
      FlushReports();
    });
  }
}

void tcp_transport::FlushReports() {
  while (!reports_.empty()) {
    const auto [peer, cause] = reports_.front();
    reports_.pop_front();
    observer_->OnLinkDown(peer, cause);
  }
}

void tcp_transport::Release(const connection_pointer& closed) {
  if (std::exchange(closed->closed, true))
    return;
  if (closed->dialled.empty() && !closed->ready)
    --unknown_connections_;
  bufferevent_setcb(closed->stream, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(closed->stream, EV_READ | EV_WRITE);
  closed->peer_link = nullptr;
  connections_.erase(closed.get());
}

void tcp_transport::Use(link& used, const fbs::envelopeT& message) {
  const time_point now = loop_->Now();
  // No heartbeats came while the link was not in use, which is not silence.
  if (now > used.used_until) {
    for (const connection_pointer& each : used.connections)
      each->last_received = now;
  }
  const bool call = message.body.Ascall_request() != nullptr;
  used.used_until =
      std::max(used.used_until,
               now + (call ? settings_.call_use_period : settings_.use_period));
}

void tcp_transport::Beat() {
  FlushReports();
  const time_point now = loop_->Now();
  // After a pause of this process, bytes of its peers may wait unread in the
  // sockets; they are read before silence is judged again.
  const bool late = now - next_beat_ > settings_.heartbeat_interval;
  if (late)
    late_beats_.Increment();
  next_beat_ = now + settings_.heartbeat_interval;
  beat_timer_ =
      loop_->RunAfter(settings_.heartbeat_interval, [this] { Beat(); });

  std::vector<connection_pointer> current;
  current.reserve(connections_.size());
  for (const auto& [key, each] : connections_)
    current.push_back(each);
  fbs::envelopeT envelope = Envelope(observer_->MakeHeartbeat());
  fbs::heartbeatT& heartbeat = *envelope.body.Asheartbeat();
  for (const connection_pointer& each : current) {
    if (each->closed)
      continue;
    const time_point used_until = each->ready && each->peer_link != nullptr
                                      ? each->peer_link->used_until
                                      : now;
    if (now > used_until + settings_.silence_limit)
      continue;
    const bool silent =
        each->connected ? now - each->last_received > settings_.silence_limit
                        : now - each->opened > settings_.connect_timeout;
    if (silent && !late && now <= used_until) {
      CloseConnection(each, link_down_cause::kSilent);
      continue;
    }
    if (!each->ready)
      continue;
    heartbeat.counter = ++each->counter;
    heartbeat.echo = each->last_counter;
    if (const auto frame = encoder_.Encode(envelope))
      Write(*each, *frame);
  }
}

}  // namespace skylarkhoist
