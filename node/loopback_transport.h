#ifndef NODE_LOOPBACK_TRANSPORT_H_
#define NODE_LOOPBACK_TRANSPORT_H_

#include <memory>
#include <string>

#include "kernel/loop.h"
#include "wire/peer_transport.h"

namespace skylarkhoist {

// Delivers messages that a node sends to itself through the event loop and
// passes all others to the underlying transport, so that the roles need no
// special case for a target on their own machine.
class loopback_transport : public peer_transport {
 public:
  loopback_transport(loop* loop, peer_transport* underlying, peer_info self)
      : loop_(loop), underlying_(underlying), self_(std::move(self)) {}

  // Reports the link to itself before any other event.
  void Start(peer_observer* observer) override {
    observer_ = observer;
    underlying_->Start(observer);
    observer_->OnLinkUp(self_);
  }

  void Send(const std::string& address,
            const fbs::envelopeT& message) override {
    if (address != self_.address) {
      underlying_->Send(address, message);
      return;
    }
    SendOwned(address, fbs::envelopeT(message));
  }

  void SendOwned(const std::string& address,
                 fbs::envelopeT&& message) override {
    if (address != self_.address) {
      underlying_->SendOwned(address, std::move(message));
      return;
    }
    loop_->RunAfter(
        duration::zero(),
        [this, alive = std::weak_ptr<bool>(alive_),
         own = std::make_shared<fbs::envelopeT>(std::move(message))] {
          if (!alive.expired())
            observer_->OnOwnedPeerMessage(self_, std::move(*own));
        });
  }

 private:
  loop* loop_;
  peer_transport* underlying_;
  peer_info self_;
  peer_observer* observer_ = nullptr;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // NODE_LOOPBACK_TRANSPORT_H_
