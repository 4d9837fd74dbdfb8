#include "admission/crashrecords.h"

#include <algorithm>
#include <utility>

namespace fescuetiller {

namespace {

/** Number of servers that end under a request before it is blocked. Under one
 * server, most requests are there by chance. */
constexpr size_t kMaxCrashes = 2;
/** How long a request is blocked, and how long records are kept. */
constexpr Duration kBlockTime = std::chrono::hours(1);
/** More servers in a record do not change anything. */
constexpr size_t kMaxServers = 4;
constexpr size_t kMaxRecords = 1000;

/** Time after which a blocked request is tried, as it may have run by chance on
 * the servers that ended; longer if an earlier trial brought no result. Each
 * daemon adds a random time, so that usually one of them tries. */
constexpr Duration kTrialPause = std::chrono::seconds(10);
constexpr Duration kSecondTrialPause = std::chrono::minutes(1);
constexpr std::chrono::milliseconds kTrialSpread = std::chrono::seconds(10);
constexpr uint32_t kMaxTrials = 2;
/** How long successes are remembered: this time to twice as long, less if there
 * are very many. */
constexpr Duration kSuccessTime = std::chrono::minutes(1);
constexpr size_t kMaxSuccesses = 10000;

/** Adds a server to a sorted list. @return Whether it is new there. */
bool
AddServer(std::vector<uint64_t>& aServers, uint64_t aServer)
{
  auto place = std::lower_bound(aServers.begin(), aServers.end(), aServer);
  if ((place != aServers.end() && *place == aServer) ||
      aServers.size() >= kMaxServers) {
    return false;
  }
  aServers.insert(place, aServer);
  return true;
}

} // namespace

CrashRecords::CrashRecords(uint64_t aSeed)
  : seed(aSeed)
{
}

Time
CrashRecords::NextRun(const Entry& aEntry)
{
  if (aEntry.trials >= kMaxTrials) {
    return aEntry.changedAt + kBlockTime;
  }
  return aEntry.changedAt +
         (aEntry.trials == 0 ? kTrialPause : kSecondTrialPause);
}

bool
CrashRecords::IsBlocked(Time aNow, const Entry& aEntry)
{
  return aEntry.servers.size() >= kMaxCrashes &&
         aNow < aEntry.changedAt + kBlockTime;
}

CrashRecord
CrashRecords::ToRecord(Time aNow, const Entries::value_type& aEntry)
{
  const auto& [fingerprint, entry] = aEntry;
  return { fingerprint,
           entry.generation,
           entry.servers,
           entry.trials,
           std::max(Duration(0), aNow - entry.changedAt) };
}

CrashRecords::Entries::iterator
CrashRecords::Insert(RequestFingerprint aFingerprint, Time aChangedAt)
{
  auto found = this->entries.find(aFingerprint);
  if (found != this->entries.end()) {
    return found;
  }
  if (this->entries.size() >= kMaxRecords) {
    this->entries.erase(std::min_element(
      this->entries.begin(),
      this->entries.end(),
      [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.changedAt < aRight.second.changedAt;
      }));
  }
  return this->entries.emplace(aFingerprint, Entry{ 0, {}, 0, aChangedAt })
    .first;
}

std::optional<CrashRecord>
CrashRecords::OnCrash(Time aNow,
                      RequestFingerprint aFingerprint,
                      uint64_t aServer)
{
  if (this->HasSucceeded(aNow, aFingerprint)) {
    return std::nullopt;
  }
  auto found = this->Insert(aFingerprint, aNow);
  auto& entry = found->second;
  bool failedTrial = entry.trials > 0 && entry.trials < kMaxTrials;
  if (!AddServer(entry.servers, aServer) && !failedTrial) {
    return std::nullopt;
  }
  if (failedTrial) {
    entry.trials = kMaxTrials;
  }
  entry.changedAt = aNow;
  return ToRecord(aNow, *found);
}

std::optional<CrashRecord>
CrashRecords::OnSuccess(Time aNow, RequestFingerprint aFingerprint)
{
  this->AddSuccess(aNow, aFingerprint);
  auto found = this->entries.find(aFingerprint);
  if (found == this->entries.end() || found->second.servers.empty()) {
    return std::nullopt;
  }
  ++found->second.generation;
  found->second.servers.clear();
  found->second.trials = 0;
  found->second.changedAt = aNow;
  return ToRecord(aNow, *found);
}

void
CrashRecords::AddSuccess(Time aNow, RequestFingerprint aFingerprint)
{
  if (aNow >= this->successesSince + kSuccessTime ||
      this->successes.size() >= kMaxSuccesses) {
    this->earlierSuccesses = std::exchange(this->successes, {});
    this->successesSince = aNow;
  }
  this->successes.insert(aFingerprint);
}

bool
CrashRecords::HasSucceeded(Time aNow, RequestFingerprint aFingerprint) const
{
  return aNow < this->successesSince + 2 * kSuccessTime &&
         (this->successes.count(aFingerprint) > 0 ||
          this->earlierSuccesses.count(aFingerprint) > 0);
}

CrashRecords::Records
CrashRecords::Merge(Time aNow, const Records& aRecords)
{
  Records news;
  for (const auto& record : aRecords) {
    if (record.age >= kBlockTime || record.age < Duration(0)) {
      continue;
    }
    auto changedAt = aNow - record.age;
    auto found = this->Insert(record.fingerprint, changedAt);
    auto& entry = found->second;
    if (record.generation < entry.generation) {
      continue;
    }
    bool changed = record.generation > entry.generation;
    if (changed) {
      entry.generation = record.generation;
      entry.servers.clear();
      entry.trials = 0;
    }
    if (record.trials > entry.trials) {
      entry.trials = record.trials;
      changed = true;
    }
    for (auto server : record.servers) {
      changed = AddServer(entry.servers, server) || changed;
    }
    if (changed) {
      entry.changedAt = std::max(entry.changedAt, changedAt);
      news.push_back(ToRecord(aNow, *found));
    }
  }
  return news;
}

CrashRecords::Verdict
CrashRecords::Admit(Time aNow, RequestFingerprint aFingerprint)
{
  auto found = this->entries.find(aFingerprint);
  if (found == this->entries.end() || !IsBlocked(aNow, found->second)) {
    return {};
  }
  auto& entry = found->second;
  auto nextRun =
    NextRun(entry) +
    std::chrono::milliseconds((aFingerprint ^ this->seed) %
                              static_cast<uint64_t>(kTrialSpread.count()));
  if (entry.trials >= kMaxTrials || aNow < nextRun) {
    return { false, nextRun - aNow, std::nullopt };
  }
  ++entry.trials;
  return { true, Duration(0), ToRecord(aNow, *found) };
}

std::optional<Duration>
CrashRecords::BlockedFor(Time aNow, RequestFingerprint aFingerprint) const
{
  auto found = this->entries.find(aFingerprint);
  if (found == this->entries.end() || !IsBlocked(aNow, found->second)) {
    return std::nullopt;
  }
  auto nextRun = NextRun(found->second);
  return nextRun <= aNow ? std::nullopt : std::make_optional(nextRun - aNow);
}

CrashRecords::Records
CrashRecords::Next(Time aNow, size_t aCount)
{
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    entry = aNow < entry->second.changedAt + kBlockTime
              ? std::next(entry)
              : this->entries.erase(entry);
  }
  Records records;
  auto next = this->entries.upper_bound(this->lastRepeated);
  while (records.size() < std::min(aCount, this->entries.size())) {
    if (next == this->entries.end()) {
      next = this->entries.begin();
    }
    records.push_back(ToRecord(aNow, *next));
    this->lastRepeated = next->first;
    ++next;
  }
  return records;
}

bool
CrashRecords::IsEmpty() const
{
  return this->entries.empty();
}

size_t
CrashRecords::BlockedCount(Time aNow) const
{
  return static_cast<size_t>(std::count_if(
    this->entries.begin(), this->entries.end(), [&](const auto& aEntry) {
      return IsBlocked(aNow, aEntry.second);
    }));
}

} // namespace fescuetiller
