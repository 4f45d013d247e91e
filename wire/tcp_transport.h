#ifndef WIRE_TCP_TRANSPORT_H_
#define WIRE_TCP_TRANSPORT_H_

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "kernel/event_loop.h"
#include "kernel/findings.h"
#include "kernel/metrics.h"
#include "wire/frame.h"
#include "wire/frame_compressor.h"
#include "wire/link_activity.h"
#include "wire/peer_traffic_counters.h"
#include "wire/peer_transport.h"

struct bufferevent;
struct evconnlistener;

namespace skylarkhoist {

struct tcp_transport_settings {
  // "ip:port" of the peer listener; the system chooses the port when it is 0.
  std::string listen_address;
  // Sent on each new connection. An empty `peer_address` is replaced by the
  // address that Listen bound.
  fbs::helloT hello;
  duration heartbeat_interval = std::chrono::milliseconds(250);
  // A connection of an active link on which no byte was received for this long
  // is closed as silent.
  duration silence_timeout = std::chrono::seconds(1);
  // Which links are active. Only these are checked for silence. Heartbeats
  // continue for the silence timeout after that, since the peer may have
  // received the last message that much later. `message_period` must be longer
  // than the silence timeout plus `heartbeat_interval`; otherwise the loss of a
  // peer after a single message is not noticed. Gossip sends on 12 random links
  // a second, so a longer period keeps more links sending heartbeats.
  link_activity_options activity;
  // Links to nodes of the own zone are always active.
  bool watch_own_zone = false;
  duration connect_timeout = std::chrono::seconds(1);
  // Bytes that may wait on one link, also before its connection is established.
  // A link that would exceed this is closed.
  size_t max_send_buffer_size = 32U << 20U;
  // Compresses frames to nodes of other zones, from the first call or answer
  // on, when the peer can decompress them.
  bool compress_between_zones = false;
  // Accepted connections that have not sent a valid Hello. Further connections
  // are closed at once.
  size_t max_pending_handshakes = 4096;
};

// Peer links over TCP.
//
// Each end sends Hello first. A link is used in both directions, whichever end
// connected. When both ends connect at the same time, the link has two
// connections: each end sends on the one that was ready first at this end, so
// messages stay in order, and the loss of either connection ends the link.
// Heartbeats are passed to the observer as messages; Hello is not.
//
// An idle link stays open without heartbeats, so the cost of heartbeats grows
// with the number of active links and not with the number of nodes. On an idle
// link, a closed or refused connection is still noticed at once; silence is
// noticed within the silence timeout after the next message.
//
// OnLinkDown is never called inside Send: a link that Send closes is reported
// in the next iteration of the event loop.
class tcp_transport : public peer_transport {
 public:
  tcp_transport(event_loop* loop,
                tcp_transport_settings settings,
                metrics* counters);
  ~tcp_transport() override;
  tcp_transport(const tcp_transport&) = delete;
  tcp_transport& operator=(const tcp_transport&) = delete;

  // Opens the peer listener. Must be called after Start.
  tl::expected<void, findings> Listen();

  // Address of the peer listener with the bound port.
  const std::string& listen_address() const { return bound_address_; }

  void Start(peer_observer* observer) override;
  void Send(const std::string& address, const fbs::envelopeT& message) override;

 private:
  struct connection;
  struct link;
  using connection_pointer = std::shared_ptr<connection>;
  using link_pointer = std::shared_ptr<link>;

  connection_pointer AddConnection(int fd);
  bool StartHandshake(connection& conn);
  void Accept(int fd);
  link_pointer OpenLink(const std::string& address);
  void OnReadable(const connection_pointer& conn);
  void OnEvent(const connection_pointer& conn, short events);
  // Decompresses and decodes a payload that was received on `conn`.
  static tl::expected<std::optional<fbs::envelopeT>, frame_error>
  DecodeCompressed(connection& conn,
                   frame_header header,
                   const uint8_t* payload);
  void OnFrameError(const connection_pointer& conn, frame_error error);
  void HandleMessage(const connection_pointer& conn,
                     const fbs::envelopeT& message);
  void HandleHello(const connection_pointer& conn, const fbs::helloT& hello);
  void RefuseHello(const connection_pointer& conn,
                   const std::string& reason,
                   const fbs::helloT& hello);
  static void DetachFromLink(const connection_pointer& conn);
  static bool HasAcceptedConnection(const link& peer_link);
  void CloseConnection(const connection_pointer& conn, link_down_cause cause);
  void CloseLink(const link_pointer& peer_link,
                 link_down_cause cause,
                 bool deferred);
  void ReportDeferredLinkDowns();
  void ReleaseConnection(const connection_pointer& conn);
  // Writes a frame to a connection, compressed if the connection has a
  // compressor.
  void WriteFrame(connection& conn,
                  fbs::payload type,
                  const frame_encoder::frame& frame);
  // Makes a link active, or keeps it active for longer, because of `message`.
  void RecordActivity(link& peer_link, const fbs::envelopeT& message);
  void OnHeartbeatTimer();

  event_loop* loop_;
  tcp_transport_settings settings_;
  peer_observer* observer_ = nullptr;
  evconnlistener* listener_ = nullptr;
  std::string bound_address_;
  frame_encoder encoder_;
  timer_id heartbeat_timer_ = 0;
  time_point next_heartbeat_;
  std::unordered_map<connection*, connection_pointer> connections_;
  size_t pending_handshakes_ = 0;
  std::unordered_map<std::string, link_pointer> links_;
  // Links that were closed inside Send and whose OnLinkDown is still to be
  // called.
  std::deque<std::pair<peer_info, link_down_cause>> deferred_link_downs_;
  timer_id link_down_timer_ = 0;
  timer_id accept_retry_timer_ = 0;
  std::unordered_set<std::string> logged_hello_refusals_;

  peer_traffic_counters traffic_;
  prometheus::Counter& frames_sent_;
  prometheus::Counter& frames_received_;
  prometheus::Counter& bytes_before_compression_;
  prometheus::Counter& bytes_after_compression_;
  prometheus::Counter& skipped_messages_;
  prometheus::Counter& oversized_sends_;
  prometheus::Counter& send_overflows_;
  prometheus::Counter& late_heartbeats_;
  std::vector<prometheus::Counter*> frame_errors_;
  std::vector<prometheus::Counter*> links_down_;
  std::map<std::string, prometheus::Counter*> hello_refused_;
  prometheus::Gauge& open_links_;
};

}  // namespace skylarkhoist

#endif  // WIRE_TCP_TRANSPORT_H_
