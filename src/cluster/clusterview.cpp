#include "cluster/clusterview.h"

#include <algorithm>
#include <optional>
#include <set>

namespace fescuetiller {

bool
ClusterView::Apply(const StoreRow& aRow)
{
  // An unknown row that is not newer has been removed since.
  return aRow.version > this->completeUpTo && this->ApplyNewer(aRow);
}

/** Applies a row unless the same or a newer version of it is known. */
bool
ClusterView::ApplyNewer(const StoreRow& aRow)
{
  if (aRow.key.table != kClusterTable) {
    return false;
  }
  auto& known = this->versions[aRow.key];
  if (aRow.version <= known) {
    return false;
  }
  known = aRow.version;
  ++this->changes;
  this->newest = std::max(this->newest, aRow.version);
  if (aRow.key == ClaimsClosedKey(aRow.key.part)) {
    this->claimsClosedAt[aRow.key.part] = aRow.removed ? 0 : aRow.version;
    return true;
  }
  return aRow.removed ? this->Remove(aRow.key) : this->ApplyRecord(aRow);
}

bool
ClusterView::ApplyRecord(const StoreRow& aRow)
{
  const auto& key = aRow.key;
  if (IsMemberKey(key)) {
    auto member = ReadMember(aRow);
    if (!member) {
      return this->Refuse(aRow, member.error());
    }
    this->members[member->id] = { *member, aRow.version };
  } else if (IsRangeKey(key)) {
    auto range = ReadRange(aRow);
    if (!range) {
      return this->Refuse(aRow, range.error());
    }
    this->ranges[key.part][range->range.first] = { *range, aRow.version };
    this->UpdateOverlaps(key.part, range->range.first);
  } else if (IsDrainKey(key)) {
    auto drain = ReadDrain(aRow);
    if (!drain) {
      return this->Refuse(aRow, drain.error());
    }
    this->drains[{ key.part, drain->address }] = { *drain, aRow.version };
  } else if (IsShutdownKey(key)) {
    auto shutdown = ReadShutdown(aRow);
    if (!shutdown) {
      return this->Refuse(aRow, shutdown.error());
    }
    this->shutdowns[{ key.part, shutdown->address }] = { *shutdown,
                                                         aRow.version };
  } else {
    return false; // Of a later release.
  }
  this->refused.erase(key);
  return true;
}

bool
ClusterView::Refuse(const StoreRow& aRow, const Error& aError)
{
  this->refused[aRow.key] = { aRow.version, aError };
  for (auto& [id, member] : this->members) {
    if (MemberKey(member.record.service, id) == aRow.key) {
      member.version = aRow.version;
    }
  }
  for (auto& [id, drain] : this->drains) {
    if (DrainKey(id.first, id.second) == aRow.key) {
      drain.version = aRow.version;
    }
  }
  for (auto& [id, shutdown] : this->shutdowns) {
    if (ShutdownKey(id.first, id.second) == aRow.key) {
      shutdown.version = aRow.version;
    }
  }
  for (auto& [first, range] : this->ranges[aRow.key.part]) {
    if (RangeKey(aRow.key.part, first) == aRow.key) {
      range.version = aRow.version;
    }
  }
  return true;
}

bool
ClusterView::Remove(const StoreKey& aKey)
{
  this->refused.erase(aKey);
  for (auto entry = this->members.begin(); entry != this->members.end();
       ++entry) {
    if (MemberKey(entry->second.record.service, entry->first) == aKey) {
      this->members.erase(entry);
      return true;
    }
  }
  for (auto entry = this->drains.begin(); entry != this->drains.end();
       ++entry) {
    if (DrainKey(entry->first.first, entry->first.second) == aKey) {
      this->drains.erase(entry);
      return true;
    }
  }
  for (auto entry = this->shutdowns.begin(); entry != this->shutdowns.end();
       ++entry) {
    if (ShutdownKey(entry->first.first, entry->first.second) == aKey) {
      this->shutdowns.erase(entry);
      return true;
    }
  }
  auto service = this->ranges.find(aKey.part);
  if (service == this->ranges.end()) {
    return false;
  }
  for (auto entry = service->second.begin(); entry != service->second.end();
       ++entry) {
    if (RangeKey(aKey.part, entry->first) == aKey) {
      auto first = entry->first;
      service->second.erase(entry);
      this->UpdateOverlaps(aKey.part, first);
      return true;
    }
  }
  return false;
}

void
ClusterView::Replace(const std::string& aService, const StoreRows& aRows)
{
  std::set<StoreKey> present;
  for (const auto& row : aRows.rows) {
    present.insert(row.key);
  }
  std::vector<StoreKey> missing;
  for (const auto& [key, version] : this->versions) {
    if (key.part == aService && version <= aRows.version &&
        present.count(key) == 0) {
      missing.push_back(key);
    }
  }
  for (const auto& key : missing) {
    this->Remove(key);
    this->versions[key] = aRows.version;
    ++this->changes;
  }
  for (const auto& row : aRows.rows) {
    this->ApplyNewer(row);
  }
}

void
ClusterView::SetCompleteUpTo(RowVersion aVersion)
{
  if (aVersion > this->completeUpTo) {
    this->completeUpTo = aVersion;
    ++this->changes;
  }
}

RowVersion
ClusterView::CompleteUpTo() const
{
  return this->completeUpTo;
}

const ClusterView::Members&
ClusterView::AllMembers() const
{
  return this->members;
}

const Versioned<MemberRecord>*
ClusterView::FindMember(const MemberId& aId) const
{
  auto found = this->members.find(aId);
  return found == this->members.end() ? nullptr : &found->second;
}

std::vector<const MemberRecord*>
ClusterView::MembersOf(const std::string& aService) const
{
  std::vector<const MemberRecord*> result;
  for (const auto& [id, member] : this->members) {
    if (member.record.service == aService) {
      result.push_back(&member.record);
    }
  }
  return result;
}

const ClusterView::Ranges&
ClusterView::RangesOf(const std::string& aService) const
{
  static const Ranges kNone;
  auto found = this->ranges.find(aService);
  return found == this->ranges.end() ? kNone : found->second;
}

/** Updates whether ranges overlap after the row of one has changed. */
void
ClusterView::UpdateOverlaps(const std::string& aService, Key aChanged)
{
  const auto& rows = this->RangesOf(aService);
  auto from = rows.begin();
  auto to = rows.end();
  if (this->overlapping.count(aService) == 0) {
    // Only the neighbours of the changed row can overlap it.
    from = rows.lower_bound(aChanged);
    from = from == rows.begin() ? from : std::prev(from);
    to = rows.upper_bound(aChanged);
    to = to == rows.end() ? to : std::next(to);
  }
  std::optional<Key> last;
  bool anyOverlap = false;
  for (auto row = from; row != to; ++row) {
    const auto& range = row->second.record.range;
    anyOverlap = anyOverlap || (last && range.first <= *last);
    last = std::max(last.value_or(0), range.last);
  }
  if (anyOverlap) {
    this->overlapping.insert(aService);
  } else {
    this->overlapping.erase(aService);
  }
}

std::vector<const Versioned<RangeRecord>*>
ClusterView::OverlappingRanges(const std::string& aService) const
{
  std::vector<const Versioned<RangeRecord>*> found;
  if (this->overlapping.count(aService) == 0) {
    return found;
  }
  const Versioned<RangeRecord>* widest = nullptr;
  for (const auto& [first, range] : this->RangesOf(aService)) {
    bool overlaps =
      widest != nullptr && range.record.range.Overlaps(widest->record.range);
    if (overlaps) {
      if (found.empty() || found.back() != widest) {
        found.push_back(widest);
      }
      found.push_back(&range);
    }
    if (widest == nullptr ||
        range.record.range.last > widest->record.range.last) {
      widest = &range;
    }
  }
  std::sort(found.begin(), found.end(), [](const auto* aLeft, auto* aRight) {
    return aLeft->record.range.first < aRight->record.range.first;
  });
  found.erase(std::unique(found.begin(), found.end()), found.end());
  return found;
}

std::vector<const Versioned<RangeRecord>*>
ClusterView::RangesOver(const RangeRecord& aRange) const
{
  std::vector<const Versioned<RangeRecord>*> found;
  for (const auto* range : this->OverlappingRanges(aRange.service)) {
    if (range->record.range.first != aRange.range.first &&
        range->record.range.Overlaps(aRange.range)) {
      found.push_back(range);
    }
  }
  return found;
}

RowVersion
ClusterView::RefusedVersion(const std::string& aService, Key aFirst) const
{
  bool isKnown = this->RangesOf(aService).count(aFirst) > 0;
  return isKnown ? 0 : this->RefusedVersion(RangeKey(aService, aFirst));
}

RowVersion
ClusterView::RefusedVersion(const StoreKey& aKey) const
{
  auto found = this->refused.find(aKey);
  return found == this->refused.end() ? 0 : found->second.version;
}

const RangeRecord*
ClusterView::FindRange(const std::string& aService, Key aKey) const
{
  if (this->overlapping.count(aService) > 0) {
    const Versioned<RangeRecord>* oldest = nullptr;
    for (const auto& [first, range] : this->RangesOf(aService)) {
      if (range.record.range.Contains(aKey) &&
          (oldest == nullptr || range.version < oldest->version)) {
        oldest = &range;
      }
    }
    return oldest == nullptr ? nullptr : &oldest->record;
  }
  const auto& rows = this->RangesOf(aService);
  auto next = rows.upper_bound(aKey);
  if (next == rows.begin()) {
    return nullptr;
  }
  const auto& record = std::prev(next)->second.record;
  return record.range.Contains(aKey) ? &record : nullptr;
}

bool
ClusterView::IsDrained(const std::string& aService,
                       const std::string& aAddress) const
{
  auto found = this->drains.find({ aService, aAddress });
  return found != this->drains.end() && found->second.record.drain;
}

const ClusterView::Drains&
ClusterView::AllDrains() const
{
  return this->drains;
}

const ClusterView::Shutdowns&
ClusterView::AllShutdowns() const
{
  return this->shutdowns;
}

const Versioned<ShutdownRecord>*
ClusterView::FindShutdowns(const std::string& aService,
                           const std::string& aAddress) const
{
  auto found = this->shutdowns.find({ aService, aAddress });
  return found == this->shutdowns.end() ? nullptr : &found->second;
}

const ClusterView::Refused&
ClusterView::RefusedRows() const
{
  return this->refused;
}

RowVersion
ClusterView::ClaimsClosedAt(const std::string& aService) const
{
  auto found = this->claimsClosedAt.find(aService);
  return found == this->claimsClosedAt.end() ? 0 : found->second;
}

StoreRows
ClusterView::RowsOf(const StoreKey& aFrom, size_t aMaxRows) const
{
  std::map<StoreKey, StoreRow> rows;
  auto add = [&](StoreRow aRow, RowVersion aVersion) {
    bool selected = aRow.key.table == aFrom.table &&
                    aRow.key.part == aFrom.part && aRow.key.key >= aFrom.key;
    if (selected) {
      aRow.version = aVersion;
      rows[aRow.key] = std::move(aRow);
    }
  };
  for (const auto& [id, member] : this->members) {
    add(ToRow(member.record), member.version);
  }
  for (const auto& [first, range] : this->RangesOf(aFrom.part)) {
    add(ToRow(range.record), range.version);
  }
  for (const auto& [address, drain] : this->drains) {
    add(ToRow(drain.record), drain.version);
  }
  for (const auto& [address, shutdown] : this->shutdowns) {
    add(ToRow(shutdown.record), shutdown.version);
  }
  StoreRows read;
  read.version = this->newest;
  for (auto& [key, row] : rows) {
    if (read.rows.size() == aMaxRows) {
      read.hasMore = true;
      break;
    }
    read.rows.push_back(std::move(row));
  }
  return read;
}

RowVersion
ClusterView::Version() const
{
  return this->newest;
}

uint64_t
ClusterView::ChangeCount() const
{
  return this->changes;
}

} // namespace fescuetiller
