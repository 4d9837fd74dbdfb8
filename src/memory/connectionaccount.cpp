#include "memory/connectionaccount.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Time for which a connection does not count as slow. It covers several round
 * trips between zones. */
constexpr Duration kGraceTime = milliseconds(250);
/** A connection that sends its request at a lower rate is closed first when
 * memory is needed. A tenth of the slowest link, 10 Mbit/s. */
constexpr double kSlowBytesPerSecond = 128 * 1024;
/** Part of the budget up to which others may hold memory while one connection
 * exceeds its share. */
constexpr size_t kQuietDivisor = 4;
/** Part of the budget from which on the large connection is closed if it is not
 * done. */
constexpr size_t kBusyDivisor = 2;
/** Part of the connections that is closed at once, so that the search for them
 * is rare. */
constexpr size_t kCloseDivisor = 32;
/** Part of the budget that is made free at once, for the same reason. */
constexpr size_t kFreeDivisor = 16;

/** Changes a sum and removes it once it is 0, so that the account does not grow
 * with the number of addresses. */
void
ChangeSum(std::map<std::string, size_t>& aSums,
          const std::string& aName,
          size_t aBefore,
          size_t aAfter)
{
  auto& sum = aSums[aName];
  sum = sum - aBefore + aAfter;
  if (sum == 0) {
    aSums.erase(aName);
  }
}

} // namespace

const char*
ToString(RoomReason aReason)
{
  switch (aReason) {
    case RoomReason::None:
      return "none";
    case RoomReason::Memory:
      return "memory";
    case RoomReason::Connection:
      return "connection-share";
    case RoomReason::Address:
      return "address-share";
    case RoomReason::Listener:
      return "listener-share";
    case RoomReason::Slow:
      return "slow";
    case RoomReason::Descriptors:
      return "descriptors";
  }
  return "unknown";
}

ConnectionAccount::ConnectionAccount(const ConnectionBudget& aBudget)
  : budget(aBudget)
{
}

void
ConnectionAccount::SetBudget(const ConnectionBudget& aBudget)
{
  this->budget = aBudget;
}

bool
ConnectionAccount::IsUnfinished(ConnectionPhase aPhase)
{
  return aPhase == ConnectionPhase::New || aPhase == ConnectionPhase::Reading;
}

ConnectionAccount::Id
ConnectionAccount::Open(Time aNow,
                        const std::string& aListener,
                        const std::string& aAddress,
                        std::vector<Id>& aClose)
{
  auto id = this->nextId++;
  auto& entry = this->entries[id];
  entry.listener = aListener;
  entry.address = aAddress;
  entry.since = aNow;
  ++this->unfinished;
  if (this->entries.size() - this->closing > this->budget.connections ||
      this->unfinished > this->budget.unfinished + this->closing) {
    this->ChooseUnfinished(aNow, aClose);
  }
  return id;
}

/** Chooses the connections that have been without a whole request for the
 * longest time, those with a part of a request before idle ones. */
void
ConnectionAccount::ChooseUnfinished(Time aNow, std::vector<Id>& aClose)
{
  std::vector<std::tuple<bool, Time, Id>> candidates;
  for (const auto& [id, entry] : this->entries) {
    if (!entry.closing && entry.phase != ConnectionPhase::Running &&
        entry.since < aNow) {
      candidates.emplace_back(
        entry.phase == ConnectionPhase::Idle, entry.since, id);
    }
  }
  auto count =
    std::min(candidates.size(), 1 + this->budget.connections / kCloseDivisor);
  auto end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(candidates.begin(), end, candidates.end());
  for (auto candidate = candidates.begin(); candidate != end; ++candidate) {
    auto id = std::get<Id>(*candidate);
    this->entries[id].closing = true;
    ++this->closing;
    aClose.push_back(id);
  }
}

void
ConnectionAccount::Close(Id aId)
{
  auto found = this->entries.find(aId);
  if (found == this->entries.end()) {
    return;
  }
  auto& entry = found->second;
  this->Set(aId, entry, &Entry::input, 0);
  this->Set(aId, entry, &Entry::requests, 0);
  this->Set(aId, entry, &Entry::responses, 0);
  this->unfinished -= IsUnfinished(entry.phase) ? 1 : 0;
  this->closing -= entry.closing ? 1 : 0;
  this->entries.erase(found);
}

