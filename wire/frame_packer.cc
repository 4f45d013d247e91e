#include "wire/frame_packer.h"

#include <algorithm>
#include <cstdlib>

#include "wire/little_endian.h"

namespace skylarkhoist {
namespace {

// 8 KiB of what was sent before hold about ten calls without their bodies. A
// link takes 48 KiB to pack and 16 KiB to unpack.
constexpr int kWindowBits = -13;
constexpr int kMemoryLevel = 5;

// Place and length of the body.
constexpr size_t kPrefixSize = 8;

// Output grows by this much at a time.
constexpr size_t kOutputStep = 1024;

}  // namespace

frame_packer::frame_packer() {
  if (deflateInit2(&stream_, Z_DEFAULT_COMPRESSION, Z_DEFLATED, kWindowBits,
                   kMemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK)
    std::abort();  // Out of memory.
}

frame_packer::~frame_packer() {
  deflateEnd(&stream_);
}

std::string frame_packer::Pack(const frame_encoder::frame& plain) {
  std::string packed(kFrameHeaderSize + kPrefixSize, '\0');
  auto* prefix = reinterpret_cast<uint8_t*>(packed.data()) + kFrameHeaderSize;
  WriteLittleEndian<uint32_t>(static_cast<uint32_t>(plain.body_at), prefix);
  WriteLittleEndian<uint32_t>(static_cast<uint32_t>(plain.body_size),
                              prefix + 4);
  packed.append(reinterpret_cast<const char*>(plain.payload) + plain.body_at,
                plain.body_size);
  const size_t after = plain.body_at + plain.body_size;
  Deflate(plain.payload, plain.body_at, Z_NO_FLUSH, &packed);
  Deflate(plain.payload + after, plain.size - after, Z_SYNC_FLUSH, &packed);
  const frame_header_bytes header = MakePackedHeader(
      plain.header, static_cast<uint32_t>(packed.size() - kFrameHeaderSize));
  std::copy(header.begin(), header.end(), packed.begin());
  return packed;
}

void frame_packer::Deflate(const uint8_t* bytes,
                           size_t size,
                           int flush,
                           std::string* to) {
  // zlib does not write to its input.
  stream_.next_in = const_cast<uint8_t*>(bytes);
  stream_.avail_in = static_cast<uInt>(size);
  do {
    const size_t used = to->size();
    to->resize(used + kOutputStep);
    stream_.next_out = reinterpret_cast<uint8_t*>(to->data()) + used;
    stream_.avail_out = kOutputStep;
    deflate(&stream_, flush);
    to->resize(to->size() - stream_.avail_out);
  } while (stream_.avail_out == 0);
}

frame_unpacker::frame_unpacker() {
  if (inflateInit2(&stream_, kWindowBits) != Z_OK)
    std::abort();  // Out of memory.
}

frame_unpacker::~frame_unpacker() {
  inflateEnd(&stream_);
}

tl::expected<std::vector<uint8_t>, frame_error> frame_unpacker::Unpack(
    const uint8_t* payload,
    size_t size) {
  if (size < kPrefixSize)
    return tl::unexpected(frame_error::kInvalidMessage);
  const size_t body_at = ReadLittleEndian<uint32_t>(payload);
  const size_t body_size = ReadLittleEndian<uint32_t>(payload + 4);
  if (body_size > size - kPrefixSize)
    return tl::unexpected(frame_error::kInvalidMessage);
  const uint8_t* body = payload + kPrefixSize;
  std::vector<uint8_t> plain;
  if (!Inflate(body + body_size, size - kPrefixSize - body_size, &plain) ||
      body_at > plain.size() || plain.size() + body_size > kMaxFramePayload)
    return tl::unexpected(frame_error::kInvalidMessage);
  plain.insert(plain.begin() + static_cast<std::ptrdiff_t>(body_at), body,
               body + body_size);
  return plain;
}

bool frame_unpacker::Inflate(const uint8_t* bytes,
                             size_t size,
                             std::vector<uint8_t>* to) {
  stream_.next_in = const_cast<uint8_t*>(bytes);
  stream_.avail_in = static_cast<uInt>(size);
  do {
    const size_t used = to->size();
    if (used > kMaxFramePayload)
      return false;
    to->resize(used + kOutputStep);
    stream_.next_out = to->data() + used;
    stream_.avail_out = kOutputStep;
    const int result = inflate(&stream_, Z_SYNC_FLUSH);
    to->resize(to->size() - stream_.avail_out);
    // Z_BUF_ERROR: the input ended where the output was full.
    if (result != Z_OK && result != Z_BUF_ERROR)
      return false;
  } while (stream_.avail_out == 0);
  return stream_.avail_in == 0;
}

}  // namespace skylarkhoist
