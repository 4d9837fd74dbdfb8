#include "fescuetillerd/routes.h"

namespace fescuetiller {

void
Routes::Publish(const ClusterTable& aTable)
{
  auto next = std::make_shared<Map>();
  for (const auto& [partition, assignment] : aTable.Assignments()) {
    const Member* owner = aTable.FindMember(assignment.owner);
    if (owner != nullptr && owner->state != MemberState::Ended) {
      (*next)[partition] = { owner->incarnation,
                             owner->peerAddress,
                             owner->callerAddress };
    }
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  this->current = std::move(next);
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
