#pragma once

#include <map>
#include <set>
#include <vector>

#include "ownership/clustertable.h"
#include "ownership/leasesettings.h"

namespace fescuetiller {

/**
 * Members that no grantor may take over and that are presumed lost once their
 * record has not changed for the lease time and the margin:
 * - the table service grants their lease, so a live one writes its record;
 * - their control address is bound by this very process, so theirs is gone;
 * - an operator has declared that their process is gone.
 * Several daemons may find the same member; the conditional write lets one win
 * and a rank, drawn by hash, spaces their attempts.
 */
class LostMemberWatch
{
public:
  LostMemberWatch(const LeaseSettings& aSettings, const Member& aSelf);

  /** The operator's word that a member's process runs no more. */
  void Declare(Incarnation aMember);

  /** Counts anew, e.g. while records cannot be read or after a pause. */
  void Reset();

  void Follow(Time aNow, const ClusterTable& aTable);

  /** Members to take over now; each is told once until TakeOverFailed. */
  std::vector<Incarnation> TakeDue(Time aNow, const ClusterTable& aTable);

  void TakeOverFailed(Time aNow, Incarnation aMember);

private:
  struct Entry
  {
    RowVersion version = 0;
    Time since;
    bool takingOver = false;
  };

  bool Watched(const Member& aMember, const ClusterTable& aTable) const;
  size_t Rank(const Member& aMember, const ClusterTable& aTable) const;

  LeaseSettings settings;
  Incarnation self;
  std::string controlAddress;
  std::set<Incarnation> declared;
  uint64_t followed = 0;
  std::map<Incarnation, Entry> entries;
};

} // namespace fescuetiller