void
ConnectionAccount::SetPhase(Time aNow, Id aId, ConnectionPhase aPhase)
{
  auto found = this->entries.find(aId);
  if (found == this->entries.end() || found->second.phase == aPhase) {
    return;
  }
  auto& entry = found->second;
  this->unfinished -= IsUnfinished(entry.phase) ? 1 : 0;
  this->unfinished += IsUnfinished(aPhase) ? 1 : 0;
  entry.phase = aPhase;
  entry.since = aNow;
  entry.received = 0;
  // It was done before it could be closed.
  this->closing -= entry.closing ? 1 : 0;
  entry.closing = false;
}

void
ConnectionAccount::OnReceived(Id aId, size_t aBytes)
{
  auto found = this->entries.find(aId);
  if (found != this->entries.end()) {
    found->second.received += aBytes;
  }
}

void
ConnectionAccount::Set(Id aId,
                       Entry& aEntry,
                       size_t Entry::*aAmount,
                       size_t aBytes)
{
  size_t before = aEntry.*aAmount;
  if (before == aBytes) {
    return;
  }
  aEntry.*aAmount = aBytes;
  ChangeSum(this->addressBytes, aEntry.address, before, aBytes);
  ChangeSum(this->listenerBytes, aEntry.listener, before, aBytes);
  this->held = this->held - before + aBytes;
  this->peak = std::max(this->peak, this->held);
  if (this->large == aId && aEntry.Held() <= this->budget.connectionBytes) {
    this->large = 0;
  }
}

size_t
ConnectionAccount::OrdinaryBytes() const
{
  auto found = this->entries.find(this->large);
  return this->held - (found == this->entries.end() ? 0 : found->second.Held());
}

RoomReason
ConnectionAccount::CheckLarge(Id aId, const Entry& aEntry, size_t aGrowth) const
{
  auto others =
    this->OrdinaryBytes() - (this->large == aId ? 0 : aEntry.Held());
  if ((this->large != 0 && this->large != aId) ||
      aEntry.Held() + aGrowth > this->budget.largeBytes) {
    return RoomReason::Connection;
  }
  auto divisor = this->large == aId ? kBusyDivisor : kQuietDivisor;
  return others > this->budget.total / divisor ? RoomReason::Memory
                                               : RoomReason::None;
}

RoomReason
ConnectionAccount::CheckRoom(const Entry& aEntry, size_t aGrowth) const
{
  auto ordinary = this->OrdinaryBytes();
  if (aEntry.Held() + aGrowth <= this->budget.smallBytes) {
    return ordinary + aGrowth > this->budget.total + this->budget.reserve
             ? RoomReason::Memory
             : RoomReason::None;
  }
  if (ordinary + aGrowth > this->budget.total) {
    return RoomReason::Memory;
  }
  auto sumOf = [](const auto& aSums, const std::string& aName) {
    auto found = aSums.find(aName);
    return found == aSums.end() ? 0 : found->second;
  };
  auto large = this->entries.find(this->large);
  auto exceptLarge = [&](size_t aSum, std::string Entry::*aName) {
    bool same =
      large != this->entries.end() && large->second.*aName == aEntry.*aName;
    return aSum - (same ? large->second.Held() : 0);
  };
  if (exceptLarge(sumOf(this->addressBytes, aEntry.address), &Entry::address) +
        aGrowth >
      this->budget.addressBytes) {
    return RoomReason::Address;
  }
  if (exceptLarge(sumOf(this->listenerBytes, aEntry.listener),
                  &Entry::listener) +
        aGrowth >
      this->budget.listenerBytes) {
    return RoomReason::Listener;
  }
  return RoomReason::None;
}

bool
ConnectionAccount::IsSlow(Time aNow, const Entry& aEntry) const
{
  if (aEntry.closing || aEntry.input <= this->budget.smallBytes / 2 ||
      aNow - aEntry.since < kGraceTime) {
    return false;
  }
  auto seconds = static_cast<double>((aNow - aEntry.since).count()) / 1e9;
  return static_cast<double>(aEntry.received) < kSlowBytesPerSecond * seconds;
}

size_t
ConnectionAccount::ChooseSlow(Time aNow,
                              Id aFor,
                              size_t aBytes,
                              std::vector<Id>& aClose)
{
  std::vector<std::pair<size_t, Id>> candidates;
  for (const auto& [id, entry] : this->entries) {
    if (id != aFor && this->IsSlow(aNow, entry)) {
      candidates.emplace_back(entry.input, id);
    }
  }
  std::sort(candidates.rbegin(), candidates.rend()); // The largest first.
  size_t expected = 0;
  for (const auto& [bytes, id] : candidates) {
    if (expected >= aBytes) {
      break;
    }
    expected += bytes;
    this->entries[id].closing = true;
    ++this->closing;
    aClose.push_back(id);
  }
  return expected;
}

