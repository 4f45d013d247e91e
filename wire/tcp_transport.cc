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

// One read or write call transfers up to this many bytes. libevent's default of
// 16 KiB needs a system call for about ten requests.
constexpr size_t kMaxBytesPerSystemCall = 256U << 10U;

// Bounds the bytes that this node buffers for a peer whose Hello it has not
// accepted.
constexpr size_t kMaxHelloPayloadSize = 64U << 10U;

// Without a delay, a persistent accept error, such as too many open files,
// would keep the event loop busy.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(100);

// Larger messages are mostly body, which is not compressed.
constexpr size_t kMaxPayloadSizeToCompress = 1U << 20U;

// Each refused peer is logged once for each reason. Bounds the memory for this;
// further refusals are only counted.
constexpr size_t kMaxLoggedHelloRefusals = 256;

constexpr std::array<std::string_view, 7> kLinkDownCauseLabels = {
    "refused",      "closed",   "silent", "damaged_frame",
    "incompatible", "replaced", "other"};

bool IsCallOrAnswer(const fbs::envelopeT& message) {
  return message.body.Ascall_request() != nullptr ||
         message.body.Ascall_answer() != nullptr;
}

std::string_view LabelOf(link_down_cause cause) {
  const auto index = static_cast<size_t>(cause);
  return kLinkDownCauseLabels[std::min(index, kLinkDownCauseLabels.size() - 1)];
}

constexpr std::array<std::string_view, 7> kHelloRefusalReasons = {
    "cluster", "version",   "address",     "incarnation",
    "self",    "not_hello", "second_hello"};

}  // namespace

struct tcp_transport::connection {
  tcp_transport* transport = nullptr;
  bufferevent* stream = nullptr;
  link_pointer peer_link;
  // Address that this node connected to; empty for accepted connections.
  std::string connect_address;
  bool connected = false;
  bool to_other_zone = false;
  // The Hello of the peer was received and accepted.
  bool hello_accepted = false;
  bool closed = false;
  time_point opened_at;
  time_point last_received_at;
  uint64_t sent_heartbeats = 0;
  // `counter` of the last heartbeat received.
  uint64_t last_peer_heartbeat = 0;
  // Frames to the peer may be compressed. They are from the first call or
  // answer on, since a link without calls is not worth the memory of a
  // compressor.
  bool may_compress = false;
  std::unique_ptr<frame_compressor> compressor;
  // Created for the first compressed frame that is received.
  std::unique_ptr<frame_decompressor> decompressor;

  ~connection() {
    if (stream != nullptr)
      bufferevent_free(stream);
  }
};

struct tcp_transport::link {
  peer_info peer;
  bool up = false;
  bool closed = false;
  link_activity activity;
  // The connection on which this end sends; set while the link is up.
  connection_pointer send_connection;
  std::vector<connection_pointer> connections;
  // Encoded frames that wait until the link is up.
  evbuffer* pending_frames = evbuffer_new();

  explicit link(const link_activity_options& options) : activity(options) {}
  link(const link&) = delete;
  link& operator=(const link&) = delete;
  ~link() { evbuffer_free(pending_frames); }
};

