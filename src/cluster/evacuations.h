#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** Reason of requests that a server does not get since its zone is evacuated.
 */
constexpr const char* kEvacuatedReason = "evacuated";
/** Reason of requests that a server does not get since its daemon does not know
 * yet which zones are evacuated. */
constexpr const char* kOrdersUnknownReason = "evacuations-unknown";

/** Zones that operators have ordered to evacuate: the complete set as of a
 * version of the store. Of two sets, the newer one is valid. */
struct EvacuationOrders
{
  RowVersion version = 0; ///< In a message, 0: nothing is known.
  std::set<std::string> zones;
  /** Whether some zones are missing, since they do not fit into a datagram. */
  bool truncated = false;

  friend bool operator==(const EvacuationOrders& aLeft,
                         const EvacuationOrders& aRight);
};

/** An order of operators that was written or removed. */
struct EvacuationChange
{
  std::string zone;
  RowVersion version = 0; ///< 0: that of the response.
  bool removed = false;
};

/**
 * The evacuations that are in force, as far as this daemon knows them from the
 * store and from other daemons, and what follows for its own member and server.
 * Does no I/O and reads no clock; not thread-safe.
 */
class Evacuations
{
public:
  /** @param aBound Time from an order until the servers of its zone get no more
   * requests. */
  Evacuations(std::string aOwnZone, Duration aBound);

  void SetBound(Duration aBound);

  /** Handles that all orders were read from the store.
   * @param aVersion Version of the store that was read. */
  void OnRead(Time aNow, RowVersion aVersion, std::set<std::string> aZones);
  /** Handles the changes after those that were read, up to a version. */
  void OnChanges(Time aNow,
                 RowVersion aVersion,
                 const std::vector<EvacuationChange>& aChanges);
  /** Handles what another daemon announces. */
  void OnAnnounced(Time aNow, const EvacuationOrders& aOrders);
  /** Records that the store had no newer order at a time. */
  void OnConfirmed(Time aAsOf);
  /** Ends what is kept in force for a limited time. */
  void Tick(Time aNow);

  /** The newest orders that are known, to be announced to other daemons. */
  const EvacuationOrders& Orders() const;
  bool IsKnown() const;

  /** Zones under evacuation: the orders, and those that the store has lost by
   * its return from an older copy, for a while. */
  std::set<std::string> Zones() const;
  bool IsEvacuated(const std::string& aZone) const;
  bool IsOwnZoneEvacuated() const;

  /** Whether the own server may own keys and get requests from members that do
   * not know the orders. After a withdrawal, its first heartbeat is awaited,
   * which tells whether it is cold.
   * @param aLastHeartbeat When the server's last heartbeat arrived. */
  bool IsOwnServerUsable(Time aLastHeartbeat) const;
  /** Whether the own server counts as cold until its next heartbeat. */
  bool IsColdUntilHeartbeat(Time aLastHeartbeat) const;

  /** When the own server must have got its last request; Time::max() if it is
   * not evacuated. */
  Time SendUntil(bool aOwnsKeys) const;

  /** Least load that a member counts as having when keys are assigned. It sinks
   * from 1 to 0 after its zone was evacuated, so that keys return gradually. */
  double LeastLoad(Time aNow, const std::string& aZone) const;

  /** Logs when the own member has no keys, and when its server runs no
   * requests.
   * @param aRunning Requests that run on the own server; nothing: unknown. */
  void OnProgress(bool aOwnsKeys, std::optional<size_t> aRunning);

  std::vector<Event> TakeEvents();

private:
  struct Evacuation
  {
    Time since;       ///< When this daemon learned of it.
    Time confirmedAt; ///< Latest time before that without the order.
    /** Known since the first orders were known, so it may have any age. */
    bool ofUnknownAge = false;
    /** Kept until then, since the store's copy lacks the order. */
    std::optional<Time> keptUntil;
  };

  void Update(Time aNow, EvacuationOrders aOrders, const std::string& aSource);
  void Begin(Time aNow, const std::string& aZone, const std::string& aSource);
  void End(Time aNow, const std::string& aZone, const std::string& aSource);
  /** Removes the empty name, which no zone has. */
  void DropEmptyZone(std::set<std::string>& aZones);

  std::string ownZone;
  Duration bound;
  EvacuationOrders orders;
  /** Whether all orders are known. A store without any change has version 0. */
  bool known = false;
  std::map<std::string, Evacuation> inForce; ///< By zone.
  std::map<std::string, Time> endedAt;       ///< By zone.
  Time confirmedAt;
  bool emptyZoneLogged = false;
  bool keysMovedLogged = false;
  bool requestsEndedLogged = false;
  std::vector<Event> events;
};

} // namespace fescuetiller
