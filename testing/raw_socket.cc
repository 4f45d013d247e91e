#include "testing/raw_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "wire/address.h"

namespace skylarkhoist {
namespace {

void AbortUnless(bool condition, const char* operation) {
  if (condition)
    return;
  std::perror(operation);
  std::abort();
}

}  // namespace

raw_socket::raw_socket(raw_socket&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)), ended_(other.ended_) {}

raw_socket& raw_socket::operator=(raw_socket&& other) noexcept {
  if (this != &other) {
    Close();
    fd_ = std::exchange(other.fd_, -1);
    ended_ = other.ended_;
  }
  return *this;
}

raw_socket raw_socket::ConnectTo(const std::string& address) {
  const auto parsed_address = ParseAddress(address);
  AbortUnless(parsed_address.has_value(), "parse address");
  raw_socket result(
      socket(parsed_address->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
  AbortUnless(
      connect(result.fd_, parsed_address->get(), parsed_address->length) == 0,
      "connect");
  return result;
}

raw_socket raw_socket::Listener() {
  const auto any_port = ParseAddress("127.0.0.1:0");
  raw_socket result(
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  AbortUnless(bind(result.fd_, any_port->get(), any_port->length) == 0, "bind");
  AbortUnless(listen(result.fd_, SOMAXCONN) == 0, "listen");
  return result;
}

std::string raw_socket::address() const {
  return LocalAddressOf(fd_);
}

raw_socket raw_socket::Accept() const {
  return raw_socket(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
}

void raw_socket::DisableNagle() const {
  skylarkhoist::DisableNagle(fd_);
}

void raw_socket::Write(const std::string& bytes) const {
  AbortUnless(TryWrite(bytes) == bytes.size() || errno != EAGAIN, "send");
}

size_t raw_socket::TryWrite(std::string_view bytes) const {
  const auto sent =
      send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  return sent < 0 ? 0 : static_cast<size_t>(sent);
}

std::string raw_socket::Read() {
  std::string result;
  std::array<char, 65536> buffer;
  while (!ended_) {
    const auto received = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    if (received <= 0)
      ended_ = true;
    else
      result.append(buffer.data(), static_cast<size_t>(received));
  }
  return result;
}

void raw_socket::Close() {
  if (fd_ >= 0)
    close(std::exchange(fd_, -1));
}

void raw_socket::Reset() {
  const linger reset_on_close{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close,
             sizeof(reset_on_close));
  Close();
}

}  // namespace skylarkhoist
