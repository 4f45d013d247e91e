#include "decisions/context_tokens.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

TEST_GROUP(context_tokens) {
  mt_random random{1};
  context_tokens tokens{&random};

  static call_context Parent(uint64_t sequence) {
    call_context context;
    context.parent = {9, sequence};
    context.customer = "acme";
    return context;
  }
};

// Guards against child calls that act for a customer after their parent ended.
TEST(context_tokens, ValidOnlyWhileTheParentIsInProgress) {
  const std::string token = tokens.Issue(Parent(1));
  const std::string other = tokens.Issue(Parent(2));
  CHECK_EQUAL(32, token.size());
  CHECK_TRUE(token != other);
  call_context* found = tokens.Find(token);
  CHECK_TRUE(found != nullptr && found->parent == (request_id{9, 1}));
  CHECK_EQUAL(2, found->credit.LendShare());
  CHECK_EQUAL(1, tokens.Revoke({9, 1}).credit.available());
  CHECK_TRUE(tokens.Find(token) == nullptr);
  CHECK_EQUAL(0, tokens.Revoke({9, 1}).credit.available());
  CHECK_TRUE(tokens.Find(other) != nullptr);
  CHECK_EQUAL(1, tokens.size());
}

TEST(context_tokens, RefusesMalformedTokens) {
  const std::string token = tokens.Issue(Parent(1));
  for (const std::string& text :
       {std::string(), token.substr(1), token + "0", std::string(32, 'g'),
        std::string(32, 'A'), std::string(32, '0')})
    CHECK_TRUE(tokens.Find(text) == nullptr);
}

}  // namespace
}  // namespace skylarkhoist
