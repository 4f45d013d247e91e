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
  // Bytes are relayed after a delay.
  kDelay,
  // Bytes of both directions are read and discarded.
  kDiscardAll,
  // Bytes from the upstream are discarded; bytes to it are relayed.
  kDiscardFromUpstream,
};

// A TCP proxy that injects faults into the connections from its clients to one
// upstream address.
//
//   fault_proxy proxy(&loop, "127.1.0.1:0", "127.0.0.1:7000");
//   proxy.SetFault(proxy_fault::kDiscardAll);
//   proxy.Reset();   // closes all connections with a TCP reset
class fault_proxy {
 public:
  // Aborts the process when `listen_address` cannot be bound.
  fault_proxy(event_loop* loop,
              const std::string& listen_address,
              std::string upstream_address);
  ~fault_proxy();
  fault_proxy(const fault_proxy&) = delete;
  fault_proxy& operator=(const fault_proxy&) = delete;

  const std::string& address() const { return address_; }

  // Applies to all connections, open and new. Discarded bytes are not relayed
  // later, so a connection that lost some stays broken after the fault.
  void SetFault(proxy_fault fault) { fault_ = fault; }
  void Reset();

 private:
  struct proxied_connection;

  void Accept(int fd);
  void Relay(proxied_connection* connection, bool from_upstream);
  void CloseAfterRelay(uint64_t id);

  event_loop* loop_;
  std::string upstream_address_;
  std::string address_;
  evconnlistener* listener_ = nullptr;
  proxy_fault fault_ = proxy_fault::kNone;
  uint64_t next_id_ = 1;
  std::map<uint64_t, std::unique_ptr<proxied_connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace skylarkhoist

#endif  // TESTING_FAULT_PROXY_H_