ConnectionAccount::Decision
ConnectionAccount::SetInput(Time aNow, Id aId, size_t aBytes)
{
  Decision decision;
  auto found = this->entries.find(aId);
  if (found == this->entries.end()) {
    decision.refused = RoomReason::Slow;
    return decision;
  }
  auto& entry = found->second;
  if (aBytes <= entry.input) {
    this->Set(aId, entry, &Entry::input, aBytes);
    return decision;
  }
  auto growth = aBytes - entry.input;
  if (entry.Held() + growth > this->budget.connectionBytes) {
    decision.refused = this->CheckLarge(aId, entry, growth);
    if (decision.refused == RoomReason::None) {
      this->large = aId;
      this->Set(aId, entry, &Entry::input, aBytes);
    }
    return decision;
  }
  decision.refused = this->CheckRoom(entry, growth);
  if (decision.refused == RoomReason::Memory) {
    // More than needed now, so that the search is rare. What others hold until
    // they are closed comes on top of the budget for that time.
    bool small = entry.Held() + growth <= this->budget.smallBytes;
    auto shortage = this->OrdinaryBytes() + growth - this->budget.total -
                    (small ? this->budget.reserve : 0);
    auto wanted = std::max(shortage, this->budget.total / kFreeDivisor);
    auto expected = this->ChooseSlow(aNow, aId, wanted, decision.close);
    if (expected >= shortage) {
      decision.refused = RoomReason::None;
    }
  }
  if (decision.refused == RoomReason::None) {
    this->Set(aId, entry, &Entry::input, aBytes);
  }
  this->ChooseLarge(decision.close);
  return decision;
}

/** Chooses the large connection if it is not done and others need the memory.
 */
void
ConnectionAccount::ChooseLarge(std::vector<Id>& aClose)
{
  auto found = this->entries.find(this->large);
  if (found != this->entries.end() && !found->second.closing &&
      found->second.input > this->budget.connectionBytes &&
      this->OrdinaryBytes() > this->budget.total / kBusyDivisor) {
    found->second.closing = true;
    ++this->closing;
    aClose.push_back(this->large);
  }
}

size_t
ConnectionAccount::OnRequestRead(Id aId)
{
  auto found = this->entries.find(aId);
  if (found == this->entries.end()) {
    return 0;
  }
  auto& entry = found->second;
  auto bytes = std::exchange(entry.input, 0);
  entry.requests += bytes;
  return bytes;
}

void
ConnectionAccount::AddResponse(Id aId, size_t aBytes)
{
  auto found = this->entries.find(aId);
  if (found != this->entries.end()) {
    auto& entry = found->second;
    this->Set(aId, entry, &Entry::responses, entry.responses + aBytes);
  }
}

void
ConnectionAccount::Remove(Id aId, size_t Entry::*aAmount, size_t aBytes)
{
  auto found = this->entries.find(aId);
  if (found != this->entries.end()) {
    auto& entry = found->second;
    this->Set(
      aId, entry, aAmount, entry.*aAmount - std::min(entry.*aAmount, aBytes));
  }
}

void
ConnectionAccount::RemoveRequest(Id aId, size_t aBytes)
{
  this->Remove(aId, &Entry::requests, aBytes);
}

void
ConnectionAccount::RemoveResponse(Id aId, size_t aBytes)
{
  this->Remove(aId, &Entry::responses, aBytes);
}

bool
ConnectionAccount::ShouldWait(Id aId) const
{
  auto found = this->entries.find(aId);
  return found != this->entries.end() &&
         found->second.responses > this->budget.smallBytes &&
         this->OrdinaryBytes() > this->budget.total / kBusyDivisor;
}

size_t
ConnectionAccount::HeldBytes() const
{
  return this->held;
}

size_t
ConnectionAccount::TakePeak()
{
  return std::exchange(this->peak, this->held);
}

size_t
ConnectionAccount::ConnectionCount() const
{
  return this->entries.size();
}

size_t
ConnectionAccount::UnfinishedCount() const
{
  return this->unfinished;
}

} // namespace fescuetiller
