#ifndef WIRE_PEER_TRANSPORT_H_
#define WIRE_PEER_TRANSPORT_H_

#include <cstdint>
#include <string>

#include "wire/messages_generated.h"

namespace skylarkhoist {

// Versions of the protocol between nodes, see hello in messages.fbs.
constexpr uint16_t kMinPeerProtocol = 0;
constexpr uint16_t kZoneViewProtocol = 1;
constexpr uint16_t kMaxPeerProtocol = kZoneViewProtocol;

// The node at the other end of a link, as described by its Hello message.
struct peer_info {
  // Address of its peer listener, "ip:port". Stays the same when the process at
  // this address restarts.
  std::string address;
  std::string node;
  std::string zone;
  // Identifies one run of the process at `address`.
  uint64_t incarnation = 0;
  // Highest version of the protocol that both ends support.
  uint16_t protocol = kMaxPeerProtocol;
};

enum class link_down_cause {
  // The connection was refused: no process listens at the address.
  kRefused,
  kClosed,
  // No byte was received within the timeout, or the connection was not
  // established in time.
  kSilent,
  // A received frame was not valid, for example because of its checksum.
  kDamagedFrame,
  // The frame version is not supported, or Hello was refused.
  kIncompatible,
  // A new incarnation sent Hello from the same address.
  kReplaced,
};

// Receives the messages and state changes of all links of a node.
class peer_observer {
 public:
  virtual ~peer_observer() = default;
  virtual void OnPeerMessage(const peer_info& from,
                             const fbs::envelopeT& message) = 0;
  // Like OnPeerMessage, for a message that nothing else uses. Large bodies can
  // be moved out of it.
  virtual void OnOwnedPeerMessage(const peer_info& from,
                                  fbs::envelopeT&& message) {
    OnPeerMessage(from, message);
  }
  virtual void OnLinkUp(const peer_info& peer) = 0;
  // `peer.incarnation` is 0 when the link was never up.
  virtual void OnLinkDown(const peer_info& peer, link_down_cause cause) = 0;
  // Returns the content of the heartbeats that the transport sends. The
  // transport sets `counter` and `echo`.
  virtual fbs::heartbeatT MakeHeartbeat() = 0;
};

// Sends messages over links between nodes. A link opens on the first Send to
// its address and is checked by heartbeats; a link without received bytes is
// closed and reported. Messages on one link arrive in order, each at most once.
// Messages may be lost when their link goes down.
class peer_transport {
 public:
  virtual ~peer_transport() = default;

  // Must be called once before any other function.
  virtual void Start(peer_observer* observer) = 0;

  // Sends `message` to the node at `address`, and connects to it first when no
  // link is open. Messages that wait for a connection are dropped when it
  // fails; OnLinkDown is called then.
  virtual void Send(const std::string& address,
                    const fbs::envelopeT& message) = 0;
  // Like Send, but need not copy the message.
  virtual void SendOwned(const std::string& address, fbs::envelopeT&& message) {
    Send(address, message);
  }
};

// Wraps a message table in an envelope:
//
//   transport.Send(address, MakeEnvelope(std::move(answer)));
template <typename table>
fbs::envelopeT MakeEnvelope(table value) {
  fbs::envelopeT envelope;
  envelope.body.Set(std::move(value));
  return envelope;
}

}  // namespace skylarkhoist

#endif  // WIRE_PEER_TRANSPORT_H_
