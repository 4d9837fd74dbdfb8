#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cluster/leasetimes.h"
#include "cluster/records.h"

namespace fescuetiller {

/**
 * The own lease, which limits how long this member may grant keys. The lease
 * requires valid acknowledgements from enough guardians and a long lease in the
 * store. A guardian does not agree to a takeover within the time of a promise
 * after it first sees a new version of the member record, so writing the record
 * counts as an acknowledgement from each guardian. While a change of guardians
 * is being written it is unknown which set is in force, so the lease requires
 * both. Does no I/O and reads no clock.
 */
class OwnLease
{
public:
  explicit OwnLease(const LeaseTimes& aTimes);

  /** Starts a new lease after joining. @param aSentAt When the member record
   * and the long lease were first sent to the store. */
  void Start(std::vector<MemberId> aGuardians, Time aSentAt);

  /** A member record with other guardians is being written. @param aSentAt When
   * it was first sent to the store. */
  void BeginGuardianChange(std::vector<MemberId> aGuardians, Time aSentAt);
  /** The change of guardians was committed or certainly had no effect. */
  void EndGuardianChange(bool aCommitted);

  /** A guardian acknowledged a renewal. @param aSentAt When it was sent. */
  void OnAcknowledgement(const MemberId& aGuardian, Time aSentAt);

  /** The store confirmed a renewal of the long lease. @param aSentAt When the
   * renewal was sent. */
  void OnLongLeaseRenewed(Time aSentAt);

  /** Expiry of the lease. */
  Time EndsAt() const;

  /** Current guardians, and during a change also the next ones. */
  std::vector<MemberId> Guardians() const;

  bool IsChangingGuardians() const;

  /** When the guardian's latest acknowledged renewal was sent. */
  std::optional<Time> LastAcknowledged(const MemberId& aGuardian) const;

private:
  Time PromisedUntil(const std::vector<MemberId>& aGuardians,
                     Time aWrittenAt) const;

  LeaseTimes times;
  std::vector<MemberId> guardians;
  Time writtenAt; ///< When the record with these guardians was first sent.
  /** Guardians in the record that is being written, if any. */
  std::optional<std::vector<MemberId>> nextGuardians;
  Time nextWrittenAt; ///< When that record was first sent.
  /** When the latest acknowledged renewal to each guardian was sent. */
  std::map<MemberId, Time> acknowledged;
  Time longLeaseSentAt; ///< When its latest confirmed renewal was sent.
};

} // namespace fescuetiller
