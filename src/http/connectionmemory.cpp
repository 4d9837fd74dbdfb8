#include "http/connectionmemory.h"

#include <malloc.h>

namespace fescuetiller {

namespace {

/** Requests that all connections together may run at the same time as others of
 * their connection. Several times the slots of a server, so that pipelining
 * keeps them in use. */
constexpr size_t kAheadSpace = 96;

} // namespace

ConnectionMemory::ConnectionMemory(asio::io_context& aContext,
                                   const ConnectionBudget& aBudget)
  : context(aContext)
  , account(aBudget)
  , shares(kAheadSpace)
{
}

ConnectionAccount&
ConnectionMemory::Account()
{
  return this->account;
}

RequestShares&
ConnectionMemory::Shares()
{
  return this->shares;
}

ConnectionMemory::Id
ConnectionMemory::Open(const std::string& aListener,
                       const std::string& aAddress,
                       std::weak_ptr<AccountedConnection> aConnection)
{
  std::vector<Id> closed;
  auto id = this->account.Open(BootClock::now(), aListener, aAddress, closed);
  this->connections[id] = std::move(aConnection);
  this->Withdraw(closed, RoomReason::Descriptors);
  return id;
}

void
ConnectionMemory::Close(Id aId)
{
  this->account.Close(aId);
  this->connections.erase(aId);
}

RoomReason
ConnectionMemory::SetInput(Id aId, size_t aBytes)
{
  auto decision = this->account.SetInput(BootClock::now(), aId, aBytes);
  this->Withdraw(decision.close, RoomReason::Slow);
  return decision.refused;
}

void
ConnectionMemory::Withdraw(const std::vector<Id>& aIds, RoomReason aReason)
{
  for (auto id : aIds) {
    // Posted, since the caller is in the middle of a request of its own.
    asio::post(this->context, [connection = this->connections[id], aReason] {
      if (auto open = connection.lock()) {
        open->Withdraw(aReason);
      }
    });
  }
}

void
ConnectionMemory::ReturnMemory(Time aNow)
{
  if (this->memoryReturn.OnMeasured(
        aNow, this->account.HeldBytes(), this->account.TakePeak())) {
    ::malloc_trim(0);
  }
}

} // namespace fescuetiller
