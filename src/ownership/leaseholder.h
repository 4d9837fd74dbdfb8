#pragma once

#include <map>
#include <optional>

#include "ownership/leasesettings.h"
#include "ownership/messages.h"

namespace fescuetiller {

/**
 * The holder's side of the lease: sends renewals and knows until when the
 * lease lasts. Time counts from the sending of a renewal or of a write, so
 * that no assumption about delays is needed. While a write that names another
 * grantor has no outcome, nobody knows whose promise binds: renewals sent
 * after that write extend nothing.
 */
class LeaseHolder
{
public:
  LeaseHolder(const LeaseSettings& aSettings, Incarnation aSelf);

  /** Names the grantor to renew from; kNoIncarnation stops renewing. */
  void SetGrantor(Time aNow, Incarnation aGrantor);

  /** A write that names another grantor was started. */
  void ProposeGrantor(Time aNow);

  /** That write had no effect and never will. */
  void WithdrawProposal();

  /** A write of the own member record, sent at aSentAt, committed. */
  void RecordWritten(Time aSentAt);

  void Acknowledged(Time aNow, const RenewalAck& aAck);

  /** @param aAddress The grantor's control address. */
  void Tick(Time aNow,
            const std::string& aAddress,
            std::vector<Output>& aOutputs);

  /** The grantor has been silent for too long. */
  bool GrantorSilent(Time aNow) const;

  Incarnation Grantor() const;
  Time ValidUntil() const;

private:
  LeaseSettings settings;
  Incarnation self;
  Incarnation grantor = kNoIncarnation;
  std::optional<Time> proposedAt;
  Time validUntil;
  Time lastAck;
  Time nextRenewal;
  uint64_t sequence = 0;
  std::map<uint64_t, Time> sentAt;
};

} // namespace fescuetiller
