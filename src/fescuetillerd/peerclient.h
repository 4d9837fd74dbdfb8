#pragma once

#include <list>
#include <map>
#include <memory>
#include <mutex>

#include "fescuetillerd/requestmemory.h"
#include "requests/requests.h"
#include "wire/wire.h"

namespace fescuetiller {

/** Largest message between daemons: an answer and what goes with it. */
constexpr int kMaxPeerMessageBytes = 65 * 1024 * 1024;

/** How a call to another daemon ended. */
struct CallResult
{
  CallEnd end = CallEnd::Lost;
  Outcome outcome;
};

/**
 * Calls other daemons over gRPC. Keeps the channels that were used last, up to
 * a bound, so that memory does not grow with the number of daemons.
 */
class PeerClient
{
public:
  PeerClient(size_t aMaxChannels, RequestMemory& aMemory);

  /** Sends a request to the owner's daemon, once. */
  CallResult Forward(const Owner& aOwner,
                     const Request& aRequest,
                     bool aIdempotent);

  /** Asks the owner's daemon what became of a request. */
  CallResult Settle(const Owner& aOwner, const Request& aRequest);

  /** Sends rows to a daemon; returns rows that it has newer. */
  Result<wire::Deltas> Exchange(const std::string& aAddress,
                                const wire::Deltas& aDeltas);

private:
  /** One connection to one daemon. */
  struct Link
  {
    std::string address;
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<wire::Peer::Stub> stub;
  };

  using LinkPointer = std::shared_ptr<Link>;

  LinkPointer Find(const std::string& aAddress);
  LinkPointer FindConnected(const std::string& aAddress, Duration aRemaining);
  void Drop(const LinkPointer& aLink);
  CallResult Finish(const LinkPointer& aLink,
                    const grpc::Status& aStatus,
                    const wire::ForwardReply& aReply);

  size_t maxChannels;
  std::mutex mutex;
  RequestMemory& memory;
  std::list<LinkPointer> recent; ///< Most recently used first.
  std::map<std::string, std::list<LinkPointer>::iterator> byAddress;
};

/** Outcome as it crosses daemons. */
wire::ForwardReply
ToWire(const Outcome& aOutcome);

Outcome
FromWire(const wire::ForwardReply& aReply);

IssueStamp
FromWire(const wire::IssueStamp& aStamp);

wire::IssueStamp
ToWire(const IssueStamp& aStamp);

} // namespace fescuetiller
