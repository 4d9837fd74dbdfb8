#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/clusterview.h"
#include "cluster/leasetimes.h"
#include "cluster/peermessage.h"

namespace fescuetiller {

/** A datagram and the address that it goes to. */
struct OutgoingMessage
{
  std::string address;
  PeerMessage message;
};

/** A member whose keys may be given to others. */
struct LostMember
{
  MemberId id;
  /** Version of its record that the finding is about. */
  RowVersion version = 0;
  /** Version that its long lease must still have; none: guardians agreed. */
  std::optional<RowVersion> leaseVersion;

  friend bool operator==(const LostMember& aLeft, const LostMember& aRight);
};

/**
 * Watches the members that named this one as a guardian. A member that is
 * silent for longer than the promise is condemned: its renewals are not
 * acknowledged any more. Once enough of its guardians have condemned it, or
 * once its long lease in the store has stood unchanged for its whole length, it
 * is lost. All of this is about one version of the member's record and starts
 * anew with the next: the member may have granted keys on the word of the
 * guardians that an earlier version named. Pure.
 */
class MemberMonitor
{
public:
  explicit MemberMonitor(const LeaseTimes& aTimes);

  /** @return Whether the renewal may be acknowledged. */
  bool OnRenewal(Time aNow, const MemberId& aWard);

  /** @return Whether this guardian agrees to a takeover. */
  bool OnConsentRequest(Time aNow, const MemberId& aWard, RowVersion aVersion);

  void OnConsent(const MemberId& aWard,
                 const MemberId& aGuardian,
                 RowVersion aVersion);

  /** Answer to a lease read; version 0: it has none. */
  void OnLongLeaseRead(Time aNow, const MemberId& aWard, RowVersion aVersion);

  /** Fills in the messages to send, the members whose long lease is to be read,
   * and the members that are lost. */
  struct Findings
  {
    std::vector<OutgoingMessage> messages;
    std::vector<StoreKey> leaseReads;
    std::vector<LostMember> lost;
  };
  /** @param aSilent Members that answer no questions; unless this one is
   * their guardian, it goes by their long leases. */
  Findings Tick(Time aNow,
                const ClusterView& aView,
                const MemberId& aSelf,
                const std::set<MemberId>& aSilent = {});

private:
  struct Ward
  {
    RowVersion version = 0; ///< Of the record that names this guardian.
    Time lastSeen;          ///< Or when that record was first seen.
    bool condemned = false;
    std::set<MemberId> consents;
    /** Guardians whose own records are gone. They acknowledge nothing since,
     * so their last promises run out. */
    std::map<MemberId, Time> missingSince;
    Time nextAskAt;
    Time nextReportAt;
    Time nextReadAt;
    RowVersion leaseVersion = 0;
    Time leaseSeenAt; ///< Since when the version has been seen unchanged.
    bool leaseSeen = false;
  };

  /** Looks through all members for those to pursue; only when the view has
   * changed. */
  void FindPursued(const ClusterView& aView, const MemberId& aSelf);
  void Look(Time aNow,
            const ClusterView& aView,
            const Versioned<MemberRecord>& aMember,
            const MemberId& aSelf,
            Findings& aFindings);
  bool IsSilent(Time aNow, const Ward& aWard) const;
  bool Agrees(Time aNow,
              const ClusterView& aView,
              Ward& aWard,
              const MemberId& aGuardian) const;
  void Pursue(Time aNow,
              const ClusterView& aView,
              const Versioned<MemberRecord>& aMember,
              const MemberId& aSelf,
              size_t aRank,
              Findings& aFindings);
  void WatchLease(Time aNow,
                  const Versioned<MemberRecord>& aMember,
                  Findings& aFindings);

  /** What the list of members to pursue was made from. */
  struct Basis
  {
    uint64_t changes = 0;
    RowVersion version = 0;
    MemberId self;
  };

  LeaseTimes times;
  /** Also of members that have ended: their renewals are still refused. */
  std::map<MemberId, Ward> wards;
  /** Members that name this one as a guardian, or whose guardians are all
   * gone. */
  std::set<MemberId> pursued;
  Basis pursuedBasis;
};

} // namespace fescuetiller
