#ifndef WIRE_PEER_TRANSPORT_H_
#define WIRE_PEER_TRANSPORT_H_

#include <cstdint>
#include <string>

#include "wire/messages_generated.h"

namespace skylarkhoist {

// The other end of a peer link, as its Hello describes it.
struct peer_info {
  // Address of its peer listener, "ip:port". Identifies the machine's slot.
  std::string address;
  std::string node;
  std::string zone;
  // Identifies one run of the process at that address.
  uint64_t incarnation = 0;
};

enum class link_down_cause {
  // The connection was refused: no process listens at the address.
  kRefused,
  kClosed,
  // No heartbeat in time.
  kSilent,
  kDamagedFrame,
  kIncompatible,
  // A new incarnation said Hello at the same address.
  kReplaced,
};

// Receives what happens on all links of a node.
class peer_observer {
 public:
  virtual ~peer_observer() = default;
  virtual void OnPeerMessage(const peer_info& from,
                             const fbs::envelopeT& message) = 0;
  virtual void OnLinkUp(const peer_info& peer) = 0;
  // `peer.incarnation` is 0 when the link never came up.
  virtual void OnLinkDown(const peer_info& peer, link_down_cause cause) = 0;
  // Content of the heartbeats that the transport sends.
  virtual fbs::heartbeatT MakeHeartbeat() = 0;
};

// Links between nodes. A link opens on the first Send to its address and is
// kept alive by heartbeats; a silent link is closed and reported. Messages on
// one link arrive in order, each at most once; a message may be lost when its
// link goes down.
class peer_transport {
 public:
  virtual ~peer_transport() = default;

  // Must be called once before any other function.
  virtual void Start(peer_observer* observer) = 0;

  // Sends `message` to the node at `address`, after a connection is made if
  // need be. Messages that wait for a connection are dropped when it fails;
  // OnLinkDown follows then.
  virtual void Send(const std::string& address,
                    const fbs::envelopeT& message) = 0;
};

// Wraps a table in an envelope: transport.Send(address,
// Envelope(std::move(answer))).
template <typename table>
fbs::envelopeT Envelope(table value) {
  fbs::envelopeT envelope;
  envelope.body.Set(std::move(value));
  return envelope;
}

}  // namespace skylarkhoist

#endif  // WIRE_PEER_TRANSPORT_H_
