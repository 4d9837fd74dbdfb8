#include <catch2/catch.hpp>

#include "cluster/cluster.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

StoreRow
RangeRow(Key aFirst, Key aLast, const MemberId& aOwner, RowVersion aVersion)
{
  auto row = ToRow(RangeRecord{ "agenda", { aFirst, aLast }, aOwner, 1, "" });
  row.version = aVersion;
  return row;
}

} // namespace

SCENARIO("Rows may arrive late, twice and in any order", "[clusterview]")
{
  ClusterView view;
  REQUIRE(view.Apply(RangeRow(0, 99, "a", 10)));

  GIVEN("an older row with the same key")
  {
    THEN("it changes nothing")
    {
      CHECK_FALSE(view.Apply(RangeRow(0, 99, "old", 9)));
      CHECK(view.FindRange("agenda", 5)->owner == "a");
    }
  }
  GIVEN("a row with another key and an older version than the newest")
  {
    // Guards against not passing such rows on to the request path because the
    // newest version of the view is unchanged.
    auto before = view.ChangeCount();
    REQUIRE(view.Apply(RangeRow(100, 199, "b", 7)));
    THEN("it counts as a change")
    {
      CHECK(view.ChangeCount() > before);
      CHECK(view.FindRange("agenda", 150)->owner == "b");
    }
  }
  GIVEN("a removed row")
  {
    view.Apply({ RangeKey("agenda", 0), "", 12, true });
    CHECK(view.FindRange("agenda", 5) == nullptr);
    THEN("an older row does not bring it back")
    {
      CHECK_FALSE(view.Apply(RangeRow(0, 99, "a", 11)));
    }
  }
  GIVEN("a snapshot of all rows of a service")
  {
    view.Apply(RangeRow(100, 199, "b", 20));
    StoreRows rows;
    rows.rows = { RangeRow(200, 299, "c", 8) };
    rows.version = 15;
    view.Replace("agenda", rows);
    THEN("rows missing from it are dropped, unless they are newer")
    {
      CHECK(view.FindRange("agenda", 5) == nullptr);
      CHECK(view.FindRange("agenda", 150)->owner == "b");
      CHECK(view.FindRange("agenda", 250)->owner == "c");
    }
  }
  GIVEN("a view that has all changes up to a version")
  {
    // Guards against rows that were removed before this daemon read the table
    // and that another daemon still sends: members tried to take their keys,
    // several times a second and without end.
    view.SetCompleteUpTo(15);
    THEN("an unknown row that is not newer has been removed since")
    {
      CHECK_FALSE(view.Apply(RangeRow(300, 399, "d", 9)));
      CHECK_FALSE(view.Apply(RangeRow(300, 399, "d", 15)));
      CHECK(view.FindRange("agenda", 350) == nullptr);
    }
    THEN("newer rows, and older ones of a snapshot, are applied")
    {
      CHECK(view.Apply(RangeRow(300, 399, "d", 16)));
      StoreRows rows;
      rows.rows = { RangeRow(0, 99, "a", 10), RangeRow(400, 499, "e", 12) };
      rows.version = 15;
      view.Replace("agenda", rows);
      CHECK(view.FindRange("agenda", 450)->owner == "e");
      CHECK(view.FindRange("agenda", 350)->owner == "d");
    }
  }
  GIVEN("invalid rows")
  {
    const char* const lastKeyTooLarge =
      R"({"last":70000,"owner":"a","epoch":1,"handover":""})";
    for (const char* value : { "",
                               "7",
                               "{}",
                               R"({"last":"x","owner":"a","epoch":1})",
                               R"({"last":5,"owner":7,"epoch":1})",
                               lastKeyTooLarge }) {
      INFO(value);
      view.Apply({ RangeKey("agenda", 500), value, 30, false });
      CHECK(view.FindRange("agenda", 500) == nullptr);
    }
    view.Apply({ { kClusterTable, "agenda", "range/x" }, "{}", 31, false });
    view.Apply({ { kClusterTable, "agenda", "member/" }, "{}", 32, false });
    CHECK(view.FindRange("agenda", 5)->owner == "a");
    CHECK(view.AllMembers().empty());
  }
}

// Guards against keys that lose their owner since another writer has spoilt the
// row of their range.
SCENARIO("An invalid row leaves what its key named before", "[clusterview]")
{
  ClusterView view;
  MemberRecord member{ "a", "agenda", "z", "10.0.0.1:2", "10.0.0.1:3", {}, {} };
  auto row = ToRow(member);
  row.version = 9;
  view.Apply(row);
  view.Apply(RangeRow(0, 99, "a", 10));

  GIVEN("an invalid row of a range")
  {
    view.Apply({ RangeKey("agenda", 0), "[[[", 11, false });
    THEN("the range is known with the version that a change must replace")
    {
      CHECK(view.FindRange("agenda", 5)->owner == "a");
      CHECK(view.RangesOf("agenda").at(0).version == 11);
      REQUIRE(view.RefusedRows().size() == 1);
      CHECK(ToString(view.RefusedRows().begin()->second.error) ==
            "read row (cluster agenda range/00000): not a JSON object");
    }
    THEN("a valid row ends the refusal")
    {
      view.Apply(RangeRow(0, 99, "b", 12));
      CHECK(view.FindRange("agenda", 5)->owner == "b");
      CHECK(view.RefusedRows().empty());
    }
    THEN("its removal does so, too")
    {
      view.Apply({ RangeKey("agenda", 0), "", 12, true });
      CHECK(view.FindRange("agenda", 5) == nullptr);
      CHECK(view.RefusedRows().empty());
    }
  }
  GIVEN("an invalid row of a member")
  {
    for (const char* address : { "127.0.0.1:99999",
                                 "127.0.0.1:0",
                                 "127.0.0.1:-1",
                                 "0.0.0.0:8146",
                                 "224.0.0.1:8146",
                                 "127.0.0.1",
                                 "host:8146",
                                 "" }) {
      INFO(address);
      member.address = address;
      row = ToRow(member);
      row.version = 20;
      view.Apply(row);
      CHECK(view.FindMember("a")->record.address == "10.0.0.1:2");
      CHECK(view.FindMember("a")->version == 20);
      CHECK(view.RefusedRows().size() == 1);
    }
  }
}

