#include "decisions/api_key.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(api_key){};

TEST(api_key, IssuedKeyMatchesItsHash) {
  const auto key = IssueKey();
  CHECK_TRUE(key.has_value());
  const auto parsed = ParseKey(key->text);
  CHECK_TRUE(parsed.has_value());
  CHECK_EQUAL(key->id, parsed->id);
  CHECK_TRUE(SecretMatches(parsed->secret, key->secret_sha256));
  CHECK_FALSE(IssueKey()->text == key->text);
}

// Guards against a secret that is accepted although its stored hash is empty,
// truncated or that of another secret.
TEST(api_key, WrongSecretsAreRejected) {
  const auto key = IssueKey();
  std::string secret = ParseKey(key->text)->secret;
  CHECK_FALSE(SecretMatches(secret, ""));
  CHECK_FALSE(SecretMatches("", key->secret_sha256));
  CHECK_FALSE(SecretMatches(secret, key->secret_sha256.substr(1)));
  secret[63] = secret[63] == '0' ? '1' : '0';
  CHECK_FALSE(SecretMatches(secret, key->secret_sha256));
}

// SHA-256 of "abc" as given in FIPS 180-2, appendix B.1.
TEST(api_key, Sha256HexMatchesTestVector) {
  CHECK_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"
                          "b00361a396177a9cb410ff61f20015ad"),
              Sha256Hex("abc"));
}

TEST(api_key, MalformedKeysAreRejected) {
  const std::string valid = IssueKey()->text;
  for (const std::string& text :
       {std::string(), std::string("skh_"), valid + "0", valid.substr(1),
        "SKH" + valid.substr(3), valid.substr(0, valid.size() - 1) + "G",
        valid.substr(0, valid.size() - 1) + "\n"})
    CHECK_FALSE(ParseKey(text).has_value());
  CHECK_TRUE(ParseKey(valid).has_value());
}

}  // namespace
}  // namespace skylarkhoist
