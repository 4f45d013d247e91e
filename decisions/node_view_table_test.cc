#include "decisions/node_view_table.h"

#include <CppUTest/TestHarness.h>

namespace skylarkhoist {
namespace {

using std::chrono::seconds;

TEST_GROUP(node_view_table) {
  node_view_table table;
  const time_point start = time_point(seconds(100));

  static node_view Node(const std::string& name, const std::string& zone) {
    node_view node;
    node.address = name + ":7";
    node.name = name;
    node.zone = zone;
    node.incarnation = 1;
    node.version = 1;
    node.status = node_status::kLive;
    node.targets = {{"front", name + ":80", true, 0, 20, 0, 0, ""}};
    return node;
  }
};

// Guards against changes that are passed on twice or not at all.
TEST(node_view_table, EachChangeIsReportedOnce) {
  CHECK_TRUE(table.Update(Node("a", "z"), start));
  CHECK_TRUE(table.Update(Node("b", "z"), start));
  const uint64_t sent = table.change();
  CHECK_EQUAL(2, table.ChangedSince(0).size());
  CHECK_FALSE(table.Update(Node("a", "z"), start));
  CHECK_EQUAL(0, table.ChangedSince(sent).size());
  node_view draining = Node("a", "z");
  draining.version = 2;
  draining.draining = true;
  CHECK_TRUE(table.Update(draining, start));
  CHECK_EQUAL(1, table.ChangedSince(sent).size());
  CHECK_TRUE(*table.ChangedSince(sent)[0] == draining);
}

// Guards against an older description that arrives later by another way, for
// example from a node that was cut off meanwhile.
TEST(node_view_table, AnOlderDescriptionChangesNothing) {
  node_view newer = Node("a", "z");
  newer.version = 5;
  table.Update(newer, start);
  CHECK_FALSE(table.Update(Node("a", "z"), start));
  node_view restarted = Node("a", "z");
  restarted.incarnation = 2;
  CHECK_TRUE(table.Update(restarted, start));
  CHECK_EQUAL(1, table.Find("a:7")->version);
}

TEST(node_view_table, MissingNodesOfAZoneHaveEnded) {
  table.Update(Node("a", "z"), start);
  table.Update(Node("b", "z"), start);
  table.Update(Node("c", "y"), start);
  CHECK_TRUE(table.EndMissing("z", {"a:7"}, start));
  CHECK_FALSE(table.EndMissing("z", {"a:7"}, start));
  CHECK_TRUE(table.Find("a:7")->status == node_status::kLive);
  CHECK_TRUE(table.Find("b:7")->status == node_status::kEnded);
  CHECK_TRUE(table.Find("c:7")->status == node_status::kLive);
  table.RemoveEnded(start + seconds(1));
  POINTERS_EQUAL(nullptr, table.Find("b:7"));
  CHECK_EQUAL(2, table.Nodes().size());
}

// Guards against a target that gets its full share of calls right after its
// node has come back.
TEST(node_view_table, AReturningTargetComesIntoServiceAgain) {
  table.Update(Node("a", "z"), start);
  CHECK_TRUE(table.ServingSince("a:7", "a:80") == start);
  node_view lost = Node("a", "z");
  lost.status = node_status::kLost;
  table.Update(lost, start + seconds(1));
  CHECK_TRUE(table.ServingSince("a:7", "a:80") == time_point());
  table.Update(Node("a", "z"), start + seconds(2));
  CHECK_TRUE(table.ServingSince("a:7", "a:80") == start + seconds(2));
  node_view restarted = Node("a", "z");
  restarted.incarnation = 2;
  table.Update(restarted, start + seconds(3));
  CHECK_TRUE(table.ServingSince("a:7", "a:80") == start + seconds(3));
}

}  // namespace
}  // namespace skylarkhoist
