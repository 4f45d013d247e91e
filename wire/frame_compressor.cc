#include "wire/frame_compressor.h"

#include <algorithm>
#include <cstdlib>

#include "wire/little_endian.h"

namespace skylarkhoist {
namespace {

// zlib parameters: raw deflate (negative window bits) with a window of 8 KiB,
// which holds about ten calls without their bodies. A connection takes 48 KiB
// to compress and 16 KiB to decompress.
constexpr int kWindowBits = -13;
constexpr int kMemoryLevel = 5;

// Offset and length of the body.
constexpr size_t kBodyPrefixSize = 8;

// The output buffer grows by this many bytes at a time.
constexpr size_t kOutputGrowthSize = 1024;

}  // namespace

frame_compressor::frame_compressor() {
  if (deflateInit2(&stream_, Z_DEFAULT_COMPRESSION, Z_DEFLATED, kWindowBits,
                   kMemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK)
    std::abort();  // Out of memory.
}

frame_compressor::~frame_compressor() {
  deflateEnd(&stream_);
}

std::string frame_compressor::Compress(
    const frame_encoder::frame& uncompressed) {
  std::string compressed(kFrameHeaderSize + kBodyPrefixSize, '\0');
  auto* prefix =
      reinterpret_cast<uint8_t*>(compressed.data()) + kFrameHeaderSize;
  WriteLittleEndian<uint32_t>(static_cast<uint32_t>(uncompressed.body_offset),
                              prefix);
  WriteLittleEndian<uint32_t>(static_cast<uint32_t>(uncompressed.body_size),
                              prefix + 4);
  compressed.append(reinterpret_cast<const char*>(uncompressed.payload) +
                        uncompressed.body_offset,
                    uncompressed.body_size);
  const size_t body_end = uncompressed.body_offset + uncompressed.body_size;
  Deflate(uncompressed.payload, uncompressed.body_offset, Z_NO_FLUSH,
          &compressed);
  Deflate(uncompressed.payload + body_end, uncompressed.payload_size - body_end,
          Z_SYNC_FLUSH, &compressed);
  const frame_header_bytes header = MakeCompressedFrameHeader(
      uncompressed.header,
      static_cast<uint32_t>(compressed.size() - kFrameHeaderSize));
  std::copy(header.begin(), header.end(), compressed.begin());
  return compressed;
}

void frame_compressor::Deflate(const uint8_t* bytes,
                               size_t size,
                               int flush,
                               std::string* output) {
  // zlib does not write to its input.
  stream_.next_in = const_cast<uint8_t*>(bytes);
  stream_.avail_in = static_cast<uInt>(size);
  do {
    const size_t used_size = output->size();
    output->resize(used_size + kOutputGrowthSize);
    stream_.next_out = reinterpret_cast<uint8_t*>(output->data()) + used_size;
    stream_.avail_out = kOutputGrowthSize;
    deflate(&stream_, flush);
    output->resize(output->size() - stream_.avail_out);
  } while (stream_.avail_out == 0);
}

frame_decompressor::frame_decompressor() {
  if (inflateInit2(&stream_, kWindowBits) != Z_OK)
    std::abort();  // Out of memory.
}

frame_decompressor::~frame_decompressor() {
  inflateEnd(&stream_);
}

tl::expected<std::vector<uint8_t>, frame_error> frame_decompressor::Decompress(
    const uint8_t* payload,
    size_t size) {
  if (size < kBodyPrefixSize)
    return tl::unexpected(frame_error::kInvalidMessage);
  const size_t body_offset = ReadLittleEndian<uint32_t>(payload);
  const size_t body_size = ReadLittleEndian<uint32_t>(payload + 4);
  if (body_size > size - kBodyPrefixSize)
    return tl::unexpected(frame_error::kInvalidMessage);
  const uint8_t* body = payload + kBodyPrefixSize;
  std::vector<uint8_t> uncompressed;
  if (!Inflate(body + body_size, size - kBodyPrefixSize - body_size,
               &uncompressed) ||
      body_offset > uncompressed.size() ||
      uncompressed.size() + body_size > kMaxFramePayloadSize)
    return tl::unexpected(frame_error::kInvalidMessage);
  uncompressed.insert(
      uncompressed.begin() + static_cast<std::ptrdiff_t>(body_offset), body,
      body + body_size);
  return uncompressed;
}

bool frame_decompressor::Inflate(const uint8_t* bytes,
                                 size_t size,
                                 std::vector<uint8_t>* output) {
  stream_.next_in = const_cast<uint8_t*>(bytes);
  stream_.avail_in = static_cast<uInt>(size);
  do {
    const size_t used_size = output->size();
    if (used_size > kMaxFramePayloadSize)
      return false;
    output->resize(used_size + kOutputGrowthSize);
    stream_.next_out = output->data() + used_size;
    stream_.avail_out = kOutputGrowthSize;
    const int result = inflate(&stream_, Z_SYNC_FLUSH);
    output->resize(output->size() - stream_.avail_out);
    // Z_BUF_ERROR is no fault: the input ended exactly when the output buffer
    // was full.
    if (result != Z_OK && result != Z_BUF_ERROR)
      return false;
  } while (stream_.avail_out == 0);
  return stream_.avail_in == 0;
}

}  // namespace skylarkhoist
