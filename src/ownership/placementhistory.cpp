#include "ownership/placementhistory.h"

namespace fescuetiller {

void
PlacementHistory::Follow(Time aNow, const ClusterTable& aTable)
{
  if (this->followed == aTable.ChangeCount()) {
    return;
  }
  this->followed = aTable.ChangeCount();
  std::map<Incarnation, Time> known;
  for (const auto& [incarnation, member] : aTable.Members()) {
    auto before = this->knownSince.find(incarnation);
    known[incarnation] =
      before == this->knownSince.end() ? aNow : before->second;
  }
  this->knownSince = std::move(known);
  for (const auto& [partition, assignment] : aTable.Assignments()) {
    auto& ownership = this->ownerships[partition];
    if (ownership.owner != assignment.owner) {
      ownership = { assignment.owner, ownership.owner, aNow };
    }
  }
}

void
PlacementHistory::Complete(PlacementView& aView) const
{
  for (auto& server : aView.servers) {
    auto known = this->knownSince.find(server.id);
    if (known != this->knownSince.end()) {
      server.age = aView.now - known->second;
    }
  }
  for (auto& partition : aView.partitions) {
    auto ownership = this->ownerships.find(partition.id);
    if (ownership != this->ownerships.end()) {
      partition.ownedFor = aView.now - ownership->second.since;
      partition.previousOwner = ownership->second.previous;
    }
  }
}

} // namespace fescuetiller
