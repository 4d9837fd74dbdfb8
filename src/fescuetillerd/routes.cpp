#include "fescuetillerd/routes.h"

#include <algorithm>

namespace fescuetiller {

void
Routes::Publish(const ClusterTable& aTable)
{
  auto next = std::make_shared<Map>();
  RowVersion reached = 0;
  for (const auto& [partition, assignment] : aTable.Assignments()) {
    reached = std::max(reached, assignment.version);
    const Member* owner = aTable.FindMember(assignment.owner);
    if (owner != nullptr && owner->state != MemberState::Ended) {
      (*next)[partition] = { owner->incarnation,
                             assignment.epoch,
                             assignment.version,
                             owner->peerAddress,
                             owner->callerAddress };
    }
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  this->current = std::move(next);
  this->revision = std::max(this->revision, reached);
}

RowVersion
Routes::Revision() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->revision;
}

std::optional<Route>
Routes::Find(const PartitionId& aPartition) const
{
  std::shared_ptr<const Map> routes;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    routes = this->current;
  }
  auto found = routes->find(aPartition);
  if (found == routes->end()) {
    return std::nullopt;
  }
  return found->second;
}

} // namespace fescuetiller
