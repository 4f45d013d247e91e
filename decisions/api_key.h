#ifndef DECISIONS_API_KEY_H_
#define DECISIONS_API_KEY_H_

#include <optional>
#include <string>
#include <string_view>

namespace skylarkhoist {

// API keys that callers authenticate with have the form "skh_ID_SECRET". ID (16
// hex digits) identifies the key in settings, logs and counters. SECRET (64 hex
// digits, 256 random bits) is known only to the holder of the key; settings
// contain its SHA-256.

// A key as a caller presents it. It deliberately cannot be converted to text:
// log and count `id` only.
struct presented_key {
  std::string id;
  std::string secret;
};

// A newly issued key. Its full text exists only here and is not stored.
struct issued_key {
  std::string id;
  std::string secret_sha256;
  // Shown once to the person who gets the key; never stored or logged.
  std::string text;
};

// Generates a key with the random number generator of OpenSSL. Returns nullopt
// when the generator fails.
std::optional<issued_key> IssueKey();

// Parses "skh_ID_SECRET". Returns nullopt for any other form.
std::optional<presented_key> ParseKey(std::string_view text);

// SHA-256 of `data` in lower-case hex, or an empty string when OpenSSL fails.
std::string Sha256Hex(std::string_view data);

// True when the SHA-256 of `secret` is `expected_sha256` (lower-case hex).
// Compares in constant time.
bool SecretMatches(std::string_view secret, std::string_view expected_sha256);

}  // namespace skylarkhoist

#endif  // DECISIONS_API_KEY_H_
