#ifndef TESTING_FAULT_PROXY_H_
#define TESTING_FAULT_PROXY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "kernel/event_loop.h"

struct bufferevent;
struct evconnlistener;

namespace skylarkhoist {

enum class proxy_fault {
  kNone,
  // Bytes arrive late.
  kDelay,
  // Bytes are taken and go nowhere, in both directions.
  kSilent,
  // Only bytes from the target are lost.
  kOneWay,
};

// A TCP proxy on loopback that harms the connections which pass through it.
//
//   fault_proxy proxy(&loop, "127.1.0.1:0", "127.0.0.1:7000");
//   proxy.SetFault(proxy_fault::kSilent);
//   proxy.Reset();   // ends all connections with a reset
class fault_proxy {
 public:
  // Ends the process when `listen_address` cannot be bound.
  fault_proxy(event_loop* loop,
              const std::string& listen_address,
              std::string target);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  const std::string& address() const { return address_; }

  // Holds for the bytes of all connections, old and new. Bytes that a fault
  // took are not delivered later; their connections stay broken.
  void SetFault(proxy_fault fault) { fault_ = fault; }
  void Reset();

 private:
  struct pair;

  void Accept(int fd);
  void Relay(pair* from, bool from_target);
  void End(uint64_t number);

  event_loop* loop_;
  std::string target_;
  std::string address_;
  evconnlistener* listener_ = nullptr;
  proxy_fault fault_ = proxy_fault::kNone;
  uint64_t next_ = 1;
  std::map<uint64_t, std::unique_ptr<pair>> pairs_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // TESTING_FAULT_PROXY_H_
