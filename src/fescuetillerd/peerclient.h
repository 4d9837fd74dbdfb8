#pragma once

#include <list>
#include <map>
#include <memory>
#include <mutex>

#include "requests/requests.h"
#include "wire/wire.h"

namespace fescuetiller {

/**
 * Calls other daemons over gRPC. Keeps the channels that were used last, up to
 * a bound, so that memory does not grow with the number of daemons.
 */
class PeerClient
{
public:
  explicit PeerClient(size_t aMaxChannels);

  /** Sends a request to the owner's daemon, once. */
  Outcome Forward(const std::string& aAddress, const Request& aRequest);

  /** Sends rows to a daemon; returns rows that it has newer. */
  Result<wire::Deltas> Exchange(const std::string& aAddress,
                                const wire::Deltas& aDeltas);

private:
  using Stub = std::shared_ptr<wire::Peer::Stub>;
  using Channel = std::pair<std::string, Stub>;

  Stub Find(const std::string& aAddress);

  size_t maxChannels;
  std::mutex mutex;
  std::list<Channel> recent; ///< Most recently used first.
  std::map<std::string, std::list<Channel>::iterator> byAddress;
};

/** Outcome as it crosses daemons. */
wire::ForwardReply
ToWire(const Outcome& aOutcome);

Outcome
FromWire(const wire::ForwardReply& aReply);

} // namespace fescuetiller
