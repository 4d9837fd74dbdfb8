#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "cluster/records.h"

namespace fescuetiller {

/** A record and the version of its row. */
template<typename Record>
struct Versioned
{
  Record record;
  RowVersion version = 0;
};

/** A row whose value or key is invalid, and why. */
struct RefusedRow
{
  RowVersion version = 0;
  Error error;
};

/**
 * Members, key ranges, drain requests and announced shutdowns as known to this
 * daemon. A row never
 * replaces a newer version, so rows may arrive late, repeatedly and in any
 * order. An invalid row is refused: what its key named before stays known, with
 * the version of the invalid row, which the next change must replace.
 */
class ClusterView
{
public:
  using Members = std::map<MemberId, Versioned<MemberRecord>>;
  using Ranges = std::map<Key, Versioned<RangeRecord>>;
  /** By service and address. */
  using Drains =
    std::map<std::pair<std::string, std::string>, Versioned<DrainRecord>>;
  /** By service and address. */
  using Shutdowns =
    std::map<std::pair<std::string, std::string>, Versioned<ShutdownRecord>>;
  using Refused = std::map<StoreKey, RefusedRow>;

  /** Applies one row. @return Whether anything changed. */
  bool Apply(const StoreRow& aRow);

  /** Replaces the rows of a service by a complete snapshot. Known rows that are
   * missing from it are dropped unless they are newer than the snapshot. */
  void Replace(const std::string& aService, const StoreRows& aRows);

  /** Records that all changes up to a version have been applied. Until then, a
   * missing row may be one that has not arrived; afterwards, Apply ignores rows
   * of that version or older, which others may still send. */
  void SetCompleteUpTo(RowVersion aVersion);
  RowVersion CompleteUpTo() const;

  const Members& AllMembers() const;

  /** @return nullptr if there is no such member. */
  const Versioned<MemberRecord>* FindMember(const MemberId& aId) const;

  std::vector<const MemberRecord*> MembersOf(const std::string& aService) const;

  /** Ranges of a service by their first key. */
  const Ranges& RangesOf(const std::string& aService) const;

  /** Ranges of a service that overlap others, which none of the daemons'
   * changes leaves behind: another writer has added or changed a row, or some
   * rows of a change have not arrived yet. */
  std::vector<const Versioned<RangeRecord>*> OverlappingRanges(
    const std::string& aService) const;

  /** Ranges that overlap another one of the same service. */
  std::vector<const Versioned<RangeRecord>*> RangesOver(
    const RangeRecord& aRange) const;

  /** Version of a refused row with the key of a range that is not known
   * otherwise; 0 if there is none. */
  RowVersion RefusedVersion(const std::string& aService, Key aFirst) const;

  /** The same for a row of any kind. */
  RowVersion RefusedVersion(const StoreKey& aKey) const;

  /** If several ranges contain the key, the one with the oldest row is
   * returned: rows that another writer adds are newer.
   * @return nullptr if no range contains the key. */
  const RangeRecord* FindRange(const std::string& aService, Key aKey) const;

  /** Whether operators have drained the member at an address. */
  bool IsDrained(const std::string& aService,
                 const std::string& aAddress) const;

  const Drains& AllDrains() const;

  const Shutdowns& AllShutdowns() const;

  /** @return nullptr if the servers beside the daemon have announced none. */
  const Versioned<ShutdownRecord>* FindShutdowns(
    const std::string& aService,
    const std::string& aAddress) const;

  /** Invalid rows that are in the store, by key. */
  const Refused& RefusedRows() const;

  /** Version of the row with ClaimsClosedKey; 0 if there is none. */
  RowVersion ClaimsClosedAt(const std::string& aService) const;

  /** Returns at most aMaxRows rows of a service, starting at a key and in key
   * order, as the store would return them. */
  StoreRows RowsOf(const StoreKey& aFrom, size_t aMaxRows) const;

  /** Newest version of all applied rows; older rows may still arrive. */
  RowVersion Version() const;

  /** Number of row changes so far. */
  uint64_t ChangeCount() const;

private:
  bool ApplyNewer(const StoreRow& aRow);
  bool ApplyRecord(const StoreRow& aRow);
  /** Refuses a row. What its key named before stays known. */
  bool Refuse(const StoreRow& aRow, const Error& aError);
  bool Remove(const StoreKey& aKey);
  void UpdateOverlaps(const std::string& aService, Key aChanged);

  Members members;
  std::map<std::string, Ranges> ranges;
  std::set<std::string> overlapping; ///< Services with overlapping ranges.
  Drains drains;
  Shutdowns shutdowns;
  Refused refused;
  std::map<std::string, RowVersion> claimsClosedAt; ///< By service.
  std::map<StoreKey, RowVersion> versions;          ///< Also of removed rows.
  RowVersion newest = 0;
  RowVersion completeUpTo = 0;
  uint64_t changes = 0;
};

} // namespace fescuetiller
