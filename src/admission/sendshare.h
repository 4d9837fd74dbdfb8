#pragma once

#include <map>
#include <string>

#include "base/base.h"

namespace fescuetiller {

/**
 * Which share of the requests of a class the other daemons should send to a
 * server that refuses some of them for lack of room. The other ones would cross
 * the network, often with a body, only to be refused here.
 *
 * A request that was sent although others like it were held back stands for all
 * of them: it has the weight 1 / share. So the share does not depend on how
 * many daemons follow it, and rises again as soon as fewer requests are
 * offered. Does no I/O and reads no clock; not thread-safe.
 */
class SendShare
{
public:
  /** Counts a request that arrived. @param aWeight Requests that it stands for.
   */
  void OnOffered(Time aNow, const std::string& aClass, double aWeight);
  /** Counts a request that got a slot. */
  void OnStarted(Time aNow, const std::string& aClass);

  /** Share to send, above 0 and up to 1. More is sent than can start, so that
   * the queue is never empty and the estimate is renewed. */
  double Of(Time aNow, const std::string& aClass) const;

private:
  /** Requests, counted with exponential decay. */
  struct Counts
  {
    double arrived = 0;
    double offered = 0; ///< With what the requests stand for.
    double started = 0;
    Time decayedAt;
  };

  Counts& Decay(Time aNow, const std::string& aClass);

  std::map<std::string, Counts> counts;
};

} // namespace fescuetiller