tcp_transport::tcp_transport(event_loop* loop,
                             tcp_transport_settings settings,
                             metrics* counters)
    : loop_(loop),
      settings_(std::move(settings)),
      traffic_(counters),
      frames_sent_(counters->Counter("skylarkhoist_peer_frames_sent_total",
                                     "Frames queued for peers")),
      frames_received_(
          counters->Counter("skylarkhoist_peer_frames_received_total",
                            "Valid frames from peers")),
      bytes_before_compression_(counters->Counter(
          "skylarkhoist_peer_packing_bytes_total",
          "Bytes of frames that were packed, before and after",
          {{"when", "before"}})),
      bytes_after_compression_(counters->Counter(
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
      late_heartbeats_(
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
  for (const std::string_view cause : kLinkDownCauseLabels) {
    links_down_.push_back(&counters->Counter(
        "skylarkhoist_peer_links_down_total", "Links that went down",
        {{"cause", std::string(cause)}}));
  }
  for (const std::string_view reason : kHelloRefusalReasons) {
    hello_refused_[std::string(reason)] = &counters->Counter(
        "skylarkhoist_peer_hello_refused_total", "Connections refused at Hello",
        {{"reason", std::string(reason)}});
  }
}

tcp_transport::~tcp_transport() {
  loop_->Cancel(heartbeat_timer_);
  loop_->Cancel(link_down_timer_);
  loop_->Cancel(accept_retry_timer_);
  if (listener_ != nullptr)
    evconnlistener_free(listener_);
  for (auto& [key, each] : connections_)
    each->peer_link = nullptr;
  for (auto& [address, each] : links_) {
    each->send_connection = nullptr;
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
    self->accept_retry_timer_ = self->loop_->RunAfter(
        kAcceptRetryDelay, [self] { evconnlistener_enable(self->listener_); });
  });
  bound_address_ = LocalAddressOf(evconnlistener_get_fd(listener_));
  if (settings_.hello.peer_address.empty())
    settings_.hello.peer_address = bound_address_;
  return {};
}

void tcp_transport::Start(peer_observer* observer) {
  observer_ = observer;
  next_heartbeat_ = loop_->Now() + settings_.heartbeat_interval;
  heartbeat_timer_ = loop_->RunAfter(settings_.heartbeat_interval,
                                     [this] { OnHeartbeatTimer(); });
}

void tcp_transport::Send(const std::string& address,
                         const fbs::envelopeT& message) {
  const auto frame = encoder_.Encode(message);
  if (!frame) {
    oversized_sends_.Increment();
    return;
  }
  const auto found = links_.find(address);
  const link_pointer peer_link =
      found != links_.end() ? found->second : OpenLink(address);
  if (peer_link == nullptr)
    return;
  evbuffer* buffer =
      peer_link->up ? bufferevent_get_output(peer_link->send_connection->stream)
                    : peer_link->pending_frames;
  if (evbuffer_get_length(buffer) + frame->payload_size + kFrameHeaderSize >
      settings_.max_send_buffer_size) {
    send_overflows_.Increment();
    CloseLink(peer_link, link_down_cause::kClosed, /*deferred=*/true);
    return;
  }
  if (peer_link->up) {
    connection& send_connection = *peer_link->send_connection;
    if (send_connection.may_compress && send_connection.compressor == nullptr &&
        IsCallOrAnswer(message))
      send_connection.compressor = std::make_unique<frame_compressor>();
    WriteFrame(send_connection, message.body.type, *frame);
  } else {
    evbuffer_add(buffer, frame->header.data(), frame->header.size());
    evbuffer_add(buffer, frame->payload, frame->payload_size);
    traffic_.RecordQueued(message.body.type,
                          frame->payload_size + kFrameHeaderSize);
  }
  RecordActivity(*peer_link, message);
  frames_sent_.Increment();
}

void tcp_transport::WriteFrame(connection& conn,
                               fbs::payload type,
                               const frame_encoder::frame& frame) {
  if (conn.compressor != nullptr &&
      frame.payload_size <= kMaxPayloadSizeToCompress) {
    const std::string compressed = conn.compressor->Compress(frame);
    bytes_before_compression_.Increment(
        static_cast<double>(frame.payload_size + kFrameHeaderSize));
    bytes_after_compression_.Increment(static_cast<double>(compressed.size()));
    bufferevent_write(conn.stream, compressed.data(), compressed.size());
    traffic_.RecordSent(type, conn.to_other_zone, compressed.size());
    return;
  }
  bufferevent_write(conn.stream, frame.header.data(), frame.header.size());
  bufferevent_write(conn.stream, frame.payload, frame.payload_size);
  traffic_.RecordSent(type, conn.to_other_zone,
                      frame.payload_size + kFrameHeaderSize);
}

tcp_transport::connection_pointer tcp_transport::AddConnection(int fd) {
  auto conn = std::make_shared<connection>();
  conn->transport = this;
  conn->stream =
      bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE);
  conn->opened_at = loop_->Now();
  conn->last_received_at = conn->opened_at;
  DisableNagle(fd);
  bufferevent_set_max_single_read(conn->stream, kMaxBytesPerSystemCall);
  bufferevent_set_max_single_write(conn->stream, kMaxBytesPerSystemCall);
  bufferevent_setcb(
      conn->stream,
      [](bufferevent*, void* argument) {
        auto* self = static_cast<connection*>(argument);
        // Keeps the connection alive during the call.
        const connection_pointer held = self->transport->connections_.at(self);
        self->transport->OnReadable(held);
      },
      nullptr,
      [](bufferevent*, short events, void* argument) {
        auto* self = static_cast<connection*>(argument);
        const connection_pointer held = self->transport->connections_.at(self);
        self->transport->OnEvent(held, events);
      },
      conn.get());
  connections_.emplace(conn.get(), conn);
  return conn;
}

