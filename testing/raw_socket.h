#ifndef TESTING_RAW_SOCKET_H_
#define TESTING_RAW_SOCKET_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkhoist {

// Non-blocking TCP socket for tests that speak a protocol byte by byte. Errors
// end the test run, since they mean that loopback does not work.
class raw_socket {
 public:
  raw_socket() = default;
  explicit raw_socket(int fd) : fd_(fd) {}
  raw_socket(raw_socket&& other) noexcept;
  raw_socket& operator=(raw_socket&& other) noexcept;
  ~raw_socket() { Close(); }

  static raw_socket ConnectTo(const std::string& address);
  // Listens on a port that the system chooses.
  static raw_socket Listener();

  // Address of this end.
  std::string address() const;
  bool open() const { return fd_ >= 0; }

  // Takes a connection that waits; not open when none does.
  raw_socket Accept() const;

  // Sends all bytes; they must fit into the socket's buffer.
  void Write(const std::string& bytes) const;

  // Sends what the socket's buffer takes; returns how many bytes that is.
  size_t TryWrite(std::string_view bytes) const;

  // Reads what is there without waiting.
  std::string Read();
  // True after Read met the end of the stream or an error.
  bool ended() const { return ended_; }

  void Close();
  // Closes with a reset.
  void Reset();

 private:
  int fd_ = -1;
  bool ended_ = false;
};

}  // namespace skylarkhoist

#endif  // TESTING_RAW_SOCKET_H_
