#include <sstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "cluster/cluster.h"
#include "fescuetillerctl/command.h"
#include "platform/platform.h"
#include "standins/faultystore.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* kService = "agenda";
constexpr const char* kAddress = "10.0.0.1:8146";

/** Runs commands as an operator does, with a manual clock. */
struct Terminal
{
  explicit Terminal(const StoreCalls& aStore)
    : session{ out,
               error,
               [aStore](const std::string&, Duration) {
                 return Result<StoreCalls>(aStore);
               },
               [this](const std::string& aAddress,
                      const std::string& aPath,
                      Duration) { return respond(aAddress, aPath); },
               [this] { return "write-" + std::to_string(++writes); },
               { [this] { return now; },
                 [this](Duration aPause) { now += aPause; },
                 [] { return int64_t(0); } },
               "ana",
               "desk-1",
               "store" }
  {
  }

  /** @return The exit code. */
  int Run(const std::string& aLine)
  {
    this->out.str("");
    this->error.str("");
    std::istringstream words(aLine);
    std::vector<std::string> arguments(
      std::istream_iterator<std::string>{ words }, {});
    return static_cast<int>(RunCommand(this->session, arguments));
  }

  nlohmann::json RunJson(const std::string& aLine)
  {
    this->Run(aLine + " --json");
    return nlohmann::json::parse(this->out.str());
  }

  bool Printed(const std::string& aText) const
  {
    return (this->out.str() + this->error.str()).find(aText) !=
           std::string::npos;
  }

  std::ostringstream out;
  std::ostringstream error;
  std::function<Result<std::string>(const std::string&, const std::string&)>
    respond = [](const std::string& aAddress,
                 const std::string&) -> Result<std::string> {
    return tl::unexpected(
      Error{ ErrorCode::Unavailable, "call", aAddress, "refused" });
  };
  int writes = 0;
  Time now;
  Session session;
};

/** A deployment's store, with a configuration and two members that own all
 * keys. */
struct TestDeployment
{
  TestDeployment()
  {
    this->SetRow(
      { ConfigurationKey(),
        R"({"version":"r7","routes":{"lookup":{"host":"a.example",)"
        R"("prefix":"/look/","kind":"safe","timeout":"800ms",)"
        R"("target-latency":"200ms","priority":1,"service":"agenda",)"
        R"("attempts":2}},"services":{"agenda":{"health-check":"/h",)"
        R"("max-connections":100,"protocol":"h1","tls":false,)"
        R"("sharded":true}}})",
        0,
        false });
    this->AddMember("m1", kAddress);
    this->AddMember("m2", "10.0.0.2:8146");
    this->SetRow(ToRow(RangeRecord{ kService, { 0, 999 }, "m1", 3, "" }));
    this->SetRow(
      ToRow(RangeRecord{ kService, { 1000, kLastKey }, "m2", 4, "" }));
  }

  void SetRow(const StoreRow& aRow) { this->store.Apply({ {}, { aRow }, {} }); }

  void AddMember(const std::string& aId, const std::string& aAddress)
  {
    MemberRecord member;
    member.id = aId;
    member.service = kService;
    member.zone = "qc-east-a";
    member.address = aAddress;
    member.udpAddress = aAddress;
    this->SetRow(ToRow(member));
    this->SetRow({ LeaseKey(kService, aId), "0", 0, false });
  }

  std::optional<DrainRecord> FindDrain() const
  {
    const auto* row = this->store.Find(DrainKey(kService, kAddress));
    return row == nullptr ? std::nullopt : ParseDrain(*row);
  }

  size_t CountAuditEntries()
  {
    return ReadAuditTrail(this->store.Calls(), kService, 100)->size();
  }

  MemoryStore store;
};

const std::string kDrain = std::string("drain ") + kAddress;
const std::string kUndrain = std::string("undrain ") + kAddress;

} // namespace