bool tcp_transport::StartHandshake(connection& conn) {
  conn.connected = true;
  conn.opened_at = loop_->Now();
  conn.last_received_at = conn.opened_at;
  // Hello is written to the socket directly, so that the peer receives it even
  // when this end refuses the peer's Hello at once. It fits into the empty
  // socket buffer.
  const std::string hello = EncodeFrame(MakeEnvelope(settings_.hello));
  const auto sent_size = send(bufferevent_getfd(conn.stream), hello.data(),
                              hello.size(), MSG_NOSIGNAL);
  if (sent_size != static_cast<ssize_t>(hello.size()))
    return false;
  bufferevent_enable(conn.stream, EV_READ | EV_WRITE);
  return true;
}

void tcp_transport::Accept(int fd) {
  ReportDeferredLinkDowns();
  if (pending_handshakes_ >= settings_.max_pending_handshakes) {
    evutil_closesocket(fd);
    return;
  }
  const connection_pointer conn = AddConnection(fd);
  ++pending_handshakes_;
  if (!StartHandshake(*conn))
    ReleaseConnection(conn);
}

tcp_transport::link_pointer tcp_transport::OpenLink(
    const std::string& address) {
  auto peer_link = std::make_shared<link>(settings_.activity);
  peer_link->peer.address = address;
  links_.emplace(address, peer_link);
  const auto parsed_address = ParseAddress(address);
  const int fd = parsed_address
                     ? socket(parsed_address->storage.ss_family,
                              SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)
                     : -1;
  if (fd < 0) {
    CloseLink(peer_link, link_down_cause::kClosed, /*deferred=*/true);
    return nullptr;
  }
  const connection_pointer conn = AddConnection(fd);
  conn->connect_address = address;
  conn->peer_link = peer_link;
  peer_link->connections.push_back(conn);
  if (bufferevent_socket_connect(conn->stream, parsed_address->get(),
                                 static_cast<int>(parsed_address->length)) !=
      0) {
    CloseLink(peer_link, link_down_cause::kClosed, /*deferred=*/true);
    return nullptr;
  }
  return peer_link;
}

void tcp_transport::OnReadable(const connection_pointer& conn) {
  ReportDeferredLinkDowns();
  conn->last_received_at = loop_->Now();
  evbuffer* input = bufferevent_get_input(conn->stream);
  while (!conn->closed) {
    const size_t available = evbuffer_get_length(input);
    if (available < kFrameHeaderSize)
      return;
    frame_header_bytes bytes;
    evbuffer_copyout(input, bytes.data(), bytes.size());
    const auto header = ParseFrameHeader(
        bytes.data(),
        conn->hello_accepted ? kMaxFramePayloadSize : kMaxHelloPayloadSize);
    if (!header) {
      OnFrameError(conn, header.error());
      return;
    }
    const size_t frame_size = kFrameHeaderSize + header->payload_size;
    if (available < frame_size)
      return;
    const uint8_t* payload =
        evbuffer_pullup(input, static_cast<ev_ssize_t>(frame_size)) +
        kFrameHeaderSize;
    const auto message = header->compressed
                             ? DecodeCompressed(*conn, *header, payload)
                             : DecodePayload(*header, payload);
    if (!message) {
      OnFrameError(conn, message.error());
      return;
    }
    evbuffer_drain(input, frame_size);
    frames_received_.Increment();
    if (message->has_value())
      HandleMessage(conn, **message);
    else
      skipped_messages_.Increment();
  }
}

