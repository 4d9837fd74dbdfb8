#include <limits>
#include <random>
#include <sstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "audit/audit.h"
#include "cluster/cluster.h"
#include "explain/explain.h"
#include "fescuetillerctl/command.h"
#include "fescuetillerd/configurationsharing.h"
#include "fescuetillerd/dispatch.h"
#include "fescuetillerd/nodesettings.h"
#include "http/deflate.h"
#include "platform/base64.h"
#include "platform/jsonvalue.h"
#include "platform/platform.h"
#include "standins/memorystore.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr int kRounds = 3000;

/** Mutates texts at random; the same seed gives the same mutations. */
class Mutator
{
public:
  explicit Mutator(uint32_t aSeed)
    : random(aSeed)
  {
  }

  std::string Mutate(std::string aText)
  {
    size_t count = 1 + this->Below(4);
    for (size_t change = 0; change < count; ++change) {
      this->MutateOnce(aText);
    }
    return aText;
  }

  std::string Noise()
  {
    std::string noise(this->Below(64), '\0');
    for (char& character : noise) {
      character = this->Byte();
    }
    return noise;
  }

  /** A random number from 0 to aBound - 1; 0 when aBound is 0. */
  size_t Below(size_t aBound)
  {
    return aBound == 0 ? 0 : this->random() % aBound;
  }

private:
  char Byte() { return static_cast<char>(this->random()); }

  void MutateOnce(std::string& aText)
  {
    size_t at = this->Below(aText.size() + 1);
    switch (this->Below(5)) {
      case 0:
        aText.insert(at, 1, this->Byte());
        return;
      case 1:
        aText.erase(at, 1 + this->Below(8));
        return;
      case 2:
        aText.insert(at, aText.substr(this->Below(aText.size()), 16));
        return;
      case 3:
        aText.insert(at, this->Noise());
        return;
      default:
        if (at < aText.size()) {
          aText[at] = this->Byte();
        }
    }
  }

  std::mt19937 random;
};

constexpr const char* kSettings = R"([node]
name = agenda-1
ip = 10.1.0.38
zone = qc-east-a
service = agenda
server = 10.1.0.38:8145
[listen]
clients = 10.1.0.38:8147
peers = 10.1.0.38:8146
ready = 10.1.0.38:8141
server-calls = 10.1.0.38:8144
first-port = 7380
last-port = 7395
[platform]
store = 10.200.1.7:8142
[bounds]
heartbeat = 870ms
retry-ratio = 0.2
)";

constexpr const char* kConfiguration =
  R"({"version":"r7","routes":{"lookup":{"host":"a.example",)"
  R"("prefix":"/look/","kind":"safe","timeout":"800ms",)"
  R"("target-latency":"200ms","priority":1,"service":"agenda",)"
  R"("attempts":2}},"services":{"agenda":{"health-check":"/h",)"
  R"("max-connections":100,"protocol":"h1","tls":false,"sharded":true}}})";

constexpr const char* kHeartbeat =
  R"({"service":"agenda","address":"10.0.0.9:8080","zone":"a","version":"v1",)"
  R"("slots":9,"state":"ready","cold":"0ms","seq":4,"born":1700000000000})";

using nlohmann::json;

constexpr size_t kDeepNesting = 100000;

/** JSON texts that are no proper value of any field, or only of few. */
const std::vector<std::string>&
OddValues()
{
  static const std::vector<std::string> kValues = {
    std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']'),
    std::string(kDeepNesting, '['),
    "1e30",
    "1e999",
    "-1e30",
    "0.5",
    "-1",
    "-4294967295",
    "-9223372036854775808",
    "70000",
    "99999",
    "4294967296",
    "4294967301",
    "281474976710656",
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "true",
    "null",
    "[]",
    "{}",
    R"("")",
    R"("7")",
    R"("r-5")",
    R"("r18446744073709551616")",
    R"("-5ms")",
    R"("1e300s")",
    R"("99999999999999999999999999999999999999s")",
    R"("127.0.0.1:99999")",
    R"("127.0.0.1:0")",
    R"("0.0.0.0:8146")",
    "\"" + std::string(1000000, 'x') + "\"",
    R"("\ud800")",
  };
  return kValues;
}

/** Calls a function with each text that results from a JSON text if one of its
 * innermost values is replaced by an odd one.
 * @param aCheck Gets the text and the path of the replaced value. */
