#ifndef TESTING_RAW_SOCKET_H_
#define TESTING_RAW_SOCKET_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkhoist {

// TCP socket for tests that send and read the bytes of a protocol themselves.
// Accept, writes and reads do not block. A failure to connect or listen aborts
// the test run, since it means that loopback does not work.
class raw_socket {
 public:
  raw_socket() = default;
  explicit raw_socket(int fd) : fd_(fd) {}
  raw_socket(raw_socket&& other) noexcept;
  raw_socket& operator=(raw_socket&& other) noexcept;
  ~raw_socket() { Close(); }

  static raw_socket ConnectTo(const std::string& address);
  // Returns a socket that listens on a loopback port chosen by the system.
  static raw_socket Listener();

  // Local address.
  std::string address() const;
  bool is_open() const { return fd_ >= 0; }

  // Accepts a pending connection. Without one, the result is not open.
  raw_socket Accept() const;

  // Makes each write leave at once as a segment of its own.
  void DisableNagle() const;

  // Sends all bytes; they must fit into the socket's send buffer.
  void Write(const std::string& bytes) const;

  // Sends as many bytes as fit into the socket's send buffer, and returns their
  // number; 0 on an error.
  size_t TryWrite(std::string_view bytes) const;

  // Reads all bytes that have been received.
  std::string Read();
  // True after Read has reached the end of the stream or failed.
  bool ended() const { return ended_; }

  void Close();
  // Closes the connection with a TCP reset.
  void Reset();

 private:
  int fd_ = -1;
  bool ended_ = false;
};

}  // namespace skylarkhoist

#endif  // TESTING_RAW_SOCKET_H_