TEST_CASE("A drain is recorded with the operator who requested it", "[ctl]")
{
  TestDeployment deployed;
  FaultyStore faulty(deployed.store);
  Terminal ana(faulty.Calls());

  SECTION("a member is named by its address or its id")
  {
    CHECK(ana.Run(kDrain) == 0);
    CHECK(ana.Printed("drained, revision 1"));
    CHECK(deployed.FindDrain()->drain);
    CHECK(ana.Run("undrain m1") == 0);
    CHECK_FALSE(deployed.FindDrain()->drain);
    auto trail = ReadAuditTrail(deployed.store.Calls(), kService, 10);
    REQUIRE(trail->size() == 2);
    CHECK((*trail)[0].action == "undrain");
    CHECK((*trail)[0].who == "ana");
    CHECK((*trail)[0].from == "desk-1");
  }
  SECTION("a drain of a drained member writes nothing")
  {
    CHECK(ana.Run(kDrain) == 0);
    CHECK(ana.Run(kDrain) == 0);
    CHECK(ana.Printed("nothing to change"));
    CHECK(deployed.CountAuditEntries() == 1);
  }
  SECTION("a conflict shows the current state and who changed it")
  {
    CHECK(ana.Run(kDrain + " --revision 0 --who luc") == 0);
    CHECK(ana.Run(kUndrain + " --revision 0") == 3);
    CHECK(ana.Printed("is drained at revision 1, changed by luc"));
    CHECK(deployed.FindDrain()->drain);
    CHECK(ana.Run("audit") == 0);
    CHECK(ana.Printed("refused: conflict"));
    CHECK(ana.Run(kUndrain + " --revision 1") == 0);
  }
  SECTION("a change between the read and the write is a conflict")
  {
    Terminal luc(deployed.store.Calls());
    bool raced = false;
    faulty.beforeTransact = [&] {
      if (!raced) {
        raced = true;
        luc.Run(kDrain + " --who luc");
      }
    };
    CHECK(ana.Run(kDrain) == 3);
    CHECK(ana.Printed("changed by luc"));
    CHECK(deployed.FindDrain()->revision == 1);
  }
  SECTION("a change whose response is lost is found to be accepted")
  {
    faulty.transactFaults = { StoreFault::ResponseLost };
    CHECK(ana.Run(kDrain) == 0);
    CHECK(deployed.CountAuditEntries() == 1);
  }
  SECTION("an outcome that can't be determined is reported as unknown")
  {
    faulty.transactFaults.assign(1000, StoreFault::ResponseLost);
    faulty.readFaults.assign(1000, StoreFault::Unreachable);
    // Configuration, members and the head of the trail can be read.
    std::fill_n(faulty.readFaults.begin(), 3, StoreFault::None);
    CHECK(ana.Run(kDrain) == 4);
    CHECK(ana.Printed("unknown"));
  }
  SECTION("an unknown member is refused, a drained address without a member "
          "is not")
  {
    CHECK(ana.Run("drain 10.0.0.9:1") == 1);
    CHECK(deployed.CountAuditEntries() == 0);
    CHECK(ana.Run(kDrain) == 0);
    deployed.store.Apply({ {}, {}, { MemberKey(kService, "m1") } });
    CHECK(ana.Run(kUndrain) == 0);
    CHECK_FALSE(deployed.FindDrain()->drain);
  }
}

