#include <map>
#include <set>

#include <boost/algorithm/string/join.hpp>
#include <nlohmann/json.hpp>

#include "fescuetillerctl/deployment.h"
#include "fescuetillerctl/texttable.h"
#include "platform/platform.h"

namespace fescuetiller {

namespace {

using nlohmann::json;

constexpr double kAllKeys = static_cast<double>(kLastKey) + 1;
constexpr double kPercent = 100;

double
ShareOf(const KeyRange& aRange)
{
  return (static_cast<double>(aRange.last) - aRange.first + 1) / kAllKeys;
}

/** Members that have a long lease in the store. */
using LeaseHolders = std::set<MemberId>;

struct MemberStatus
{
  MemberRecord record;
  size_t ranges = 0;
  double keyShare = 0;  ///< Share of the service's keys that it owns.
  bool drained = false; ///< Whether operators have drained it.
  /** Each process that joins writes a lease, so a row without one has none. */
  bool hasLease = false;
};

struct ServiceStatus
{
  std::string name;
  bool ownsKeys = false;
  size_t members = 0;
  size_t ready = 0;
  double ownedShare = 0; ///< Share of the keys whose owner is a member.
};

/** The members of a service in a zone that operators evacuate. */
struct EvacuatedService
{
  std::vector<std::string> members; ///< Addresses.
  std::vector<std::string> drained; ///< Addresses that operators drained.
  double keyShare = 0; ///< Share of the service's keys that they still own.
};

/** A zone that operators evacuate. */
struct EvacuationStatus
{
  std::string zone;
  StoreKey row; ///< By which the evacuation is ordered.
  std::map<std::string, EvacuatedService> services; ///< By name.
};

/** Summary of a deployment, as the status command prints it. */
struct Status
{
  uint64_t configuration = 0; ///< Version of the configuration.
  std::vector<ServiceStatus> services;
  std::vector<MemberStatus> members;
  std::vector<EvacuationStatus> evacuations;
  std::vector<std::string> degraded; ///< One line for each problem.
};

MemberStatus
SummarizeMember(const ClusterView& aCluster,
                const LeaseHolders& aLeases,
                const MemberRecord& aRecord)
{
  MemberStatus status;
  status.record = aRecord;
  status.hasLease = aLeases.count(aRecord.id) > 0;
  status.drained = aCluster.IsDrained(aRecord.service, aRecord.address);
  for (const auto& [first, range] : aCluster.RangesOf(aRecord.service)) {
    if (range.record.owner == aRecord.id) {
      ++status.ranges;
      status.keyShare += ShareOf(range.record.range);
    }
  }
  return status;
}

void
AddDegraded(const ServiceStatus& aService, Status& aStatus)
{
  if (aService.ready == 0) {
    aStatus.degraded.push_back(aService.name + ": no member is ready");
  }
  constexpr double kRounding = 1e-9;
  if (aService.ownsKeys && aService.ownedShare < 1 - kRounding) {
    aStatus.degraded.push_back(
      aService.name + ": " +
      FormatNumber((1 - aService.ownedShare) * kPercent) +
      "% of the keys have no owner that is a member");
  }
}

/** Adds rows that another writer has left. */
void
AddOddRows(const Deployment& aDeployment, Status& aStatus)
{
  for (const auto& [key, row] : aDeployment.cluster.RefusedRows()) {
    aStatus.degraded.push_back("row " + ToString(key) +
                               " is refused: " + row.error.message);
  }
  for (const auto& [name, service] : aDeployment.configuration.services) {
    for (const auto* range : aDeployment.cluster.OverlappingRanges(name)) {
      aStatus.degraded.push_back(name + ": keys " +
                                 ToString(range->record.range) +
                                 " overlap those of another row");
    }
  }
}

/** Adds the zones under evacuation. The members must have been added. */
void
AddEvacuations(const std::vector<EvacuationStatus>& aOrdered, Status& aStatus)
{
  for (auto evacuation : aOrdered) {
    double keys = 0;
    for (const auto& member : aStatus.members) {
      if (member.record.zone != evacuation.zone) {
        continue;
      }
      auto& service = evacuation.services[member.record.service];
      service.members.push_back(member.record.address);
      service.keyShare += member.keyShare;
      keys += member.keyShare;
      if (member.drained) {
        service.drained.push_back(member.record.address);
      }
    }
    auto line = "zone " + evacuation.zone + " is evacuated by row " +
                ToString(evacuation.row);
    aStatus.degraded.push_back(keys > 0 ? line + "; its members still own keys"
                                        : line);
    aStatus.evacuations.push_back(std::move(evacuation));
  }
}

Status
Summarize(const Deployment& aDeployment,
          const LeaseHolders& aLeases,
          const std::vector<EvacuationStatus>& aEvacuations)
{
  Status status;
  status.configuration = aDeployment.configuration.version;
  for (const auto& [name, service] : aDeployment.configuration.services) {
    ServiceStatus summary;
    summary.name = name;
    summary.ownsKeys = service.ownsKeys;
    for (const auto* record : aDeployment.cluster.MembersOf(name)) {
      auto member = SummarizeMember(aDeployment.cluster, aLeases, *record);
      ++summary.members;
      bool isReady = record->state == MemberState::Ready && member.hasLease;
      summary.ready += isReady ? 1 : 0;
      summary.ownedShare += member.keyShare;
      if (!member.hasLease) {
        status.degraded.push_back(record->address + " (" + name + "): member " +
                                  record->id +
                                  " has no lease, so no process of its own");
      }
      if (record->state != MemberState::Ready) {
        status.degraded.push_back(
          record->address + " (" + name + "): " +
          (member.drained ? "drained by operators" : ToString(record->state)));
      }
      status.members.push_back(std::move(member));
    }
    AddDegraded(summary, status);
    status.services.push_back(std::move(summary));
  }
  AddEvacuations(aEvacuations, status);
  AddOddRows(aDeployment, status);
  return status;
}

/** Reads which zones operators have ordered to evacuate. */
Result<std::vector<EvacuationStatus>>
ReadEvacuations(const StoreCalls& aStore)
{
  auto rows = aStore.read(ConfigurationKey().table, ConfigurationKey().part);
  if (!rows) {
    return tl::unexpected(rows.error());
  }
  std::vector<EvacuationStatus> evacuations;
  for (const auto& row : rows->rows) {
    auto zone = ParseEvacuationKey(row.key);
    if (zone && !zone->empty()) {
      evacuations.push_back({ *zone, row.key, {} });
    }
  }
  return evacuations;
}

Result<LeaseHolders>
ReadLeases(const StoreCalls& aStore, const Deployment& aDeployment)
{
  LeaseHolders holders;
  for (const auto& [name, service] : aDeployment.configuration.services) {
    auto rows = aStore.read(kLeaseTable, name);
    if (!rows) {
      return tl::unexpected(rows.error());
    }
    for (const auto& row :
         FromStored(std::move(rows->rows), EraOf(rows->version))) {
      holders.insert(row.key.key);
    }
  }
  return holders;
}

std::string
DescribeState(const MemberStatus& aMember)
{
  if (!aMember.hasLease) {
    return "no lease";
  }
  return aMember.drained ? "drained" : ToString(aMember.record.state);
}

json
ToJson(const Status& aStatus)
{
  json services = json::array();
  for (const auto& service : aStatus.services) {
    services.push_back({ { "name", service.name },
                         { "owns_keys", service.ownsKeys },
                         { "members", service.members },
                         { "ready", service.ready },
                         { "owned_share", service.ownedShare } });
  }
  json members = json::array();
  for (const auto& member : aStatus.members) {
    members.push_back({ { "id", member.record.id },
                        { "service", member.record.service },
                        { "zone", member.record.zone },
                        { "address", member.record.address },
                        { "state", ToString(member.record.state) },
                        { "drained", member.drained },
                        { "has_lease", member.hasLease },
                        { "ranges", member.ranges },
                        { "key_share", member.keyShare },
                        { "guardians", member.record.guardians } });
  }
  json evacuations = json::array();
  for (const auto& evacuation : aStatus.evacuations) {
    std::vector<std::string> members;
    json shares = json::object();
    std::vector<std::string> drained;
    for (const auto& [name, service] : evacuation.services) {
      members.insert(
        members.end(), service.members.begin(), service.members.end());
      shares[name] = service.keyShare;
      drained.insert(
        drained.end(), service.drained.begin(), service.drained.end());
    }
    evacuations.push_back({ { "zone", evacuation.zone },
                            { "row", ToString(evacuation.row) },
                            { "members", members },
                            { "key_shares", shares },
                            { "drained", drained } });
  }
  return { { "configuration", aStatus.configuration },
           { "services", services },
           { "members", members },
           { "evacuated_zones", evacuations },
           { "degraded", aStatus.degraded } };
}

void
PrintEvacuations(std::ostream& aOut, const Status& aStatus)
{
  if (aStatus.evacuations.empty()) {
    return;
  }
  TextTable table(
    { "EVACUATED ZONE", "ROW", "SERVICE", "MEMBERS", "KEYS LEFT", "DRAINED" });
  for (const auto& evacuation : aStatus.evacuations) {
    for (const auto& service : aStatus.services) {
      auto found = evacuation.services.find(service.name);
      auto left =
        found == evacuation.services.end() ? EvacuatedService() : found->second;
      table.Add(
        { evacuation.zone,
          ToString(evacuation.row),
          service.name,
          std::to_string(left.members.size()),
          service.ownsKeys ? FormatNumber(left.keyShare * kPercent) + "%" : "-",
          left.drained.empty() ? "-" : boost::join(left.drained, " ") });
    }
  }
  aOut << "\n";
  table.Print(aOut);
}

void
Print(std::ostream& aOut, const Status& aStatus)
{
  aOut << "configuration " << aStatus.configuration << "\n\n";
  TextTable services({ "SERVICE", "MEMBERS", "READY", "KEYS OWNED" });
  for (const auto& service : aStatus.services) {
    services.Add({ service.name,
                   std::to_string(service.members),
                   std::to_string(service.ready),
                   service.ownsKeys
                     ? FormatNumber(service.ownedShare * kPercent) + "%"
                     : "-" });
  }
  services.Print(aOut);
  aOut << "\n";
  TextTable members({ "MEMBER",
                      "SERVICE",
                      "ZONE",
                      "ADDRESS",
                      "STATE",
                      "RANGES",
                      "KEYS",
                      "GUARDIANS" });
  for (const auto& member : aStatus.members) {
    members.Add({ member.record.id,
                  member.record.service,
                  member.record.zone,
                  member.record.address,
                  DescribeState(member),
                  std::to_string(member.ranges),
                  FormatNumber(member.keyShare * kPercent) + "%",
                  std::to_string(member.record.guardians.size()) });
  }
  members.Print(aOut);
  PrintEvacuations(aOut, aStatus);
  aOut << "\n"
       << (aStatus.degraded.empty() ? "nothing is degraded\n" : "degraded:\n");
  for (const auto& degraded : aStatus.degraded) {
    aOut << "  " << degraded << "\n";
  }
}

ExitCode
ShowStatus(Session& aSession,
           const CommonOptions& aOptions,
           const options::variables_map& /*aValues*/)
{
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return ReportError(aSession, store.error());
  }
  auto deployment = ReadDeployment(*store);
  if (!deployment) {
    return ReportError(aSession, deployment.error());
  }
  auto leases = ReadLeases(*store, *deployment);
  if (!leases) {
    return ReportError(aSession, leases.error());
  }
  auto evacuations = ReadEvacuations(*store);
  if (!evacuations) {
    return ReportError(aSession, evacuations.error());
  }
  auto status = Summarize(*deployment, *leases, *evacuations);
  if (aOptions.json) {
    aSession.out << ToJson(status).dump() << "\n";
  } else {
    Print(aSession.out, status);
  }
  return ExitCode::Ok;
}

} // namespace

Command
StatusCommand()
{
  return { "status",
           "",
           "Shows services, members, their key shares and what is degraded.",
           "  fescuetillerctl status --store 10.200.1.7:8142\n"
           "  fescuetillerctl status --json",
           {},
           nullptr,
           ShowStatus };
}

} // namespace fescuetiller
