#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cluster/leasetimes.h"
#include "cluster/records.h"

namespace fescuetiller {

/**
 * Until when this member may grant keys. It needs acknowledgements from enough
 * of its guardians and a long lease in the store. Guardians give a new version
 * of the record a whole promise from when they see it, so writing it counts as
 * an acknowledgement from each of them. While a change of guardians is being
 * written nobody knows which set binds, so both must agree. Pure.
 */
class OwnLease
{
public:
  explicit OwnLease(const LeaseTimes& aTimes);

  /** @param aSentAt When the record and the long lease were first sent to the
   * store. */
  void Start(std::vector<MemberId> aGuardians, Time aSentAt);

  void BeginChange(std::vector<MemberId> aGuardians, Time aSentAt);
  void EndChange(bool aCommitted);

  /** @param aSentAt When the acknowledged renewal was sent. */
  void Acknowledged(const MemberId& aGuardian, Time aSentAt);

  /** @param aSentAt When the write that the store confirmed was sent. */
  void LongLeaseRenewed(Time aSentAt);

  Time EndsAt() const;

  /** Guardians of both sets. */
  std::vector<MemberId> Guardians() const;

  bool Changing() const;

  /** When the guardian's latest acknowledged renewal was sent. */
  std::optional<Time> LastAcknowledged(const MemberId& aGuardian) const;

private:
  Time PromisedUntil(const std::vector<MemberId>& aGuardians,
                     Time aWrittenAt) const;

  LeaseTimes times;
  std::vector<MemberId> guardians;
  Time writtenAt; ///< When the record with these guardians was first sent.
  std::optional<std::vector<MemberId>> next;
  Time nextWrittenAt;
  std::map<MemberId, Time> acknowledged;
  Time longLeaseSentAt;
};

} // namespace fescuetiller