tl::expected<std::optional<fbs::envelopeT>, frame_error>
tcp_transport::DecodeCompressed(connection& conn,
                                frame_header header,
                                const uint8_t* payload) {
  if (!conn.hello_accepted)
    return tl::unexpected(frame_error::kUnsupportedVersion);
  if (conn.decompressor == nullptr)
    conn.decompressor = std::make_unique<frame_decompressor>();
  const auto uncompressed =
      conn.decompressor->Decompress(payload, header.payload_size);
  if (!uncompressed)
    return tl::unexpected(uncompressed.error());
  header.payload_size = static_cast<uint32_t>(uncompressed->size());
  return DecodePayload(header, uncompressed->data());
}

void tcp_transport::OnFrameError(const connection_pointer& conn,
                                 frame_error error) {
  frame_errors_[static_cast<size_t>(error)]->Increment();
  CloseConnection(conn, error == frame_error::kUnsupportedVersion
                            ? link_down_cause::kIncompatible
                            : link_down_cause::kDamagedFrame);
}

void tcp_transport::OnEvent(const connection_pointer& conn, short events) {
  const int error = EVUTIL_SOCKET_ERROR();
  ReportDeferredLinkDowns();
  if (conn->closed)
    return;
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    if (!StartHandshake(*conn))
      CloseConnection(conn, link_down_cause::kClosed);
    return;
  }
  CloseConnection(conn, !conn->connected && error == ECONNREFUSED
                            ? link_down_cause::kRefused
                            : link_down_cause::kClosed);
}

void tcp_transport::HandleMessage(const connection_pointer& conn,
                                  const fbs::envelopeT& message) {
  const fbs::helloT* hello = message.body.Ashello();
  if (!conn->hello_accepted) {
    if (hello == nullptr)
      RefuseHello(conn, "not_hello", {});
    else
      HandleHello(conn, *hello);
    return;
  }
  if (hello != nullptr) {
    RefuseHello(conn, "second_hello", *hello);
    return;
  }
  if (const fbs::heartbeatT* heartbeat = message.body.Asheartbeat())
    conn->last_peer_heartbeat = heartbeat->counter;
  else
    RecordActivity(*conn->peer_link, message);
  // Keeps the link alive, since the observer may close it by a call of Send.
  const link_pointer peer_link = conn->peer_link;
  observer_->OnPeerMessage(peer_link->peer, message);
}

