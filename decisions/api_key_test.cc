#include "decisions/api_key.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(api_key){};

TEST(api_key, IssuedKeyMatchesItsHash) {
  const auto key = IssueKey();
  CHECK_TRUE(key.has_value());
  const auto read = ParseKey(key->text);
  CHECK_TRUE(read.has_value());
  CHECK_EQUAL(key->id, read->id);
  CHECK_TRUE(SecretMatches(read->secret, key->secret_sha256));
  CHECK_FALSE(IssueKey()->text == key->text);
}

// Guards against a secret that passes with a damaged or empty hash.
TEST(api_key, WrongSecretsAreRefused) {
  const auto key = IssueKey();
  std::string secret = ParseKey(key->text)->secret;
  CHECK_FALSE(SecretMatches(secret, ""));
  CHECK_FALSE(SecretMatches("", key->secret_sha256));
  CHECK_FALSE(SecretMatches(secret, key->secret_sha256.substr(1)));
  secret[63] = secret[63] == '0' ? '1' : '0';
  CHECK_FALSE(SecretMatches(secret, key->secret_sha256));
}

// SHA-256 of "abc" as given in FIPS 180-2, appendix B.1.
TEST(api_key, HashIsSha256) {
  CHECK_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"
                          "b00361a396177a9cb410ff61f20015ad"),
              Sha256Hex("abc"));
}

TEST(api_key, OtherFormsAreNoKeys) {
  const std::string good = IssueKey()->text;
  for (const std::string& text :
       {std::string(), std::string("skh_"), good + "0", good.substr(1),
        "SKH" + good.substr(3), good.substr(0, good.size() - 1) + "G",
        good.substr(0, good.size() - 1) + "\n"})
    CHECK_FALSE(ParseKey(text).has_value());
  CHECK_TRUE(ParseKey(good).has_value());
}

}  // namespace
}  // namespace skylarkhoist
