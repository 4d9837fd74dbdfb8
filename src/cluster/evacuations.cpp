#include "cluster/evacuations.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fescuetiller {

namespace {

/** Time for which an order stays in force that the older copy of a returned
 * store lacks, so that operators can write it again. */
constexpr Duration kRetention = std::chrono::seconds(5);
/** Time over which keys return to a zone after its evacuation: several times
 * the interval between moves, each of which changes the loads. */
constexpr Duration kReturnTime = std::chrono::seconds(5);
/** How orders became known, in the log. */
constexpr const char* kStoreSource = "store";
constexpr const char* kPeerSource = "peer";
constexpr const char* kExpirySource = "not written again";

} // namespace

bool
operator==(const EvacuationOrders& aLeft, const EvacuationOrders& aRight)
{
  return std::tie(aLeft.version, aLeft.zones, aLeft.truncated) ==
         std::tie(aRight.version, aRight.zones, aRight.truncated);
}

Evacuations::Evacuations(std::string aOwnZone, Duration aBound)
  : ownZone(std::move(aOwnZone))
  , bound(aBound)
{
}

void
Evacuations::SetBound(Duration aBound)
{
  this->bound = aBound;
}

void
Evacuations::DropEmptyZone(std::set<std::string>& aZones)
{
  if (aZones.erase("") > 0 && !this->emptyZoneLogged) {
    this->emptyZoneLogged = true;
    this->events.push_back(
      { "evacuation-refused", { { "reason", "the zone's name is empty" } } });
  }
}

void
Evacuations::OnRead(Time aNow,
                    RowVersion aVersion,
                    std::set<std::string> aZones)
{
  this->Update(aNow, { aVersion, std::move(aZones), false }, kStoreSource);
}

void
Evacuations::OnChanges(Time aNow,
                       RowVersion aVersion,
                       const std::vector<EvacuationChange>& aChanges)
{
  if (!this->IsKnown() || EraOf(aVersion) != EraOf(this->orders.version)) {
    return; // These changes are not those after the known orders.
  }
  EvacuationOrders changed{ aVersion, this->orders.zones, false };
  for (const auto& change : aChanges) {
    auto version = change.version == 0 ? aVersion : change.version;
    // Other daemons may have announced a version with earlier changes.
    if (version <= this->orders.version) {
      continue;
    }
    if (change.removed) {
      changed.zones.erase(change.zone);
    } else {
      changed.zones.insert(change.zone);
    }
  }
  this->Update(aNow, std::move(changed), kStoreSource);
}

void
Evacuations::OnAnnounced(Time aNow, const EvacuationOrders& aOrders)
{
  if (aOrders.version == 0) {
    return; // The sender knows nothing yet, or a store without changes.
  }
  if (!aOrders.truncated) {
    this->Update(aNow, aOrders, kPeerSource);
    return;
  }
  // The rest of the zones is unknown, so nothing can be concluded about those
  // that are missing, and the version does not become known.
  if (!this->IsKnown() || aOrders.version <= this->orders.version) {
    return;
  }
  auto added = aOrders.zones;
  this->DropEmptyZone(added);
  for (const auto& zone : added) {
    if (this->orders.zones.insert(zone).second) {
      this->Begin(aNow, zone, kPeerSource);
    }
  }
}

void
Evacuations::OnConfirmed(Time aAsOf)
{
  this->confirmedAt = std::max(this->confirmedAt, aAsOf);
}

void
Evacuations::Update(Time aNow,
                    EvacuationOrders aOrders,
                    const std::string& aSource)
{
  if (this->known && aOrders.version <= this->orders.version) {
    return;
  }
  this->DropEmptyZone(aOrders.zones);
  bool isReturn =
    this->IsKnown() && EraOf(aOrders.version) > EraOf(this->orders.version);
  std::vector<std::string> ended;
  for (auto& [zone, evacuation] : this->inForce) {
    if (aOrders.zones.count(zone) > 0) {
      evacuation.keptUntil.reset();
    } else if (isReturn) {
      evacuation.keptUntil = aNow + kRetention;
      this->events.push_back(
        { "evacuation-kept",
          { { "zone", zone }, { "reason", "the returned store lacks it" } } });
    } else if (!evacuation.keptUntil) {
      ended.push_back(zone);
    }
  }
  for (const auto& zone : ended) {
    this->End(aNow, zone, aSource);
  }
  for (const auto& zone : aOrders.zones) {
    this->Begin(aNow, zone, aSource);
  }
  this->orders = std::move(aOrders);
  this->known = true;
}