// Guards against keys behind an odd range that no longer had an owner, and
// against two owners of the same key.
SCENARIO("Ranges that overlap are found", "[clusterview]")
{
  ClusterView view;
  view.Apply(RangeRow(0, 999, "a", 10));
  view.Apply(RangeRow(1000, 1999, "b", 10));
  view.Apply(RangeRow(2000, kLastKey, "c", 10));
  auto overlapping = [&] {
    std::vector<Key> firsts;
    for (const auto* range : view.OverlappingRanges("agenda")) {
      firsts.push_back(range->record.range.first);
    }
    return firsts;
  };
  REQUIRE(overlapping().empty());

  GIVEN("a range within another one")
  {
    view.Apply(RangeRow(500, 501, "odd", 20));
    THEN("both are found")
    {
      CHECK(overlapping() == std::vector<Key>{ 0, 500 });
      CHECK(view.RangesOver(view.RangesOf("agenda").at(0).record).size() == 1);
      CHECK(view.RangesOver(view.RangesOf("agenda").at(1000).record).empty());
    }
    THEN("requests go to the owner by the older row")
    {
      CHECK(view.FindRange("agenda", 500)->owner == "a");
      CHECK(view.FindRange("agenda", 502)->owner == "a");
      CHECK(view.FindRange("agenda", 1500)->owner == "b");
    }
    THEN("a trim leaves the others with higher epochs")
    {
      auto change = MakeTrimChange(view, view.RangesOf("agenda").at(500));
      REQUIRE(change.sets.size() == 1);
      CHECK(ParseRange(change.sets[0])->range == KeyRange{ 0, 999 });
      CHECK(ParseRange(change.sets[0])->epoch == 2);
      CHECK(change.removes == std::vector<StoreKey>{ RangeKey("agenda", 500) });
      CHECK(change.conditions.size() == 2);
    }
    THEN("none are left after its removal")
    {
      view.Apply({ RangeKey("agenda", 500), "", 21, true });
      CHECK(overlapping().empty());
    }
  }
  GIVEN("a range over several")
  {
    view.Apply(RangeRow(900, 3000, "odd", 20));
    THEN("all of them are found")
    {
      CHECK(overlapping() == std::vector<Key>{ 0, 900, 1000, 2000 });
      CHECK(view.FindRange("agenda", 1500)->owner == "b");
      CHECK(view.FindRange("agenda", 950)->owner == "a");
    }
  }
}

SCENARIO("Peer messages can be encoded and decoded", "[messages]")
{
  PeerMessage message;
  message.kind = PeerMessage::Kind::Rows;
  message.from = "a";
  message.to = "b";
  message.member = "c";
  message.version = 7;
  message.sentAt = -5;
  message.rows = { RangeRow(0, 99, "a", 10),
                   { RangeKey("agenda", 100), "", 11, true } };
  message.load = 0.75;
  message.untilHeartbeat = std::chrono::milliseconds(-30);
  message.configuration = 12;
  message.era = 3;
  for (auto age : { 0, 400, 60000 }) {
    message.configurationAge = std::chrono::milliseconds(age);
    CHECK(DecodePeerMessage(Encode(message)) == message);
  }
  for (auto age :
       { std::chrono::milliseconds(-1), std::chrono::milliseconds(60001) }) {
    message.configurationAge = age;
    CHECK_FALSE(DecodePeerMessage(Encode(message))->configurationAge);
  }
  message.configurationAge.reset();
  message.crashes = { { 0xFFFFFFFFFFFFFFFF,
                        3,
                        { 1, 0xFFFFFFFFFFFFFFFF },
                        2,
                        std::chrono::milliseconds(3600000) },
                      { 4, 0, {}, 0, Duration(0) } };
  CHECK(DecodePeerMessage(Encode(message)) == message);
  message.crashes.resize(65);
  CHECK(DecodePeerMessage(Encode(message))->crashes.size() == 64);
  message.crashes.clear();
  CHECK(DecodePeerMessage(Encode(message)) == message);
  auto bytes = Encode(message);
  for (size_t length = 0; length < bytes.size(); ++length) {
    CHECK_FALSE(DecodePeerMessage(bytes.substr(0, length)));
  }
  CHECK_FALSE(DecodePeerMessage("\x93garbled"));

  GIVEN("a message of a release that does not know the configuration's age")
  {
    // The first byte holds the number of fields; the last two are the age and
    // the crash records.
    bytes.resize(bytes.size() - 2);
    bytes.front() = static_cast<char>(bytes.front() - 2);
    auto decoded = DecodePeerMessage(bytes);
    REQUIRE(decoded);
    CHECK(*decoded == message);
    AND_GIVEN("one that does not know the era either")
    {
      bytes.pop_back();
      --bytes.front();
      decoded = DecodePeerMessage(bytes);
      REQUIRE(decoded);
      message.era = 0;
      CHECK(*decoded == message);
      AND_GIVEN("one that does not announce its configuration either")
      {
        bytes.pop_back();
        --bytes.front();
        decoded = DecodePeerMessage(bytes);
        REQUIRE(decoded);
        message.configuration = 0;
        CHECK(*decoded == message);
      }
    }
  }
}