template<typename Function>
void
ForEachOddText(const std::string& aText, Function aCheck)
{
  const std::string kMark = "replaced";
  const auto whole = json::parse(aText);
  const auto values = whole.flatten();
  for (const auto& [path, value] : values.items()) {
    auto marked = whole;
    marked[json::json_pointer(path)] = kMark;
    auto text = marked.dump();
    auto at = text.find("\"" + kMark + "\"");
    for (const auto& odd : OddValues()) {
      INFO(path << ": " << odd.substr(0, 40));
      aCheck(std::string(text).replace(at, kMark.size() + 2, odd), path);
    }
  }
}

/** Whether a number was read as it stands in a JSON text. */
template<typename Number>
bool
IsNumber(const json& aValue, Number aNumber)
{
  // As numbers, -1 and the largest unsigned one are equal.
  return aValue.is_number_integer() && json(aNumber).dump() == aValue.dump();
}

} // namespace

TEST_CASE("Mutated settings are valid or refused with the file's name",
          "[fuzz]")
{
  Mutator mutator(1);
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto text = mutator.Mutate(kSettings);
    auto settings = ParseNodeSettings(text, "node.ini");
    if (!settings) {
      ++refused;
      CHECK(settings.error().peer.find("node.ini") == 0);
      CHECK_FALSE(settings.error().message.empty());
    }
  }
  CHECK(refused > 0);
  CHECK(refused < kRounds);
}

TEST_CASE("Mutated bodies from the platform are refused or parsed", "[fuzz]")
{
  Mutator mutator(2);
  for (int round = 0; round < kRounds; ++round) {
    auto configuration = ParseConfiguration(mutator.Mutate(kConfiguration));
    if (configuration) {
      CHECK(configuration->routes.size() <= 2);
    }
    auto report = ParseHeartbeat("i-1", mutator.Mutate(kHeartbeat));
    if (report) {
      CHECK_FALSE(report->address.empty());
    }
    ParseRows(200, mutator.Mutate(R"({"rows":[],"ver":3,"has-more":false})"));
    ParseOutcome(412, mutator.Mutate(R"({"rows":[],"ver":3})"));
  }
}

TEST_CASE("Mutated datagrams are dropped or decoded", "[fuzz]")
{
  PeerMessage message;
  message.kind = PeerMessage::Kind::Rows;
  message.from = "m1";
  message.to = "m2";
  message.rows = { ToRow(RangeRecord{ "agenda", { 0, 9 }, "m1", 3, "" }) };
  auto bytes = Encode(message);
  REQUIRE(DecodePeerMessage(bytes));
  Mutator mutator(3);
  int dropped = 0;
  for (int round = 0; round < kRounds; ++round) {
    dropped += DecodePeerMessage(mutator.Mutate(bytes)) ? 0 : 1;
    DecodePeerMessage(mutator.Noise());
  }
  CHECK(dropped > 0);
}

// Guards against a daemon that ends when it writes a text of a malformed
// datagram into a row or a response.
TEST_CASE("Datagrams with texts that are not UTF-8 are dropped", "[fuzz]")
{
  const std::string kNotUtf8 = "m\xff";
  PeerMessage message;
  message.kind = PeerMessage::Kind::Rows;
  message.rows = { ToRow(MemberRecord{
    "m1", "agenda", "a", "10.0.0.1:1", "", MemberState::Ready, {} }) };
  REQUIRE(DecodePeerMessage(Encode(message)));

  SECTION("the sender")
  {
    message.from = kNotUtf8;
  }
  SECTION("the member that it is about")
  {
    message.member = kNotUtf8;
  }
  SECTION("the key of a row")
  {
    message.rows[0].key.key += kNotUtf8;
  }
  SECTION("the partition of a row")
  {
    message.rows[0].key.part = kNotUtf8;
  }
  CHECK_FALSE(DecodePeerMessage(Encode(message)));
}

TEST_CASE("Mutated configurations of other daemons are refused or decoded",
          "[fuzz]")
{
  auto bytes = EncodeSharedRow(
    { ConfigurationKey(), std::string(500, 'a') + "text", 9, false });
  REQUIRE(DecodeSharedRow(bytes));
  Mutator mutator(5);
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    refused += DecodeSharedRow(mutator.Mutate(bytes)) ? 0 : 1;
    DecodeSharedRow(mutator.Noise());
  }
  CHECK(refused > 0);
}

