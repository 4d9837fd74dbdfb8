#pragma once

#include <optional>

#include "ownership/messages.h"

namespace fescuetiller {

/**
 * The backend server beside this daemon: announced, lost, returned. After a
 * loss nothing may move away before what it was granted has lapsed. One that
 * is lost again and again waits longer each time before it gets partitions.
 */
class BackendCondition
{
public:
  void Announced(const BackendAnnounced& aBackend);
  /** @param aLeaseUntil No dispatch sent to it runs for longer. */
  void Lost(Time aNow, const BackendLost& aLost, Time aLeaseUntil);
  void Returned(Time aNow);

  const std::optional<BackendAnnounced>& Backend() const;

  /** It answers, so what it owns may be served. */
  bool Serves() const;

  /** It may be given partitions. */
  bool Accepts(Time aNow) const;

  /** It is lost and may no longer run anything that it was sent. */
  bool Lapsed(Time aNow) const;

private:
  std::optional<BackendAnnounced> backend;
  bool lost = false;
  Time lapsesAt;
  Time lastLoss;
  Time acceptsFrom;
  int losses = 0;
};

} // namespace fescuetiller