void
Evacuations::Begin(Time aNow,
                   const std::string& aZone,
                   const std::string& aSource)
{
  Evacuation evacuation{
    aNow, this->confirmedAt, !this->IsKnown(), std::nullopt
  };
  if (!this->inForce.try_emplace(aZone, evacuation).second) {
    return;
  }
  this->endedAt.erase(aZone);
  if (aZone == this->ownZone) {
    this->keysMovedLogged = false;
    this->requestsEndedLogged = false;
  }
  this->events.push_back({ "evacuation-ordered",
                           { { "zone", aZone },
                             { "own", aZone == this->ownZone ? "yes" : "no" },
                             { "source", aSource } } });
}

void
Evacuations::End(Time aNow,
                 const std::string& aZone,
                 const std::string& aSource)
{
  this->inForce.erase(aZone);
  this->endedAt[aZone] = aNow;
  this->events.push_back({ "evacuation-withdrawn",
                           { { "zone", aZone },
                             { "own", aZone == this->ownZone ? "yes" : "no" },
                             { "source", aSource } } });
}

void
Evacuations::Tick(Time aNow)
{
  std::vector<std::string> ended;
  for (const auto& [zone, evacuation] : this->inForce) {
    if (evacuation.keptUntil && aNow >= *evacuation.keptUntil) {
      ended.push_back(zone);
    }
  }
  for (const auto& zone : ended) {
    this->End(aNow, zone, kExpirySource);
  }
}

const EvacuationOrders&
Evacuations::Orders() const
{
  return this->orders;
}

bool
Evacuations::IsKnown() const
{
  return this->known;
}

std::set<std::string>
Evacuations::Zones() const
{
  std::set<std::string> zones;
  for (const auto& [zone, evacuation] : this->inForce) {
    zones.insert(zone);
  }
  return zones;
}

bool
Evacuations::IsEvacuated(const std::string& aZone) const
{
  return this->inForce.count(aZone) > 0;
}

bool
Evacuations::IsOwnZoneEvacuated() const
{
  return this->IsEvacuated(this->ownZone);
}

bool
Evacuations::IsOwnServerUsable(Time aLastHeartbeat) const
{
  return this->IsKnown() && !this->IsColdUntilHeartbeat(aLastHeartbeat);
}

bool
Evacuations::IsColdUntilHeartbeat(Time aLastHeartbeat) const
{
  auto ended = this->endedAt.find(this->ownZone);
  return this->IsOwnZoneEvacuated() ||
         (ended != this->endedAt.end() && aLastHeartbeat <= ended->second);
}

Time
Evacuations::SendUntil(bool aOwnsKeys) const
{
  if (!this->IsKnown()) {
    return Time();
  }
  auto own = this->inForce.find(this->ownZone);
  if (own == this->inForce.end()) {
    return Time::max();
  }
  const auto& evacuation = own->second;
  if (!aOwnsKeys || evacuation.ofUnknownAge) {
    return Time();
  }
  // The order may have been given just after the store had none, which is long
  // ago if its response, or this process, was late.
  return std::min<Time>(evacuation.since + this->bound / 2,
                        evacuation.confirmedAt + this->bound);
}

double
Evacuations::LeastLoad(Time aNow, const std::string& aZone) const
{
  auto ended = this->endedAt.find(aZone);
  if (ended == this->endedAt.end()) {
    return 0;
  }
  auto left = ended->second + kReturnTime - aNow;
  return std::max(0.0,
                  static_cast<double>(left.count()) /
                    static_cast<double>(kReturnTime.count()));
}

void
Evacuations::OnProgress(bool aOwnsKeys, std::optional<size_t> aRunning)
{
  if (!this->IsOwnZoneEvacuated()) {
    return;
  }
  if (!aOwnsKeys && !this->keysMovedLogged) {
    this->keysMovedLogged = true;
    this->events.push_back(
      { "evacuation-keys-moved", { { "zone", this->ownZone } } });
  }
  if (aRunning && *aRunning == 0 && !this->requestsEndedLogged) {
    this->requestsEndedLogged = true;
    this->events.push_back(
      { "evacuation-requests-ended", { { "zone", this->ownZone } } });
  }
}

std::vector<Event>
Evacuations::TakeEvents()
{
  return std::exchange(this->events, {});
}

} // namespace fescuetiller