TEST_CASE("Mutated header fields between daemons are refused or decoded",
          "[fuzz]")
{
  Dispatch dispatch;
  dispatch.service = "agenda";
  dispatch.requestClass = "lookup";
  ExecutionReport report;
  report.reason = "no-time";
  ServerNotice notice{ { "i-1", 1 }, 15.25, std::chrono::milliseconds(40) };
  Mutator mutator(4);
  for (int round = 0; round < kRounds; ++round) {
    if (auto read = DecodeDispatch(mutator.Mutate(Encode(dispatch)))) {
      CHECK(DecodeDispatch(Encode(*read)));
    }
    if (auto read =
          DecodeCompactReport(mutator.Mutate(EncodeCompact(report)))) {
      CHECK(DecodeCompactReport(EncodeCompact(*read)));
    }
    http::fields fields;
    SetDispatch(fields, dispatch, "desk", true);
    auto compact = std::string(fields[kCompactDispatchField]);
    fields.set(kCompactDispatchField, mutator.Mutate(compact));
    if (auto read = TakeDispatch(fields, dispatch.service)) {
      SetDispatch(fields, *read, "desk", true);
      CHECK(TakeDispatch(fields, read->service));
    }
    if (auto read = DecodeExecutionReport(mutator.Mutate(Encode(report)))) {
      CHECK(DecodeExecutionReport(Encode(*read)));
    }
    if (auto read = DecodeServerNotice(mutator.Mutate(Encode(notice)))) {
      CHECK(DecodeServerNotice(Encode(*read)));
    }
  }
}

TEST_CASE("Mutated header fields of servers are refused or read", "[fuzz]")
{
  Mutator mutator(14);
  for (int round = 0; round < kRounds; ++round) {
    if (auto load = ParseServerLoad(mutator.Mutate("3,1,5,140"), "i-1");
        load && *load && (*load)->slowness) {
      CHECK(*(*load)->slowness > 0);
    }
    if (auto time = ParseColdTime(mutator.Mutate("1200"), "i-1");
        time && *time) {
      CHECK(**time >= Duration(0));
    }
    ParseServerLoad(mutator.Noise(), "i-1");
    ParseColdTime(mutator.Noise(), "i-1");
  }
}

TEST_CASE("Mutated rows of every table are ignored or parsed", "[fuzz]")
{
  MemberRecord member{ "m1",         "agenda", "a",     "10.0.0.1:2",
                       "10.0.0.1:3", {},       { "m2" } };
  AuditEntry entry;
  entry.service = "agenda";
  AuditHead head;
  head.service = "agenda";
  const std::vector<StoreRow> kRows = {
    ToRow(member),
    ToRow(RangeRecord{ "agenda", { 0, 9 }, "m1", 3, "h" }),
    ToRow(DrainRecord{ "agenda", "1:2", true, 1, "ana" }),
    ToRow(entry),
    ToRow(head)
  };
  Mutator mutator(5);
  for (int round = 0; round < kRounds; ++round) {
    auto row = kRows[mutator.Below(kRows.size())];
    auto& damaged = mutator.Below(2) == 0 ? row.value : row.key.key;
    damaged = mutator.Mutate(damaged);
    row.version = 1;
    ClusterView view;
    view.Apply(row);
    ParseAuditEntry(row);
    ParseAuditHead(row);
    if (auto range = ParseRange(row)) {
      CHECK(range->range.first <= range->range.last);
    }
  }
}

TEST_CASE("Mutated log lines are skipped or parsed", "[fuzz]")
{
  Mutator mutator(7);
  for (int round = 0; round < kRounds; ++round) {
    std::istringstream log(mutator.Mutate(
      R"({"time":1,"node":"n","event":"request","request":"a.b"})"));
    TraceRequest(ParseLog(log), "a.b");
  }
}

