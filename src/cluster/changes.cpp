#include "cluster/changes.h"

#include <algorithm>

#include "cluster/storeera.h"

namespace fescuetiller {

namespace {

/** Incarnations of a server whose announced shutdowns are kept. Their
 * heartbeats arrive seconds late, in which a server is restarted a few times at
 * most. */
constexpr std::ptrdiff_t kMaxShutdowns = 8;

void
AddCondition(StoreTransaction& aChange,
             const StoreKey& aKey,
             RowVersion aVersion)
{
  aChange.conditions.push_back({ aKey, aVersion });
}

void
RemoveMember(StoreTransaction& aChange,
             const std::string& aService,
             const MemberId& aId)
{
  aChange.removes.push_back(MemberKey(aService, aId));
  aChange.removes.push_back(LeaseKey(aService, aId));
}

/** Adds the parts of a range to a change. The first part replaces the row of
 * the range; others may replace a row that was refused. */
void
AddParts(StoreTransaction& aChange,
         const Versioned<RangeRecord>& aWhole,
         const std::vector<RangeRecord>& aParts,
         const ClusterView& aView)
{
  for (const auto& part : aParts) {
    bool first = part.range.first == aWhole.record.range.first;
    AddCondition(aChange,
                 RangeKey(part.service, part.range.first),
                 first ? aWhole.version
                       : aView.RefusedVersion(part.service, part.range.first));
    aChange.sets.push_back(ToRow(part));
  }
}

std::vector<const Versioned<RangeRecord>*>
RangesOwnedBy(const ClusterView& aView,
              const std::string& aService,
              const MemberId& aOwner)
{
  std::vector<const Versioned<RangeRecord>*> owned;
  for (const auto& [first, range] : aView.RangesOf(aService)) {
    if (range.record.owner == aOwner) {
      owned.push_back(&range);
    }
  }
  return owned;
}

} // namespace

StoreTransaction
MakeShutdownChange(const ClusterView& aView,
                   const std::string& aService,
                   const std::string& aAddress,
                   const ServerIncarnation& aServer)
{
  StoreTransaction change;
  auto key = ShutdownKey(aService, aAddress);
  ShutdownRecord record{ aService, aAddress, {} };
  const auto* known = aView.FindShutdowns(aService, aAddress);
  if (known != nullptr) {
    record.servers = known->record.servers;
  }
  record.servers.push_back(aServer);
  if (record.servers.size() > static_cast<size_t>(kMaxShutdowns)) {
    record.servers.erase(record.servers.begin(),
                         record.servers.end() - kMaxShutdowns);
  }
  AddCondition(
    change, key, known == nullptr ? aView.RefusedVersion(key) : known->version);
  change.sets.push_back(ToRow(record));
  return change;
}

void
AddOwnerChange(StoreTransaction& aChange,
               const Versioned<RangeRecord>& aRange,
               const MemberId& aOwner)
{
  auto changed = aRange.record;
  changed.owner = aOwner;
  changed.epoch += 1;
  changed.handover.clear();
  AddCondition(
    aChange, RangeKey(changed.service, changed.range.first), aRange.version);
  aChange.sets.push_back(ToRow(changed));
}

StoreTransaction
MakeJoinChange(const ClusterView& aView, const MemberRecord& aRecord)
{
  StoreTransaction change;
  auto leaseKey = LeaseKey(aRecord.service, aRecord.id);
  AddCondition(change, MemberKey(aRecord.service, aRecord.id), 0);
  AddCondition(change, leaseKey, 0);
  change.sets.push_back(ToRow(aRecord));
  change.sets.push_back({ leaseKey, "0", 0, false });
  for (const auto& [id, member] : aView.AllMembers()) {
    if (member.record.address != aRecord.address ||
        member.record.service != aRecord.service) {
      continue;
    }
    AddCondition(change, MemberKey(aRecord.service, id), member.version);
    RemoveMember(change, aRecord.service, id);
    for (const auto* range : RangesOwnedBy(aView, aRecord.service, id)) {
      if (change.sets.size() < kMaxTakenRanges) {
        AddOwnerChange(change, *range, aRecord.id);
      }
    }
  }
  return change;
}

void
AddKeptRanges(StoreTransaction& aChange,
              const std::string& aService,
              const MemberId& aOwner,
              const std::vector<KeyRange>& aRanges,
              StoreEra aEra)
{
  if (aRanges.empty()) {
    return;
  }
  AddCondition(aChange, ClaimsClosedKey(aService), 0);
  for (const auto& range : aRanges) {
    AddCondition(aChange, RangeKey(aService, range.first), 0);
    aChange.sets.push_back(
      ToRow(RangeRecord{ aService, range, aOwner, FirstEpoch(aEra), "" }));
  }
}

StoreTransaction
MakeCloseClaimsChange(const ClusterView& aView,
                      const std::string& aService,
                      const std::string& aValue)
{
  StoreTransaction change;
  auto key = ClaimsClosedKey(aService);
  AddCondition(change, key, aView.ClaimsClosedAt(aService));
  change.sets.push_back({ key, aValue, 0, false });
  return change;
}

StoreTransaction
MakeFirstRangesChange(const std::string& aService,
                      std::vector<MemberId> aMembers,
                      StoreEra aEra,
                      bool aIsFirst)
{
  aMembers.resize(
    std::min(aMembers.size(), aIsFirst ? kMaxFirstRanges : kMaxTakenRanges));
  StoreTransaction change;
  // If any range exists then one begins at key 0, so one condition is enough.
  AddCondition(change, RangeKey(aService, 0), 0);
  Key next = 0;
  for (size_t index = 0; index < aMembers.size(); ++index) {
    Key last =
      static_cast<Key>((kLastKey + 1) * (index + 1) / aMembers.size() - 1);
    if (!aIsFirst && next > 0) {
      AddCondition(change, RangeKey(aService, next), 0);
    }
    change.sets.push_back(ToRow(RangeRecord{
      aService, { next, last }, aMembers[index], FirstEpoch(aEra), "" }));
    next = last + 1;
  }
  return change;
}

StoreTransaction
MakeMoveChange(const ClusterView& aView,
               const std::string& aService,
               const MemberId& aOwner,
               const std::vector<KeyHandover>& aHandovers)
{
  StoreTransaction change;
  std::map<MemberId, RowVersion> targets;
  for (const auto* owned : RangesOwnedBy(aView, aService, aOwner)) {
    const auto& record = owned->record;
    std::vector<KeyRange> rest{ record.range };
    std::vector<RangeRecord> parts;
    for (const auto& [plan, handover] : aHandovers) {
      if (record.range.Contains(plan.range)) {
        rest = Subtract(rest, plan.range);
        // If the server here has not held the keys since they came, their
        // handover is the one that they came with.
        parts.push_back({ aService,
                          plan.range,
                          plan.target,
                          record.epoch + 1,
                          handover.empty() ? record.handover : handover });
        targets[plan.target] = aView.FindMember(plan.target)->version;
      }
    }
    if (parts.empty()) {
      continue;
    }
    for (const auto& range : rest) {
      parts.push_back(
        { aService, range, aOwner, record.epoch, record.handover });
    }
    AddParts(change, *owned, parts, aView);
  }
  for (const auto& [id, version] : targets) {
    AddCondition(change, MemberKey(aService, id), version);
  }
  return change;
}

StoreTransaction
MakeMergeChange(const ClusterView& aView,
                const std::string& aService,
                const MemberId& aOwner,
                const std::vector<KeyRange>& aHeld)
{
  auto isHeld = [&](const KeyRange& aRange) {
    std::vector<KeyRange> rest{ aRange };
    for (const auto& held : aHeld) {
      rest = Subtract(rest, held);
    }
    return rest.empty();
  };
  StoreTransaction change;
  auto owned = RangesOwnedBy(aView, aService, aOwner);
  for (size_t index = 1; index < owned.size(); ++index) {
    const auto& left = *owned[index - 1];
    const auto& right = *owned[index];
    if (left.record.range.last + 1 != right.record.range.first ||
        !isHeld(left.record.range) || !isHeld(right.record.range)) {
      continue;
    }
    RangeRecord merged = left.record;
    merged.range.last = right.record.range.last;
    merged.epoch = std::max(left.record.epoch, right.record.epoch) + 1;
    merged.handover.clear();
    auto rightKey = RangeKey(aService, right.record.range.first);
    AddParts(change, left, { merged }, aView);
    AddCondition(change, rightKey, right.version);
    change.removes.push_back(rightKey);
    break;
  }
  return change;
}

StoreTransaction
MakeTrimChange(const ClusterView& aView, const Versioned<RangeRecord>& aRange)
{
  StoreTransaction change;
  const auto& record = aRange.record;
  auto others = aView.RangesOver(record);
  if (others.empty() || others.size() > kMaxTakenRanges) {
    return change;
  }
  std::vector<KeyRange> rest{ record.range };
  for (const auto* other : others) {
    auto key = RangeKey(record.service, other->record.range.first);
    AddCondition(change, key, other->version);
    rest = Subtract(rest, other->record.range);
    if (other->record.epoch <= record.epoch) {
      auto raised = other->record;
      raised.epoch = record.epoch + 1;
      change.sets.push_back(ToRow(raised));
    }
  }
  std::vector<RangeRecord> parts;
  parts.reserve(rest.size());
  for (const auto& range : rest) {
    parts.push_back(
      { record.service, range, record.owner, record.epoch, record.handover });
  }
  AddParts(change, aRange, parts, aView);
  auto key = RangeKey(record.service, record.range.first);
  if (rest.empty() || rest.front().first != record.range.first) {
    AddCondition(change, key, aRange.version);
    change.removes.push_back(key);
  }
  return change;
}

StoreTransaction
MakeTakeoverChange(const ClusterView& aView,
                   const LostMember& aLost,
                   const std::vector<KeyWeight>& aKeys,
                   const std::vector<MemberLoad>& aTargets)
{
  StoreTransaction change;
  const auto& service = aView.FindMember(aLost.id)->record.service;
  AddCondition(change, MemberKey(service, aLost.id), aLost.version);
  if (aLost.leaseVersion) {
    AddCondition(change, LeaseKey(service, aLost.id), *aLost.leaseVersion);
  }
  auto ranges = RangesOwnedBy(aView, service, aLost.id);
  if (ranges.size() < kMaxTakenRanges) {
    RemoveMember(change, service, aLost.id);
  } else {
    ranges.resize(kMaxTakenRanges); // The rest follows with the next change.
  }
  std::vector<KeyRange> keyRanges;
  keyRanges.reserve(ranges.size());
  for (const auto* range : ranges) {
    keyRanges.push_back(range->record.range);
  }
  auto plans = DistributeRanges(keyRanges, aKeys, aTargets, kMaxParts);
  for (const auto* range : ranges) {
    std::vector<RangeRecord> parts;
    for (const auto& plan : plans) {
      if (range->record.range.Contains(plan.range)) {
        parts.push_back(
          { service, plan.range, plan.target, range->record.epoch + 1, "" });
      }
    }
    AddParts(change, *range, parts, aView);
  }
  return change;
}

} // namespace fescuetiller
