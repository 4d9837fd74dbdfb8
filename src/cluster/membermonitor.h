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

/** A peer message and the UDP address to send it to. */
struct OutgoingMessage
{
  std::string address;
  PeerMessage message;
};

/** A member that has failed and whose keys may be taken over. */
struct LostMember
{
  MemberId id;
  /** Version of the member record for which the failure was established. */
  RowVersion version = 0;
  /** Version that the member's long lease must still have for the takeover; not
   * set if its guardians agreed to the takeover instead. */
  std::optional<RowVersion> leaseVersion;

  friend bool operator==(const LostMember& aLeft, const LostMember& aRight);
};

/**
 * Detects failed members. It monitors the members that named this one as a
 * guardian, and members whose guardians are all missing, that is, have no
 * member record. A member that sent no renewal for longer than the promise is
 * suspected, and its renewals are no longer acknowledged. It is lost once
 * enough of its guardians suspect it, or once its long lease in the store was
 * unchanged for its whole length.
 *
 * All state belongs to one version of the member's record and is reset with the
 * next version, because the member may have granted keys on the promises of
 * guardians that an earlier version named. Does no I/O and
 * reads no clock.
 */
class MemberMonitor
{
public:
  explicit MemberMonitor(const LeaseTimes& aTimes);

  /** @return Whether the renewal may be acknowledged. */
  bool OnRenewal(Time aNow, const MemberId& aMember);

  /** @return Whether this guardian agrees to a takeover of the member. */
  bool OnConsentRequest(Time aNow,
                        const MemberId& aMember,
                        RowVersion aVersion);

  /** Records that another guardian agrees to a takeover of the member. */
  void OnConsent(const MemberId& aMember,
                 const MemberId& aGuardian,
                 RowVersion aVersion);

  /** Records the version of a long lease as read from the store; 0 if the
   * member has none. */
  void OnLongLeaseRead(Time aNow, const MemberId& aMember, RowVersion aVersion);

  /** What to do after a check of the monitored members. */
  struct Findings
  {
    std::vector<OutgoingMessage> messages; ///< Requests for consent.
    std::vector<StoreKey> leaseReads;      ///< Long leases to read.
    std::vector<LostMember> lost;
  };
  /** @param aSilent Members that reply to no probes. Those that this member is
   * not responsible for are judged by their long leases only. */
  Findings Tick(Time aNow,
                const ClusterView& aView,
                const MemberId& aSelf,
                const std::set<MemberId>& aSilent = {});

private:
  struct MonitoredMember
  {
    RowVersion version = 0; ///< Of the member record that this state is about.
    Time lastRenewal;       ///< Or when that record was first seen.
    bool suspected = false;
    std::set<MemberId> consents; ///< Guardians that agree to a takeover.
    /** Guardians whose own member records are missing, and since when. They
     * have acknowledged nothing since, so their last promises expire. */
    std::map<MemberId, Time> missingSince;
    Time nextRequestAt; ///< Next requests for consent.
    Time nextReportAt;  ///< Next report as lost.
    Time nextReadAt;    ///< Next read of its long lease.
    RowVersion leaseVersion = 0;
    Time leaseUnchangedSince; ///< When that lease version was first read.
    bool leaseKnown = false;  ///< Whether its long lease was read yet.
  };

  /** Determines the members that this one is responsible for; does nothing if
   * the view has not changed. */
  void UpdateResponsibilities(const ClusterView& aView, const MemberId& aSelf);
  void CheckMember(Time aNow,
                   const ClusterView& aView,
                   const Versioned<MemberRecord>& aMember,
                   const MemberId& aSelf,
                   Findings& aFindings);
  bool IsSilent(Time aNow, const MonitoredMember& aState) const;
  bool UpdateConsent(Time aNow,
                     const ClusterView& aView,
                     MonitoredMember& aState,
                     const MemberId& aGuardian) const;
  void CheckConsents(Time aNow,
                     const ClusterView& aView,
                     const Versioned<MemberRecord>& aMember,
                     const MemberId& aSelf,
                     size_t aRank,
                     Findings& aFindings);
  void CheckLongLease(Time aNow,
                      const Versioned<MemberRecord>& aMember,
                      Findings& aFindings);

  /** State of the view from which `responsibleFor` was determined. */
  struct ViewState
  {
    uint64_t changes = 0;
    RowVersion version = 0;
    MemberId self;
  };

  LeaseTimes times;
  /** Includes former members, whose renewals are still refused. */
  std::map<MemberId, MonitoredMember> members;
  /** Members that name this one as a guardian, or whose guardians are all
   * missing. */
  std::set<MemberId> responsibleFor;
  ViewState checkedView;
};

} // namespace fescuetiller