TEST_CASE("Mutated arguments end in one of the documented exit codes", "[fuzz]")
{
  const std::vector<std::vector<std::string>> kLines = {
    { "class", "list", "--json" },
    { "status", "--timeout-ms", "10" },
    { "key", "locate", "agenda", "7" },
    { "drain", "10.0.0.1:8146", "--revision", "0" },
    { "undrain", "m1", "--who", "ana" },
    { "audit", "--count", "5" },
    { "check", "settings", "/nonexistent" },
    { "metrics", "10.0.0.1:9464" },
    { "explain", "a.b", "/nonexistent" },
  };
  MemoryStore store;
  store.Apply({ {}, { { ConfigurationKey(), kConfiguration, 0, false } }, {} });
  std::ostringstream out;
  std::ostringstream error;
  Time now;
  Session session{ out,
                   error,
                   [&](const std::string&, Duration) {
                     return Result<StoreCalls>(store.Calls());
                   },
                   [](const std::string&, const std::string& aPath, Duration) {
                     return Result<std::string>("{" + aPath);
                   },
                   [] { return "w"; },
                   { [&] { return now; },
                     [&](Duration aPause) { now += aPause; },
                     [] { return int64_t(0); } },
                   "ana",
                   "desk",
                   "store" };
  Mutator mutator(6);
  for (int round = 0; round < kRounds; ++round) {
    auto arguments = kLines[mutator.Below(kLines.size())];
    std::string& damaged = arguments[mutator.Below(arguments.size())];
    damaged = mutator.Mutate(damaged);
    int code = static_cast<int>(RunCommand(session, arguments));
    CHECK(code >= 0);
    CHECK(code <= 4);
  }
}

// Guards against numbers that are cast: a key of 4294967301 was read as key 5,
// and an epoch of -1 as the largest one.
TEST_CASE("Rows with an odd value are refused or read as they stand", "[fuzz]")
{
  MemberRecord member{ "m1",         "agenda", "a",     "10.0.0.1:8146",
                       "10.0.0.1:1", {},       { "m2" } };
  const std::vector<StoreRow> kRows = {
    ToRow(member),
    ToRow(RangeRecord{ "agenda", { 0, 9 }, "m1", 3, "h" }),
    ToRow(DrainRecord{ "agenda", "10.0.0.1:8146", true, 1, "ana" })
  };
  for (auto row : kRows) {
    ForEachOddText(row.value,
                   [&](const std::string& aText, const std::string& aPath) {
                     row.value = aText;
                     std::optional<StoreRow> read;
                     if (auto record = ParseMember(row)) {
                       CHECK(record->address == member.address);
                       CHECK(record->udpAddress == member.udpAddress);
                       read = ToRow(*record);
                     } else if (auto range = ParseRange(row)) {
                       CHECK(range->epoch < kMaxEpoch);
                       read = ToRow(*range);
                     } else if (auto drain = ParseDrain(row)) {
                       read = ToRow(*drain);
                     }
                     if (read) {
                       CHECK(json::parse(read->value) == json::parse(aText));
                     }
                     ClusterView view;
                     row.version = 1;
                     view.Apply(row);
                     CHECK(view.RefusedRows().size() == (read ? 0 : 1));
                     CHECK_FALSE(aPath.empty());
                   });
  }
}

// Guards against rows that stand under two keys of the view, or under none.
TEST_CASE("Rows with an odd key are refused", "[fuzz]")
{
  const std::string kValue =
    ToRow(RangeRecord{ "agenda", { 0, kLastKey }, "m1", 3, "" }).value;
  for (const char* key : { "range/",
                           "range/7",
                           "range/-0001",
                           "range/+0001",
                           "range/70000",
                           "range/99999",
                           "range/000000",
                           "range/4294967296",
                           "range/1e3",
                           "range/0x001" }) {
    INFO(key);
    StoreRow row{ { kClusterTable, "agenda", key }, kValue, 1, false };
    CHECK_FALSE(ParseRange(row));
    ClusterView view;
    view.Apply(row);
    CHECK(view.RefusedRows().size() == 1);
  }
  MemberRecord member{ "", "agenda", "a", "10.0.0.1:2", "10.0.0.1:3", {}, {} };
  CHECK_FALSE(ParseMember(ToRow(member)));
}

