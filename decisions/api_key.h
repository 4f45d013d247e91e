#ifndef DECISIONS_API_KEY_H_
#define DECISIONS_API_KEY_H_

#include <optional>
#include <string>
#include <string_view>

namespace skylarkhoist {

// Keys of callers: "skh_ID_SECRET". The ID (16 hex digits) names the key in
// settings, logs and counters. The SECRET (64 hex digits, 256 random bits) is
// known to its holder only; settings hold its SHA-256.

// A key as a caller presents it. There is no way to print one: log and count
// `id` only.
struct presented_key {
  std::string id;
  std::string secret;
};

// A key at the moment of its issue, the only time at which its text exists.
struct issued_key {
  std::string id;
  std::string secret_sha256;
  // To be handed to the holder once and kept nowhere.
  std::string text;
};

// Draws a new key from the random generator of OpenSSL. Returns nothing when
// the generator fails.
std::optional<issued_key> IssueKey();

// Reads the text of a key; nothing when it does not have the form of one.
std::optional<presented_key> ParseKey(std::string_view text);

// Lower-case hex.
std::string Sha256Hex(std::string_view data);

// True when the SHA-256 of `secret` is `expected_sha256` (lower-case hex). The
// time taken does not depend on where the two differ.
bool SecretMatches(std::string_view secret, std::string_view expected_sha256);

}  // namespace skylarkhoist

#endif  // DECISIONS_API_KEY_H_
