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
  /** What is known of the earlier attempts of a request. */
  struct Attempt
  {
    Time firstSentAt; ///< When the first one arrived.
    /** When the client may send the next one; Time() if it may at once. */
    Time retryDueAt;

    friend bool operator==(const Attempt& aLeft, const Attempt& aRight);
  };

  /** Records a request that ended without success.
   * @param aFingerprint Hash of the request, the same for each attempt.
   * @param aClientDeadline Until when the client waits, all retries included.
   */
  void OnUnsuccessful(Time aNow,
                      RequestFingerprint aFingerprint,
                      Time aClientDeadline,
                      const Attempt& aAttempt);

  /** Returns what is known of the earlier attempts of a request that is sent
   * again, and forgets it; empty if the request is not known as a retry. The
   * time of the next attempt is only set if another client's request cannot be
   * mistaken for it. */
  std::optional<Attempt> TakeAttempt(Time aNow,
                                     RequestFingerprint aFingerprint,
                                     Time aClientDeadline);

  bool IsEmpty() const;

private:
  using FingerprintAndDeadline = std::pair<RequestFingerprint, Time>;

  void RemoveExpired(Time aNow);

  std::multimap<FingerprintAndDeadline, Attempt> attempts;
  Time nextRemoval;
};

} // namespace fescuetiller