void tcp_transport::HandleHello(const connection_pointer& conn,
                                const fbs::helloT& hello) {
  const fbs::helloT& own = settings_.hello;
  if (hello.cluster != own.cluster)
    return RefuseHello(conn, "cluster", hello);
  if (hello.max_version < own.min_version ||
      hello.min_version > own.max_version)
    return RefuseHello(conn, "version", hello);
  if (hello.incarnation == 0)
    return RefuseHello(conn, "incarnation", hello);
  if (hello.incarnation == own.incarnation)
    return RefuseHello(conn, "self", hello);
  // A node must report the address under which this node connected to it, since
  // the messages that wait are meant for the node at that address.
  if (hello.peer_address.empty() ||
      (!conn->connect_address.empty() &&
       conn->connect_address != hello.peer_address))
    return RefuseHello(conn, "address", hello);

  link_pointer peer_link;
  const auto found = links_.find(hello.peer_address);
  if (found != links_.end()) {
    peer_link = found->second;
    if (peer_link->up && peer_link->peer.incarnation != hello.incarnation) {
      DetachFromLink(conn);
      CloseLink(peer_link, link_down_cause::kReplaced, /*deferred=*/false);
      peer_link = nullptr;
    } else if (peer_link->up && conn->connect_address.empty() &&
               HasAcceptedConnection(*peer_link)) {
      // A node has at most one outgoing connection to a peer, so the peer has
      // lost the old link.
      CloseLink(peer_link, link_down_cause::kClosed, /*deferred=*/false);
      peer_link = nullptr;
    }
  }
  if (peer_link == nullptr) {
    // The observer may have opened a new link to the address when the old one
    // went down.
    link_pointer& entry = links_[hello.peer_address];
    if (entry == nullptr)
      entry = std::make_shared<link>(settings_.activity);
    peer_link = entry;
    peer_link->peer.address = hello.peer_address;
  }
  if (conn->connect_address.empty())
    --pending_handshakes_;
  conn->hello_accepted = true;
  conn->to_other_zone = hello.zone != own.zone;
  if (settings_.compress_between_zones && hello.reads_packed &&
      hello.zone != own.zone)
    conn->may_compress = true;
  if (conn->peer_link == nullptr) {
    conn->peer_link = peer_link;
    peer_link->connections.push_back(conn);
  }
  peer_link->activity.OnLinkUp(loop_->Now());
  if (peer_link->up)
    return;
  peer_link->up = true;
  peer_link->peer.node = hello.node;
  peer_link->peer.zone = hello.zone;
  peer_link->peer.incarnation = hello.incarnation;
  peer_link->peer.protocol = std::min(hello.max_version, own.max_version);
  if (settings_.watch_own_zone && hello.zone == own.zone)
    peer_link->activity.KeepActive();
  if (peer_link->peer.protocol < kZoneViewProtocol)
    peer_link->activity.SetPeerIgnoresAnswers();
  peer_link->send_connection = conn;
  evbuffer_add_buffer(bufferevent_get_output(conn->stream),
                      peer_link->pending_frames);
  open_links_.Increment();
  LogStateChange("peer_link", "link_up",
                 {{"peer", peer_link->peer.address}, {"node", hello.node}});
  observer_->OnLinkUp(peer_link->peer);
}

void tcp_transport::RefuseHello(const connection_pointer& conn,
                                const std::string& reason,
                                const fbs::helloT& hello) {
  hello_refused_.at(reason)->Increment();
  const std::string key = reason + " " + hello.peer_address;
  if (logged_hello_refusals_.size() < kMaxLoggedHelloRefusals &&
      logged_hello_refusals_.insert(key).second) {
    LogWarning("peer_link", "hello_refused",
               {{"reason", reason},
                {"peer", hello.peer_address},
                {"node", hello.node}});
  }
  CloseConnection(conn, link_down_cause::kIncompatible);
}

void tcp_transport::DetachFromLink(const connection_pointer& conn) {
  if (conn->peer_link == nullptr)
    return;
  auto& siblings = conn->peer_link->connections;
  siblings.erase(std::remove(siblings.begin(), siblings.end(), conn),
                 siblings.end());
  conn->peer_link = nullptr;
}

bool tcp_transport::HasAcceptedConnection(const link& peer_link) {
  return std::any_of(peer_link.connections.begin(), peer_link.connections.end(),
                     [](const connection_pointer& each) {
                       return each->hello_accepted &&
                              each->connect_address.empty();
                     });
}

void tcp_transport::CloseConnection(const connection_pointer& conn,
                                    link_down_cause cause) {
  const link_pointer peer_link = conn->peer_link;
  if (peer_link == nullptr || (peer_link->up && !conn->hello_accepted)) {
    // The connection has no link, or its link is up on another connection.
    DetachFromLink(conn);
    ReleaseConnection(conn);
    return;
  }
  CloseLink(peer_link, cause, /*deferred=*/false);
}

