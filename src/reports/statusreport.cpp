#include "reports/statusreport.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** Counts of one service while the rows are gone through. */
struct ServiceCounts
{
  uint32_t known = 0;
  uint32_t owned = 0;
  uint32_t members = 0;
  uint32_t slots = 0;
  double mostPerSlot = 0;
};

using Owners = std::map<Incarnation, uint32_t>;

std::set<std::string>
DrainedNames(const ClusterView& aView)
{
  std::set<std::string> names;
  for (const auto& drain : aView.drains) {
    if (drain.drain) {
      names.insert(drain.name);
    }
  }
  return names;
}

std::string
NameOf(const std::map<Incarnation, Member>& aMembers, Incarnation aIncarnation)
{
  auto found = aMembers.find(aIncarnation);
  return found == aMembers.end() ? ToHex(aIncarnation) : found->second.name;
}

std::map<Incarnation, Member>
ByIncarnation(const ClusterView& aView)
{
  std::map<Incarnation, Member> members;
  for (const auto& member : aView.members) {
    members[member.incarnation] = member;
  }
  return members;
}

bool
IsLive(const std::map<Incarnation, Member>& aMembers, Incarnation aOwner)
{
  auto found = aMembers.find(aOwner);
  return found != aMembers.end() && found->second.state != MemberState::Ended;
}

void
AddMember(const Member& aMember,
          const std::map<Incarnation, Member>& aMembers,
          uint32_t aPartitions,
          bool aDrainWanted,
          wire::StatusReport& aReport)
{
  auto* added = aReport.add_members();
  added->set_incarnation(ToHex(aMember.incarnation));
  added->set_name(aMember.name);
  added->set_service(aMember.service);
  added->set_zone(aMember.zone);
  added->set_state(ToString(aMember.state));
  added->set_slots(aMember.slots);
  added->set_connections(aMember.connections);
  added->set_partitions(aPartitions);
  added->set_drain_wanted(aDrainWanted);
  added->set_operator_address(aMember.operatorAddress);
  added->set_granted_by(aMember.grantor == kNoIncarnation
                          ? "table service"
                          : NameOf(aMembers, aMember.grantor));
}

void
AddService(const std::string& aName,
           const ServiceCounts& aCounts,
           wire::StatusReport& aReport)
{
  auto* added = aReport.add_services();
  added->set_name(aName);
  added->set_partitions_known(aCounts.known);
  added->set_partitions_owned(aCounts.owned);
  added->set_members(aCounts.members);
  added->set_slots(aCounts.slots);
  if (aCounts.owned > 0 && aCounts.slots > 0) {
    double mean = static_cast<double>(aCounts.owned) / aCounts.slots;
    added->set_imbalance(aCounts.mostPerSlot / mean);
  }
  if (aCounts.owned < aCounts.known) {
    aReport.add_degraded(
      aName + ": " + std::to_string(aCounts.known - aCounts.owned) + " of " +
      std::to_string(aCounts.known) + " partitions have no live owner");
  }
  if (aCounts.members == 0) {
    aReport.add_degraded(aName + ": no live member");
  }
}

void
Count(const ClusterView& aView,
      const std::map<Incarnation, Member>& aMembers,
      const std::map<std::string, uint32_t>& aPartitions,
      std::map<std::string, ServiceCounts>& aServices,
      Owners& aOwners)
{
  for (const auto& assignment : aView.assignments) {
    ServiceCounts& service = aServices[assignment.partition.service];
    ++service.known;
    if (IsLive(aMembers, assignment.owner)) {
      ++service.owned;
      ++aOwners[assignment.owner];
    }
  }
  for (const auto& [name, count] : aPartitions) {
    aServices[name].known = count;
  }
}

} // namespace

const char*
ToString(MemberState aState)
{
  switch (aState) {
    case MemberState::Active:
      return "active";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Ended:
      return "ended";
  }
  return "unknown";
}

ClusterView
ParseClusterView(const std::vector<Row>& aRows)
{
  ClusterView view;
  for (const auto& row : aRows) {
    if (row.key.table == kMemberTable) {
      auto member = ParseMember(row);
      if (member) {
        view.members.push_back(*member);
      }
    } else if (row.key.table == kAssignmentTable) {
      auto assignment = ParseAssignment(row);
      if (assignment) {
        view.assignments.push_back(*assignment);
      }
    } else if (row.key.table == kDrainTable) {
      auto drain = ParseDrain(row);
      if (drain) {
        view.drains.push_back(*drain);
      }
    }
  }
  return view;
}

std::vector<Member>
LiveMembers(const ClusterView& aView)
{
  std::vector<Member> live;
  for (const auto& member : aView.members) {
    if (member.state != MemberState::Ended) {
      live.push_back(member);
    }
  }
  std::sort(
    live.begin(), live.end(), [](const Member& aLeft, const Member& aRight) {
      return std::tie(aLeft.service, aLeft.name, aLeft.incarnation) <
             std::tie(aRight.service, aRight.name, aRight.incarnation);
    });
  return live;
}

void
AddCluster(const ClusterView& aView,
           const std::map<std::string, uint32_t>& aPartitions,
           wire::StatusReport& aReport)
{
  auto members = ByIncarnation(aView);
  auto drained = DrainedNames(aView);
  std::map<std::string, ServiceCounts> services;
  Owners owners;
  Count(aView, members, aPartitions, services, owners);
  for (const auto& member : LiveMembers(aView)) {
    uint32_t partitions = owners[member.incarnation];
    bool drainWanted = drained.count(member.name) != 0;
    AddMember(member, members, partitions, drainWanted, aReport);
    ServiceCounts& service = services[member.service];
    ++service.members;
    service.slots += member.slots;
    double perSlot =
      member.slots == 0 ? 0 : static_cast<double>(partitions) / member.slots;
    service.mostPerSlot = std::max(service.mostPerSlot, perSlot);
    if (drainWanted) {
      aReport.add_degraded(member.name + ": drained by an operator");
    } else if (member.state == MemberState::Leaving) {
      aReport.add_degraded(member.name + ": leaving");
    }
  }
  for (const auto& [name, counts] : services) {
    AddService(name, counts, aReport);
  }
}

wire::KeyLocation
LocateKey(const ClusterView& aView,
          const std::string& aService,
          const std::string& aKey,
          uint32_t aPartitions)
{
  PartitionId partition = PartitionOf(aService, aKey, aPartitions);
  auto members = ByIncarnation(aView);
  wire::KeyLocation location;
  location.set_service(aService);
  location.set_key(aKey);
  location.set_partition(partition.index);
  for (const auto& assignment : aView.assignments) {
    if (!(assignment.partition == partition)) {
      continue;
    }
    location.set_epoch(assignment.epoch);
    location.set_owned(IsLive(members, assignment.owner));
    if (location.owned()) {
      location.set_owner(ToHex(assignment.owner));
      location.set_owner_name(members[assignment.owner].name);
      location.set_zone(members[assignment.owner].zone);
    }
  }
  return location;
}

} // namespace fescuetiller
