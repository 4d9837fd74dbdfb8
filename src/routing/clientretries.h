#pragma once

#include <map>
#include <optional>
#include <utility>

#include "model/model.h"

namespace fescuetiller {

/**
 * Recognizes requests that clients send again after a refusal or failure, so
 * that their target time is counted from the first attempt. Each attempt has an
 * id of its own, but the request is the same and the client waits until the
 * same time. Does no I/O and reads no clock; not thread-safe.
 */
class ClientRetries
{
public:
  /** Records a request that ended without success.
   * @param aFingerprint Hash of the request, the same for each attempt.
   * @param aClientDeadline Until when the client waits, all retries included.
   * @param aFirstSentAt When the first attempt arrived. */
  void OnUnsuccessful(Time aNow,
                      RequestFingerprint aFingerprint,
                      Time aClientDeadline,
                      Time aFirstSentAt);

  /** Returns when the first attempt of a request arrived that is sent again,
   * and forgets it; empty if the request is not known as a retry. */
  std::optional<Time> TakeFirstSentAt(Time aNow,
                                      RequestFingerprint aFingerprint,
                                      Time aClientDeadline);

  bool IsEmpty() const;

private:
  using FingerprintAndDeadline = std::pair<RequestFingerprint, Time>;

  void RemoveExpired(Time aNow);

  /** When the first attempts arrived. */
  std::multimap<FingerprintAndDeadline, Time> firstAttempts;
  Time nextRemoval;
};

} // namespace fescuetiller
