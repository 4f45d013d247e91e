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

// Parses "ip:port", for example "127.0.0.1:7000" or "[::1]:7000". Returns
// nullopt unless the text is a numeric IP address followed by a port.
std::optional<socket_address> ParseAddress(const std::string& text);

// Returns whether the text is an address that can be connected to: one that
// ParseAddress accepts, with a port other than 0.
bool IsConnectable(const std::string& text);

// A numeric IP address, without brackets, and a port, as evhttp takes them.
struct host_and_port {
  std::string host;
  uint16_t port = 0;
};

// Splits "ip:port". Accepts what ParseAddress accepts.
std::optional<host_and_port> SplitAddress(const std::string& text);

// Returns "ip:port" of the local end of the socket `fd`, or an empty string on
// failure.
std::string LocalAddressOf(int fd);

// Disables Nagle's algorithm, so that small segments are sent at once. Errors
// are ignored, since they only cost latency.
void DisableNagle(int fd);

// Enables TCP keep-alive and a limit on unacknowledged data, so that the kernel
// closes the connection within a few seconds after the other end stops
// responding. Errors are ignored, since they only delay the detection.
void EnableKeepAlive(int fd);

}  // namespace skylarkhoist

#endif  // WIRE_ADDRESS_H_