// Guards against a limit of 0 connections that was written as 4294967296, and
// against a version of -5 that is newer than all others.
TEST_CASE("Configurations with an odd value are refused or read as they stand",
          "[fuzz]")
{
  auto whole = json::parse(kConfiguration);
  whole["routes"]["lookup"]["weighted-clusters"] = { { { "service", "agenda" },
                                                       { "weight", 3 } } };
  whole["limits"] = { { "max-header-bytes", 16384 },
                      { "max-body-bytes", 1048576 },
                      { "header-timeout", "3s" },
                      { "idle-timeout", "15s" } };
  REQUIRE(ParseConfiguration(whole.dump()));
  int refused = 0;
  ForEachOddText(
    whole.dump(), [&](const std::string& aText, const std::string& aPath) {
      auto configuration = ParseConfiguration(aText);
      if (!configuration) {
        ++refused;
        CHECK_FALSE(configuration.error().message.empty());
        return;
      }
      auto text = json::parse(aText);
      CHECK(text["version"] == "r" + std::to_string(configuration->version));
      const auto& service = configuration->services.at("agenda");
      CHECK(IsNumber(text["services"]["agenda"]["max-connections"],
                     service.maxConnections));
      const auto& route = configuration->routes.at("lookup");
      const auto& fields = text["routes"]["lookup"];
      CHECK(IsNumber(fields["priority"], route.priority));
      CHECK(IsNumber(fields["attempts"], route.attempts));
      CHECK(IsNumber(fields["weighted-clusters"][0]["weight"],
                     route.destinations.at(0).weight));
      CHECK(IsNumber(text["limits"]["max-header-bytes"],
                     configuration->limits.maxHeaderBytes));
      CHECK(IsNumber(text["limits"]["max-body-bytes"],
                     configuration->limits.maxBodyBytes));
      CHECK(route.timeout >= Duration(0));
      CHECK_FALSE(aPath.empty());
    });
  CHECK(refused > 0);
}

TEST_CASE("Heartbeats with an odd value are refused or read as they stand",
          "[fuzz]")
{
  auto whole = json::parse(kHeartbeat);
  whole["holds"] = { { 0, 9, 4097 } };
  whole["freed"] = { { 10, 19, "h" } };
  REQUIRE(ParseHeartbeat("i-1", whole.dump()));
  ForEachOddText(
    whole.dump(), [&](const std::string& aText, const std::string& aPath) {
      auto report = ParseHeartbeat("i-1", aText);
      if (!report) {
        CHECK_FALSE(report.error().message.empty());
        return;
      }
      auto text = json::parse(aText);
      CHECK(IsNumber(text["born"], report->incarnation.startedAt));
      CHECK(IsNumber(text["slots"], report->slots));
      CHECK(IsNumber(text["seq"], report->sequence));
      CHECK(
        IsNumber(text["holds"][0][0], report->grantedRanges[0].range.first));
      CHECK(IsNumber(text["holds"][0][1], report->grantedRanges[0].range.last));
      CHECK(IsNumber(text["holds"][0][2], report->grantedRanges[0].fence));
      CHECK(report->remainingWarmUp >= Duration(0));
      CHECK_FALSE(aPath.empty());
    });
}

// Guards against a store whose changes are no longer followed since one of the
// rows is odd, and against versions that reach into the bits of the era.
TEST_CASE("An odd row among those of the store leaves the others valid",
          "[fuzz]")
{
  constexpr StoreEra kEra = 3;
  const json kGood = { { "table", "cluster" },
                       { "part", "agenda" },
                       { "key", "range/00000" },
                       { "value", EncodeBase64("{}") },
                       { "ver", 5 } };
  for (const auto& odd : OddValues()) {
    INFO(odd.substr(0, 40));
    auto row = kGood;
    row["key"] = "range/00500";
    row["value"] = EncodeBase64(odd);
    json body = { { "rows", { kGood, row, kGood } }, { "ver", 6 } };
    auto rows = ParseRows(200, body.dump(), kEra);
    REQUIRE(rows);
    REQUIRE(rows->rows.size() == 3);
    CHECK(rows->rows[1].value == odd);
  }
  for (const char* value : { "A",
                             "AB",
                             "ABC",
                             "A===",
                             "====",
                             "=ABC",
                             "AB=C",
                             "AAAA=",
                             "!!!!",
                             "AA AA",
                             "\x7f\x7f" }) {
    INFO(value);
    CHECK_FALSE(DecodeBase64(value));
    auto row = kGood;
    row["value"] = value;
    json body = { { "rows", { kGood, row, kGood } }, { "ver", 6 } };
    auto rows = ParseRows(200, body.dump(), kEra);
    REQUIRE(rows);
    CHECK(rows->rows.size() == 3);
    CHECK(rows->rows[1].value.empty());
    CHECK(rows->rows[2].value == "{}");
  }
  json whole = { { "rows", { kGood } }, { "ver", 6 }, { "has-more", false } };
  ForEachOddText(whole.dump(),
                 [&](const std::string& aText, const std::string& aPath) {
                   for (unsigned status : { 200U, 412U }) {
                     auto outcome = ParseOutcome(status, aText, kEra);
                     if (outcome) {
                       CHECK(EraOf(outcome->version) == kEra);
                       CHECK(outcome->current.size() <= 1);
                     }
                   }
                   if (auto rows = ParseRows(200, aText, kEra)) {
                     CHECK(EraOf(rows->version) == kEra);
                     for (const auto& row : rows->rows) {
                       CHECK(EraOf(row.version) == kEra);
                     }
                   }
                   CHECK_FALSE(aPath.empty());
                 });
}

