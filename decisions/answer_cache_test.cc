#include "decisions/answer_cache.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace skylarkhoist {
namespace {

using std::chrono::seconds;
using cache = answer_cache<std::string>;

const time_point kStart{std::chrono::hours(1)};

std::shared_ptr<const std::string> MakeAnswer(const char* text) {
  return std::make_shared<const std::string>(text);
}

TEST_GROUP(answer_cache){};

// Guards against a call that runs twice because its message arrived twice, and
// against a query that does not return the stored answer.
TEST(answer_cache, ReportsProgressAndAnswerOfACall) {
  cache calls;
  const request_id id{1, 1};
  CHECK_TRUE(calls.RecordArrival(id, kStart) == call_arrival::kNew);
  CHECK_TRUE(calls.Query(id, kStart).progress == call_progress::kQueued);
  CHECK_TRUE(calls.RecordArrival(id, kStart) == call_arrival::kDuplicate);
  calls.MarkRunning(id);
  CHECK_TRUE(calls.Query(id, kStart).progress == call_progress::kRunning);
  calls.Finish(id, MakeAnswer("a"), 1, kStart);
  calls.Finish(id, MakeAnswer("b"), 1, kStart);
  const cache::query_result result = calls.Query(id, kStart + seconds(29));
  CHECK_TRUE(result.progress == call_progress::kFinished);
  STRCMP_EQUAL("a", result.answer->c_str());
  CHECK_TRUE(calls.RecordArrival(id, kStart) == call_arrival::kDuplicate);
}

// Guards against a call that runs although a query reported it as never seen
// before it arrived, however late it arrives.
TEST(answer_cache, FencesAnIdThatWasNeverSeen) {
  cache calls;
  const request_id id{1, 7};
  CHECK_TRUE(calls.Query(id, kStart).progress == call_progress::kNeverSeen);
  CHECK_TRUE(calls.RecordArrival(id, kStart + seconds(59)) ==
             call_arrival::kFenced);
  CHECK_TRUE(calls.RecordArrival(id, kStart + seconds(600)) ==
             call_arrival::kForgotten);
  CHECK_TRUE(calls.RecordArrival({1, 8}, kStart + seconds(600)) ==
             call_arrival::kNew);
  CHECK_TRUE(calls.RecordArrival({2, 1}, kStart + seconds(600)) ==
             call_arrival::kNew);
}

// Guards against kNeverSeen for a call that ran and whose record was dropped.
TEST(answer_cache, DroppedCallIsForgottenNotNeverSeen) {
  cache calls;
  calls.RecordArrival({1, 5}, kStart);
  calls.Finish({1, 5}, MakeAnswer("a"), 1, kStart);
  CHECK_TRUE(calls.Query({1, 5}, kStart + seconds(30)).progress ==
             call_progress::kForgotten);
  CHECK_EQUAL(0, calls.finished_calls());
  CHECK_EQUAL(0, calls.answer_bytes());
}

// Guards against unbounded memory. Answers are dropped before the records of
// their calls.
TEST(answer_cache, BoundsAnswerBytesAndCounts) {
  answer_cache_limits limits;
  limits.max_answer_bytes = 10;
  limits.max_finished_calls = 5;
  limits.max_fenced_ids = 3;
  limits.max_watermarks = 2;
  cache calls(limits);
  for (uint64_t i = 1; i <= 4; ++i) {
    calls.RecordArrival({1, i}, kStart);
    calls.Finish({1, i}, MakeAnswer("x"), 4, kStart);
  }
  CHECK_EQUAL(8, calls.answer_bytes());
  const cache::query_result dropped = calls.Query({1, 2}, kStart);
  CHECK_TRUE(dropped.progress == call_progress::kFinished);
  CHECK_TRUE(dropped.answer == nullptr);
  CHECK_TRUE(calls.Query({1, 3}, kStart).answer != nullptr);
  for (uint64_t i = 5; i <= 20; ++i) {
    calls.RecordArrival({1, i}, kStart);
    calls.Finish({1, i}, MakeAnswer("x"), 4, kStart);
    calls.Query({2, i}, kStart);
  }
  CHECK_EQUAL(5, calls.finished_calls());
  CHECK_EQUAL(3, calls.fenced_ids());
  CHECK_TRUE(calls.answer_bytes() <= 10);
  CHECK_TRUE(calls.RecordArrival({2, 6}, kStart) == call_arrival::kForgotten);
}

}  // namespace
}  // namespace skylarkhoist
