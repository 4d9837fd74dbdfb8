#pragma once

#include <map>
#include <vector>

#include "ownership/clustertable.h"
#include "ownership/leasesettings.h"
#include "ownership/messages.h"

namespace fescuetiller {

/**
 * The grantor's side of the lease: keeps one promise a ward and tells which
 * wards may be taken over. A ward that is being taken over is acknowledged no
 * more, not even for renewals that were received before the decision.
 */
class LeaseGrantor
{
public:
  LeaseGrantor(const LeaseSettings& aSettings, Incarnation aSelf);

  /** Takes up and drops wards as the cluster table says. */
  void Follow(Time aNow, const ClusterTable& aTable);

  /**
   * @param aOwnLeaseValid Whether this daemon's own lease still holds.
   * @return Whether the renewal may be acknowledged.
   */
  bool Renew(Time aNow, const Renewal& aRenewal, bool aOwnLeaseValid);

  /** Wards silent for the lease time and the margin, not being taken over. */
  std::vector<Incarnation> Expired(Time aNow) const;

  /** Acknowledges the ward no more; its takeover is under way. */
  void Bar(Incarnation aWard);

  /** The takeover failed; the ward stays barred and is due again. */
  void TakeOverFailed(Incarnation aWard);

  /** This daemon did not run for a while; wards could not renew. */
  void Resumed(Time aNow);

private:
  struct Ward
  {
    RowVersion version = 0; ///< Of the member record that made it a ward.
    Time promisedAt;
    bool barred = false;
    bool takingOver = false;
  };

  LeaseSettings settings;
  Incarnation self;
  std::map<Incarnation, Ward> wards;
};

} // namespace fescuetiller
