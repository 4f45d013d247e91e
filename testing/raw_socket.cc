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

void Require(bool condition, const char* what) {
  if (condition)
    return;
  std::perror(what);
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
  const auto target = ParseAddress(address);
  Require(target.has_value(), "address");
  raw_socket result(
      socket(target->storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0));
  Require(connect(result.fd_, target->get(), target->length) == 0, "connect");
  return result;
}

raw_socket raw_socket::Listener() {
  const auto any = ParseAddress("127.0.0.1:0");
  raw_socket result(
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  Require(bind(result.fd_, any->get(), any->length) == 0, "bind");
  Require(listen(result.fd_, SOMAXCONN) == 0, "listen");
  return result;
}

std::string raw_socket::address() const {
  return LocalAddressOf(fd_);
}

raw_socket raw_socket::Accept() const {
  return raw_socket(accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
}

void raw_socket::Write(const std::string& bytes) const {
  Require(TryWrite(bytes) == bytes.size() || errno != EAGAIN, "send");
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
    const auto got = recv(fd_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
      break;
    if (got <= 0)
      ended_ = true;
    else
      result.append(buffer.data(), static_cast<size_t>(got));
  }
  return result;
}

void raw_socket::Close() {
  if (fd_ >= 0)
    close(std::exchange(fd_, -1));
}

void raw_socket::Reset() {
  const linger now{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  Close();
}

}  // namespace skylarkhoist