TEST_CASE("Commands show the deployment as the store holds it", "[ctl]")
{
  TestDeployment deployed;
  Terminal ana(deployed.store.Calls());

  SECTION("nothing is degraded while all keys have owners")
  {
    CHECK(ana.Run("status") == 0);
    CHECK(ana.Printed("nothing is degraded"));
    auto status = ana.RunJson("status");
    CHECK(status["configuration"] == 7);
    CHECK(status["services"][0]["owned_share"] == 1.0);
    CHECK(status["members"].size() == 2);
  }
  SECTION("keys without an owner and members that are not ready are listed")
  {
    deployed.store.Apply({ {}, {}, { MemberKey(kService, "m2") } });
    ana.Run(kDrain);
    MemberRecord draining;
    draining.id = "m1";
    draining.service = kService;
    draining.address = kAddress;
    draining.udpAddress = kAddress;
    draining.state = MemberState::Draining;
    deployed.SetRow(ToRow(draining));
    CHECK(ana.Run("status") == 0);
    CHECK(ana.Printed("agenda: no member is ready"));
    CHECK(ana.Printed("of the keys have no owner that is a member"));
    CHECK(ana.Printed("(agenda): drained by operators"));
  }
  SECTION("rows that another writer has left are listed")
  {
    MemberRecord odd;
    odd.id = "m3";
    odd.service = kService;
    odd.address = "10.0.0.3:8146";
    odd.udpAddress = odd.address;
    deployed.SetRow(ToRow(odd));
    odd.id = "m4";
    odd.address = "10.0.0.4:99999";
    deployed.SetRow(ToRow(odd));
    deployed.SetRow(
      ToRow(RangeRecord{ kService, { 5, 6 }, "m1", UINT64_MAX, "" }));
    deployed.SetRow(ToRow(RangeRecord{ kService, { 90, 99 }, "m9", 1, "" }));
    CHECK(ana.Run("status") == 0);
    CHECK(ana.Printed("10.0.0.3:8146 (agenda): member m3 has no lease"));
    CHECK(ana.Printed("row cluster agenda member/m4 is refused: field 'address'"
                      " is not an IP address and port"));
    CHECK(ana.Printed("row cluster agenda range/00005 is refused: field "
                      "'epoch' is greater than 1099511627775"));
    CHECK(ana.Printed("agenda: keys 90-99 overlap those of another row"));
    auto status = ana.RunJson("status");
    CHECK(status["services"][0]["ready"] == 2);
  }
  SECTION("zones under evacuation are listed with what is left there")
  {
    CHECK(ana.RunJson("status")["evacuated_zones"].empty());
    deployed.SetRow({ EvacuationKey("qc-east-a"), "odd", 0, false });
    deployed.SetRow({ EvacuationKey("empty"), "{}", 0, false });
    deployed.SetRow({ EvacuationKey(""), "{}", 0, false }); // Ignored.
    ana.Run(kDrain);
    CHECK(ana.Run("status") == 0);
    CHECK(ana.Printed("zone qc-east-a is evacuated by row op  "
                      "evacuate/qc-east-a; its members still own keys"));
    CHECK(ana.Printed("EVACUATED ZONE"));
    auto zones = ana.RunJson("status")["evacuated_zones"];
    REQUIRE(zones.size() == 2);
    CHECK(zones[0]["zone"] == "empty");
    CHECK(zones[0]["members"].empty());
    CHECK(zones[1]["row"] == "op  evacuate/qc-east-a");
    CHECK(zones[1]["members"].size() == 2);
    CHECK(zones[1]["key_shares"][kService] == 1.0);
    CHECK(zones[1]["drained"] == nlohmann::json::array({ kAddress }));
  }
  SECTION("keys are located and classes are listed")
  {
    CHECK(ana.Run("key locate agenda 12") == 0);
    CHECK(ana.Printed("owned by m1 at 10.0.0.1:8146"));
    CHECK(ana.RunJson("key locate agenda 1000")["epoch"] == 4);
    CHECK(ana.Run("key locate dossier 1") == 1);
    CHECK(ana.Run("class list") == 0);
    CHECK(ana.Printed("lookup"));
    CHECK(ana.RunJson("class list")["classes"][0]["target_ms"] == 200);
  }
  SECTION("a missing configuration is an error")
  {
    deployed.store.Apply({ {}, {}, { ConfigurationKey() } });
    CHECK(ana.Run("status") == 1);
    CHECK(ana.Printed("the operator has written none yet"));
  }
  SECTION("a daemon's metrics are printed")
  {
    ana.respond = [](const std::string& aAddress, const std::string& aPath) {
      return Result<std::string>(aAddress + aPath);
    };
    CHECK(ana.Run("metrics 10.0.0.1:9464") == 0);
    CHECK(ana.Printed("10.0.0.1:9464/metrics"));
  }
}

TEST_CASE("Wrong arguments are reported as wrong usage on one line", "[ctl]")
{
  TestDeployment deployed;
  Terminal ana(deployed.store.Calls());
  for (const char* line : { "drain",
                            "drain m1 m2",
                            "drain m1 --who \x1b[31m",
                            "drain m1 --who \xff",
                            "drain m1 --revision x",
                            "class",
                            "check settings",
                            "metrics",
                            "key locate agenda",
                            "key locate agenda 65536",
                            "key locate agenda -1",
                            "status --timeout-ms 0",
                            "explain",
                            "nonsense" }) {
    CAPTURE(line, ana.error.str());
    CHECK(ana.Run(line) == 2);
    CHECK(ana.error.str().find('\n') == ana.error.str().size() - 1);
  }
  CHECK(deployed.CountAuditEntries() == 0);
}

TEST_CASE("Each command has help with examples", "[ctl]")
{
  MemoryStore store;
  Terminal ana(store.Calls());
  for (const char* command : { "status",
                               "class list",
                               "key locate",
                               "drain",
                               "undrain",
                               "audit",
                               "check settings",
                               "metrics",
                               "explain" }) {
    CHECK(ana.Run("--help") == 0);
    CHECK(ana.Printed(command));
    CHECK(ana.Run(std::string(command) + " --help") == 0);
    CHECK(ana.Printed("Examples:"));
    CHECK(ana.Printed("Exit codes:"));
  }
}
