#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/base.h"
#include "memory/connectionbudget.h"

namespace fescuetiller {

/** Why a connection does not get what it needs, or is closed. */
enum class RoomReason
{
  None,
  Memory,      ///< All connections together hold too much.
  Connection,  ///< The connection itself does.
  Address,     ///< The connections of its client's address do.
  Listener,    ///< Those of the listening address do.
  Slow,        ///< It holds memory that others need, and is slow.
  Descriptors, ///< Too many connections are open.
};

const char*
ToString(RoomReason aReason);

/** What a connection is waiting for. */
enum class ConnectionPhase
{
  Idle,    ///< It has got all responses; no part of a request has arrived.
  New,     ///< It has not sent anything.
  Reading, ///< A request is being read and no other one runs.
  Running, ///< A request runs or its response is being written.
};

/**
 * Account of the memory that the connections of one thread hold, and the
 * decision who gets it. Ordinary connections, which hold little, always get
 * what they need: there is a reserve for them, and slow connections that hold
 * much are closed for them. Does no I/O and reads no clock; not thread-safe.
 */
class ConnectionAccount
{
public:
  using Id = uint64_t;

  /** Result of a request for room. */
  struct Decision
  {
    RoomReason refused = RoomReason::None; ///< None: the room was granted.
    /** Other connections that must be closed, or whose request that is being
     * read must be refused. Their memory counts until they release it. */
    std::vector<Id> close;
  };

  explicit ConnectionAccount(const ConnectionBudget& aBudget);

  void SetBudget(const ConnectionBudget& aBudget);

  /** Adds a connection. @param aClose Set to the connections that must be
   * closed since too many are open. */
  Id Open(Time aNow,
          const std::string& aListener,
          const std::string& aAddress,
          std::vector<Id>& aClose);
  void Close(Id aId);

  void SetPhase(Time aNow, Id aId, ConnectionPhase aPhase);
  /** Part of a request has arrived. */
  void OnReceived(Id aId, size_t aBytes);

  /** Sets what the request that is being read holds. Growth may be refused, and
   * the connection then keeps what it holds. */
  Decision SetInput(Time aNow, Id aId, size_t aBytes);
  /** The request has been read: what it holds counts until its response is
   * written. @return The bytes, for RemoveRequest. */
  size_t OnRequestRead(Id aId);
  /** Adds a response that waits, or another amount that is held in any case. */
  void AddResponse(Id aId, size_t aBytes);
  void RemoveRequest(Id aId, size_t aBytes);
  void RemoveResponse(Id aId, size_t aBytes);

  /** Whether requests that a connection sends ahead should wait, since
   * responses that it has not read take up what others need. */
  bool ShouldWait(Id aId) const;

  size_t HeldBytes() const;
  /** Most that was held since the last call. */
  size_t TakePeak();
  size_t ConnectionCount() const;
  size_t UnfinishedCount() const;

private:
  struct Entry
  {
    std::string listener;
    std::string address;
    ConnectionPhase phase = ConnectionPhase::New;
    size_t input = 0;
    size_t requests = 0;
    size_t responses = 0;
    size_t received = 0;  ///< Of the request that is being read.
    Time since;           ///< Start of the phase.
    bool closing = false; ///< It was among the connections to close.

    size_t Held() const { return input + requests + responses; }
  };

  /** Sets one of the amounts of a connection and updates the sums. */
  void Set(Id aId, Entry& aEntry, size_t Entry::*aAmount, size_t aBytes);
  void Remove(Id aId, size_t Entry::*aAmount, size_t aBytes);
  /** What counts against the budget. */
  size_t OrdinaryBytes() const;
  RoomReason CheckRoom(const Entry& aEntry, size_t aGrowth) const;
  RoomReason CheckLarge(Id aId, const Entry& aEntry, size_t aGrowth) const;
  /** Chooses connections to close until so many bytes are expected to become
   * free. @return The bytes. */
  size_t ChooseSlow(Time aNow, Id aFor, size_t aBytes, std::vector<Id>& aClose);
  void ChooseLarge(std::vector<Id>& aClose);
  bool IsSlow(Time aNow, const Entry& aEntry) const;
  void ChooseUnfinished(Time aNow, std::vector<Id>& aClose);
  static bool IsUnfinished(ConnectionPhase aPhase);

  ConnectionBudget budget;
  std::unordered_map<Id, Entry> entries;
  std::map<std::string, size_t> addressBytes;
  std::map<std::string, size_t> listenerBytes;
  size_t held = 0;
  size_t peak = 0;
  size_t unfinished = 0;
  size_t closing = 0; ///< Connections that were chosen and are still open.
  Id large = 0;       ///< The connection that exceeds its share; 0: none.
  Id nextId = 1;
};

} // namespace fescuetiller