void tcp_transport::CloseLink(const link_pointer& peer_link,
                              link_down_cause cause,
                              bool deferred) {
  if (std::exchange(peer_link->closed, true))
    return;
  const auto found = links_.find(peer_link->peer.address);
  if (found != links_.end() && found->second == peer_link)
    links_.erase(found);
  peer_link->send_connection = nullptr;
  for (const connection_pointer& each :
       std::exchange(peer_link->connections, {}))
    ReleaseConnection(each);
  links_down_[static_cast<size_t>(cause)]->Increment();
  if (std::exchange(peer_link->up, false)) {
    open_links_.Decrement();
    LogStateChange("peer_link", "link_down",
                   {{"peer", peer_link->peer.address},
                    {"cause", std::string(LabelOf(cause))}});
  }
  if (!deferred) {
    observer_->OnLinkDown(peer_link->peer, cause);
    return;
  }
  deferred_link_downs_.emplace_back(peer_link->peer, cause);
  if (link_down_timer_ == 0) {
    link_down_timer_ = loop_->RunAfter(duration::zero(), [this] {
      link_down_timer_ = 0;
      ReportDeferredLinkDowns();
    });
  }
}

void tcp_transport::ReportDeferredLinkDowns() {
  while (!deferred_link_downs_.empty()) {
    const auto [peer, cause] = deferred_link_downs_.front();
    deferred_link_downs_.pop_front();
    observer_->OnLinkDown(peer, cause);
  }
}

void tcp_transport::ReleaseConnection(const connection_pointer& conn) {
  if (std::exchange(conn->closed, true))
    return;
  if (conn->connect_address.empty() && !conn->hello_accepted)
    --pending_handshakes_;
  bufferevent_setcb(conn->stream, nullptr, nullptr, nullptr, nullptr);
  bufferevent_disable(conn->stream, EV_READ | EV_WRITE);
  conn->peer_link = nullptr;
  connections_.erase(conn.get());
}

void tcp_transport::RecordActivity(link& peer_link,
                                   const fbs::envelopeT& message) {
  const time_point now = loop_->Now();
  // The peer sent no heartbeats while the link was idle, so that time does not
  // count as silence.
  if (now > peer_link.activity.ActiveUntil()) {
    for (const connection_pointer& each : peer_link.connections)
      each->last_received_at = now;
  }
  peer_link.activity.OnMessage(message, now);
}

void tcp_transport::OnHeartbeatTimer() {
  ReportDeferredLinkDowns();
  const time_point now = loop_->Now();
  // After a pause of this process, bytes from its peers may wait unread in the
  // sockets. They are read before the next check for silence.
  const bool late = now - next_heartbeat_ > settings_.heartbeat_interval;
  if (late)
    late_heartbeats_.Increment();
  next_heartbeat_ = now + settings_.heartbeat_interval;
  heartbeat_timer_ = loop_->RunAfter(settings_.heartbeat_interval,
                                     [this] { OnHeartbeatTimer(); });

  std::vector<connection_pointer> open_connections;
  open_connections.reserve(connections_.size());
  for (const auto& [key, each] : connections_)
    open_connections.push_back(each);
  fbs::envelopeT envelope = MakeEnvelope(observer_->MakeHeartbeat());
  fbs::heartbeatT& heartbeat = *envelope.body.Asheartbeat();
  for (const connection_pointer& each : open_connections) {
    if (each->closed)
      continue;
    const time_point active_until =
        each->hello_accepted && each->peer_link != nullptr
            ? each->peer_link->activity.ActiveUntil()
            : now;
    if (now - settings_.silence_timeout > active_until)
      continue;
    const bool silent =
        each->connected
            ? now - each->last_received_at > settings_.silence_timeout
            : now - each->opened_at > settings_.connect_timeout;
    if (silent && !late && now <= active_until) {
      CloseConnection(each, link_down_cause::kSilent);
      continue;
    }
    if (!each->hello_accepted)
      continue;
    heartbeat.counter = ++each->sent_heartbeats;
    heartbeat.echo = each->last_peer_heartbeat;
    if (const auto frame = encoder_.Encode(envelope))
      WriteFrame(*each, fbs::payload::heartbeat, *frame);
  }
}

}  // namespace skylarkhoist
