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
#include "wire/frame_packer.h"
#include "wire/peer_transport.h"

struct bufferevent;
struct evconnlistener;

namespace skylarkhoist {

struct tcp_transport_settings {
  // "ip:port" of the peer listener; port 0 lets the system choose.
  std::string listen_address;
  // Sent on each new connection. An empty `peer_address` is replaced by the
  // address that Listen bound.
  fbs::helloT hello;
  duration heartbeat_interval = std::chrono::milliseconds(250);
  // A connection of a link in use without a received byte for this long is
  // closed as silent.
  duration silence_limit = std::chrono::seconds(1);
  // A link is in use for this long after a message other than a heartbeat. Only
  // links in use are judged as silent. Heartbeats go on for the silence limit
  // after that, since the peer may have read the last message that much later.
  // Must be above `silence_limit` plus `heartbeat_interval`, or the loss of a
  // peer after a single message would go unnoticed. Gossip touches 12 random
  // links a second; a longer time would keep more of them beating.
  duration use_period = std::chrono::milliseconds(1500);
  // The same after a CallRequest: silence must be noticed while a call runs.
  duration call_use_period = std::chrono::seconds(30);
  duration connect_timeout = std::chrono::seconds(1);
  // Bytes that may wait on one link, including those that wait for its
  // connection. Above this bound the link is closed.
  size_t max_send_buffer = 32U << 20U;
  // Packs what goes to nodes of other zones, from the first call on, where the
  // peer can unpack it.
  bool pack_between_zones = false;
  // Connections that were accepted but have not said Hello.
  size_t max_unknown_connections = 4096;
};

// Peer links over TCP.
//
// Both ends send Hello first. A link is used in both directions, whichever side
// dialled. When both ends dial at the same time, the link has two connections:
// each end sends on the one that came up first for it, so messages stay in
// order, and the loss of either ends the link. Heartbeats reach the observer
// as messages; Hello does not.
//
// A link that is not in use stays open without heartbeats, so their cost
// follows the links in use and not the size of the fleet. A closed or refused
// connection is noticed at once as before; silence is noticed within the
// silence limit after the next message.
//
// OnLinkDown never runs inside Send: a link that Send closes is reported in the
// next round of the loop.
class tcp_transport : public peer_transport {
 public:
  tcp_transport(event_loop* loop,
                tcp_transport_settings settings,
                metrics* counters);
  ~tcp_transport() override;
  tcp_transport(const tcp_transport&) = delete;
  tcp_transport& operator=(const tcp_transport&) = delete;

  // Opens the peer listener. Call after Start.
  tl::expected<void, findings> Listen();

  // Address of the listener with the bound port.
  const std::string& listen_address() const { return bound_address_; }

  void Start(peer_observer* observer) override;
  void Send(const std::string& address, const fbs::envelopeT& message) override;

 private:
  struct connection;
  struct link;
  using connection_pointer = std::shared_ptr<connection>;
  using link_pointer = std::shared_ptr<link>;

  connection_pointer AddConnection(int fd);
  bool StartStream(connection& started);
  void Accept(int fd);
  link_pointer Dial(const std::string& address);
  void OnReadable(const connection_pointer& from);
  void OnEvent(const connection_pointer& from, short what);
  // Unpacks and decodes a payload that came on `from`.
  static tl::expected<std::optional<fbs::envelopeT>, frame_error>
  DecodePacked(connection& from, frame_header header, const uint8_t* payload);
  void OnFrameError(const connection_pointer& from, frame_error error);
  void HandleMessage(const connection_pointer& from,
                     const fbs::envelopeT& message);
  void HandleHello(const connection_pointer& from, const fbs::helloT& hello);
  void Refuse(const connection_pointer& from,
              const std::string& reason,
              const fbs::helloT& hello);
  static void Detach(const connection_pointer& from);
  static bool HasAccepted(const link& checked);
  void CloseConnection(const connection_pointer& closed, link_down_cause cause);
  void CloseLink(const link_pointer& closed,
                 link_down_cause cause,
                 bool deferred);
  void FlushReports();
  void Release(const connection_pointer& closed);
  // Writes a frame to a connection, packed where that is agreed.
  void Write(connection& to, const frame_encoder::frame& frame);
  // Starts or extends the use of a link.
  void Use(link& used, const fbs::envelopeT& message);
  void Beat();

  event_loop* loop_;
  tcp_transport_settings settings_;
  peer_observer* observer_ = nullptr;
  evconnlistener* listener_ = nullptr;
  std::string bound_address_;
  frame_encoder encoder_;
  timer_id beat_timer_ = 0;
  time_point next_beat_;
  std::unordered_map<connection*, connection_pointer> connections_;
  size_t unknown_connections_ = 0;
  std::unordered_map<std::string, link_pointer> links_;
  // Links that closed inside Send and were not reported yet.
  std::deque<std::pair<peer_info, link_down_cause>> reports_;
  timer_id report_timer_ = 0;
  timer_id accept_timer_ = 0;
  std::unordered_set<std::string> logged_refusals_;

  prometheus::Counter& frames_sent_;
  prometheus::Counter& frames_received_;
  prometheus::Counter& bytes_before_packing_;
  prometheus::Counter& bytes_packed_;
  prometheus::Counter& skipped_messages_;
  prometheus::Counter& oversized_sends_;
  prometheus::Counter& send_overflows_;
  prometheus::Counter& late_beats_;
  std::vector<prometheus::Counter*> frame_errors_;
  std::vector<prometheus::Counter*> links_down_;
  std::map<std::string, prometheus::Counter*> hello_refused_;
  prometheus::Gauge& open_links_;
};

}  // namespace skylarkhoist

#endif  // WIRE_TCP_TRANSPORT_H_
