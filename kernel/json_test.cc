#include "kernel/json.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace skylarkhoist {
namespace {

TEST_GROUP(json){};

// Guards against silently ignoring one of two values for the same name.
TEST(json, ReportsDuplicateNamesWithTheirPath) {
  const auto result = ParseJson(R"({"a":{"b":1,"b":2},"a":3})");
  CHECK_FALSE(result.has_value());
  CHECK_EQUAL(2, result.error().items().size());
  STRCMP_EQUAL("/a/b", result.error().items()[0].place.c_str());
  STRCMP_EQUAL("/a", result.error().items()[1].place.c_str());
}

// Guards against a process that exceeds its memory because each of the findings
// in somebody else's text is as long as the text.
TEST(json, FindingsOfManyDuplicatesAreSmall) {
  std::string text = "{\"" + std::string(10'000, 'k') + "\":{\"a\":0";
  for (int i = 0; i < 10'000; ++i)
    text += ",\"a\":1";
  text += "}}";
  const auto result = ParseJson(text);
  CHECK_FALSE(result.has_value());
  CHECK_EQUAL(findings::kMaxItems, result.error().items().size());
  CHECK_TRUE(result.error().ToText().size() < text.size());
  STRCMP_CONTAINS("and 9900 more", result.error().ToText().c_str());
}

// Guards against a process that ends because a number in somebody else's text
// is too large.
TEST(json, ReportsNumbersThatAreTooLarge) {
  const std::string digits(400, '9');
  for (const std::string& text :
       {std::string("1e999"), std::string(R"({"a":[-1e999]})"), digits})
    CHECK_FALSE_TEXT(ParseJson(text).has_value(), text.c_str());
  CHECK_FALSE(ParseJson(std::string(100'000, '[')).has_value());
  std::string nested;
  for (int i = 0; i < 100'000; ++i)
    nested += R"({"a":)";
  CHECK_FALSE(ParseJson(nested).has_value());
}

// Guards against stack overflow by deeply nested input.
TEST(json, RefusesDeepNesting) {
  CHECK_FALSE(
      ParseJson(std::string(100, '[') + std::string(100, ']')).has_value());
  CHECK_TRUE(
      ParseJson(std::string(10, '[') + std::string(10, ']')).has_value());
}

// Guards against an exception, which ends the process, for strings of other
// programs that are not UTF-8.
TEST(json, TextOfStringsThatAreNotUtf8) {
  const json value = {{"a\xff", std::string("b\xfe") + "c"}};
  const std::string replacement = "\xef\xbf\xbd";
  STRCMP_EQUAL(("{\"a" + replacement + "\":\"b" + replacement + "c\"}").c_str(),
               JsonText(value).c_str());
  CHECK_TRUE(IsUtf8("") && IsUtf8("i-1") && IsUtf8("\xc3\xa4"));
  for (const char* text : {"\xff", "a\x80", "\xc3", "\xed\xa0\x80"})
    CHECK_FALSE_TEXT(IsUtf8(text), text);
}

TEST(json, ReportsMalformedInput) {
  for (const char* text : {"", "{", "{\"a\":}", "nul", "[1,]", "\xff"})
    CHECK_FALSE(ParseJson(text).has_value());
}

}  // namespace
}  // namespace skylarkhoist
