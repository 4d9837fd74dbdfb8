#pragma once

#include <vector>

#include "config/config.h"
#include "ownership/ownership.h"

namespace fescuetiller {

/** Members, owners and drains, from the table service or one daemon. */
struct ClusterView
{
  std::vector<Member> members;
  std::vector<Assignment> assignments;
  std::vector<Drain> drains;
};

const char*
ToString(MemberState aState);

/** Parses the rows of the tables "member", "assignment" and "drain"; others
 * and malformed ones are passed over. */
ClusterView
ParseClusterView(const std::vector<Row>& aRows);

/** Members that have not ended. */
std::vector<Member>
LiveMembers(const ClusterView& aView);

/**
 * Adds members, services and what is degraded.
 * @param aPartitions Number of partitions of each service where it is known;
 * otherwise what was ever assigned counts.
 */
void
AddCluster(const ClusterView& aView,
           const std::map<std::string, uint32_t>& aPartitions,
           wire::StatusReport& aReport);

/** Where a key belongs and who owns it. */
wire::KeyLocation
LocateKey(const ClusterView& aView,
          const std::string& aService,
          const std::string& aKey,
          uint32_t aPartitions);

} // namespace fescuetiller