// Guards against a datagram that ends a daemon: nesting is read by recursion,
// and an age of many years does not fit into the type for times.
TEST_CASE("Datagrams with an odd value are dropped or read as they stand",
          "[fuzz]")
{
  PeerMessage message;
  message.kind = PeerMessage::Kind::Rows;
  message.from = "m1";
  message.to = "m2";
  message.version = 4;
  message.rows = { ToRow(RangeRecord{ "agenda", { 0, 9 }, "m1", 3, "" }) };
  message.crashes = { { 1, 2, { 3 }, 4, std::chrono::milliseconds(5) } };
  message.configurationAge = std::chrono::milliseconds(6);
  auto bytes = Encode(message);
  auto whole = json::from_msgpack(bytes);
  ForEachOddText(
    whole.dump(), [&](const std::string& aText, const std::string& aPath) {
      auto odd = json::parse(aText, nullptr, false);
      if (odd.is_discarded() || aText.size() > kDeepNesting) {
        return; // Not a datagram.
      }
      auto packed = json::to_msgpack(odd);
      auto read = DecodePeerMessage({ packed.begin(), packed.end() });
      if (!read) {
        return;
      }
      CHECK(IsNumber(odd[4], read->version));
      CHECK(IsNumber(odd[5], read->sentAt));
      CHECK(odd[7].is_number());
      CHECK(IsNumber(odd[8], ToMilliseconds(read->untilHeartbeat)));
      CHECK(IsNumber(odd[9], read->configuration));
      CHECK(IsNumber(odd[10], read->era));
      CHECK(read->load >= 0);
      CHECK(read->era <= kMaxStoreEra);
      CHECK(EraOf(read->version) <= kMaxStoreEra);
      CHECK(EraOf(read->configuration) <= kMaxStoreEra);
      for (const auto& row : read->rows) {
        CHECK(EraOf(row.version) <= kMaxStoreEra);
      }
      for (const auto& crash : read->crashes) {
        CHECK(IsNumber(odd[12][0][0], crash.fingerprint));
        CHECK(IsNumber(odd[12][0][1], crash.generation));
        CHECK(IsNumber(odd[12][0][3][0], crash.servers.at(0)));
        CHECK(IsNumber(odd[12][0][4], crash.trials));
      }
      CHECK_FALSE(aPath.empty());
    });
  for (double load : { std::numeric_limits<double>::quiet_NaN(),
                       std::numeric_limits<double>::infinity(),
                       -1.0 }) {
    message.load = load;
    CHECK_FALSE(DecodePeerMessage(Encode(message)));
  }

  const std::string kArray(1, '\x91');
  const std::string kMap = "\x81\xa1k";
  for (const auto& level : { kArray, kMap }) {
    std::string deep;
    while (deep.size() < 60000) {
      deep += level;
    }
    deep += '\xc0';
    CHECK_FALSE(DecodePeerMessage(deep));
    CHECK_FALSE(DecodePeerMessage("\x9d" + deep));
    CHECK_FALSE(DecodeSharedRow(Deflate(deep)));
    std::string deeper;
    for (size_t depth = 0; depth < 10 * kDeepNesting; ++depth) {
      deeper += level;
    }
    CHECK_FALSE(DecodeSharedRow(Deflate(deeper + '\xc0')));
  }
}
