#ifndef WIRE_ADDRESS_H_
#define WIRE_ADDRESS_H_

#include <sys/socket.h>

#include <optional>
#include <string>

namespace skylarkhoist {

struct socket_address {
  sockaddr_storage storage{};
  socklen_t length = 0;

  const sockaddr* get() const {
    return reinterpret_cast<const sockaddr*>(&storage);
  }
};

// Reads "ip:port", for example "127.0.0.1:7000" or "[::1]:7000". Returns
// nothing when the text is not a numeric address with a port.
std::optional<socket_address> ParseAddress(const std::string& text);

// Splits "ip:port" into the parts that evhttp takes; the address has no
// brackets.
struct host_and_port {
  std::string host;
  uint16_t port = 0;
};
std::optional<host_and_port> SplitAddress(const std::string& text);

// "ip:port" of the local end of `fd`; empty on failure.
std::string LocalAddressOf(int fd);

// Sends small segments at once. Failure only costs latency, so it is ignored.
void DisableNagle(int fd);

// Has the kernel end the connection within some seconds after the other end
// has fallen silent. Failure only delays the discovery, so it is ignored.
void EnableKeepAlive(int fd);

}  // namespace skylarkhoist

#endif  // WIRE_ADDRESS_H_
