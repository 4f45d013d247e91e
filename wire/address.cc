#include "wire/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <charconv>

namespace skylarkhoist {
namespace {

std::optional<host_and_port> ToHostAndPort(const sockaddr* address) {
  std::array<char, INET6_ADDRSTRLEN> host{};
  const void* ip = nullptr;
  uint16_t port = 0;
  if (address->sa_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(address);
    ip = &v4->sin_addr;
    port = ntohs(v4->sin_port);
  } else if (address->sa_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(address);
    ip = &v6->sin6_addr;
    port = ntohs(v6->sin6_port);
  } else {
    return std::nullopt;
  }
  if (inet_ntop(address->sa_family, ip, host.data(), host.size()) == nullptr)
    return std::nullopt;
  return host_and_port{host.data(), port};
}

}  // namespace

std::optional<socket_address> ParseAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos)
    return std::nullopt;
  uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  socket_address address;
  if (colon >= 2 && text.front() == '[' && text[colon - 1] == ']') {
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(port);
    address.length = sizeof(*v6);
    const std::string host = text.substr(1, colon - 2);
    if (inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) != 1)
      return std::nullopt;
  } else {
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
    v4->sin_family = AF_INET;
    v4->sin_port = htons(port);
    address.length = sizeof(*v4);
    const std::string host = text.substr(0, colon);
    if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) != 1)
      return std::nullopt;
  }
  return address;
}

bool IsConnectable(const std::string& text) {
  const auto address = SplitAddress(text);
  return address && address->port != 0;
}

std::optional<host_and_port> SplitAddress(const std::string& text) {
  const auto address = ParseAddress(text);
  if (!address)
    return std::nullopt;
  return ToHostAndPort(address->get());
}

std::string LocalAddressOf(int fd) {
  socket_address address;
  address.length = sizeof(address.storage);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&address.storage),
                  &address.length) != 0)
    return {};
  const auto parts = ToHostAndPort(address.get());
  if (!parts)
    return {};
  const std::string port = std::to_string(parts->port);
  if (address.storage.ss_family == AF_INET6)
    return "[" + parts->host + "]:" + port;
  return parts->host + ":" + port;
}

void DisableNagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void EnableKeepAlive(int fd) {
  constexpr int kOn = 1;
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kMaxProbes = 2;
  constexpr unsigned kUserTimeoutMilliseconds = 3000;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &kOn, sizeof(kOn));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds,
             sizeof(kIdleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds,
             sizeof(kIntervalSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kMaxProbes, sizeof(kMaxProbes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMilliseconds,
             sizeof(kUserTimeoutMilliseconds));
}

}  // namespace skylarkhoist
