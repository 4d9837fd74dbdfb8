#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/messages.h"
#include "memory/memory.h"

namespace fescuetiller {

/** A connection that holds memory which others may need. */
class AccountedConnection
{
public:
  virtual ~AccountedConnection() = default;
  /** Releases what the request that is being read holds, and closes the
   * connection. */
  virtual void Withdraw(RoomReason aReason) = 0;
};

/** The account of the connections of one thread, which its servers share. Tells
 * connections to close, later on the thread of the context. */
class ConnectionMemory
{
public:
  using Id = ConnectionAccount::Id;

  ConnectionMemory(asio::io_context& aContext, const ConnectionBudget& aBudget);

  /** Called when a request is refused or a connection closed, with the name of
   * the listening address and the client's address. */
  std::function<void(const std::string& aListener,
                     const std::string& aAddress,
                     RoomReason aReason)>
    onRefused;

  ConnectionAccount& Account();
  RequestShares& Shares();

  Id Open(const std::string& aListener,
          const std::string& aAddress,
          std::weak_ptr<AccountedConnection> aConnection);
  void Close(Id aId);
  /** See ConnectionAccount::SetInput. @return Why it is refused. */
  RoomReason SetInput(Id aId, size_t aBytes);

  /** Returns free memory to the system if that is worth it. Called at regular
   * intervals. */
  void ReturnMemory(Time aNow);

private:
  void Withdraw(const std::vector<Id>& aIds, RoomReason aReason);

  asio::io_context& context;
  ConnectionAccount account;
  RequestShares shares;
  MemoryReturn memoryReturn;
  std::unordered_map<Id, std::weak_ptr<AccountedConnection>> connections;
};

} // namespace fescuetiller
