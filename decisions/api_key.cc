#include "decisions/api_key.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>

namespace skylarkhoist {
namespace {

constexpr std::string_view kKeyPrefix = "skh_";
constexpr size_t kIdHexDigits = 16;
constexpr size_t kSecretHexDigits = 64;

std::string ToHex(const unsigned char* data, size_t size) {
  static constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string text;
  text.reserve(size * 2);
  for (size_t i = 0; i < size; ++i) {
    text += kHexDigits[data[i] >> 4];
    text += kHexDigits[data[i] & 15];
  }
  return text;
}

bool IsHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

}  // namespace

std::optional<issued_key> IssueKey() {
  std::array<unsigned char, (kIdHexDigits + kSecretHexDigits) / 2> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
    return std::nullopt;
  const std::string digits = ToHex(bytes.data(), bytes.size());
  issued_key key;
  key.id = digits.substr(0, kIdHexDigits);
  const std::string secret = digits.substr(kIdHexDigits);
  key.secret_sha256 = Sha256Hex(secret);
  key.text = std::string(kKeyPrefix) + key.id + "_" + secret;
  return key;
}

std::optional<presented_key> ParseKey(std::string_view text) {
  if (text.size() != kKeyPrefix.size() + kIdHexDigits + 1 + kSecretHexDigits ||
      text.substr(0, kKeyPrefix.size()) != kKeyPrefix ||
      text[kKeyPrefix.size() + kIdHexDigits] != '_')
    return std::nullopt;
  const std::string_view id = text.substr(kKeyPrefix.size(), kIdHexDigits);
  const std::string_view secret =
      text.substr(kKeyPrefix.size() + kIdHexDigits + 1);
  if (!IsHex(id) || !IsHex(secret))
    return std::nullopt;
  return presented_key{std::string(id), std::string(secret)};
}

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1)
    return {};
  return ToHex(digest.data(), size);
}

bool SecretMatches(std::string_view secret, std::string_view expected_sha256) {
  const std::string actual = Sha256Hex(secret);
  return !actual.empty() && actual.size() == expected_sha256.size() &&
         CRYPTO_memcmp(actual.data(), expected_sha256.data(), actual.size()) ==
             0;
}

}  // namespace skylarkhoist
