#pragma once

#include <map>
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

/**
 * Members and key ranges as this daemon knows them. A row of an older version
 * never replaces a newer one, so rows may come late, twice and in any order.
 */
class ClusterView
{
public:
  using Members = std::map<MemberId, Versioned<MemberRecord>>;
  using Ranges = std::map<Key, Versioned<RangeRecord>>;
  /** By service and address. */
  using Drains =
    std::map<std::pair<std::string, std::string>, Versioned<DrainRecord>>;

  /** @return Whether anything changed. */
  bool Apply(const StoreRow& aRow);

  /** Takes the rows as everything that a part holds at a version; what is
   * known beside them and is not newer is dropped. */
  void Replace(const std::string& aService, const StoreRows& aRows);

  const Members& AllMembers() const;

  /** nullptr when there is no such member. */
  const Versioned<MemberRecord>* FindMember(const MemberId& aId) const;

  std::vector<const MemberRecord*> MembersOf(const std::string& aService) const;

  /** Ranges of a service by their first key. */
  const Ranges& RangesOf(const std::string& aService) const;

  /** nullptr when nobody owns the key. */
  const RangeRecord* FindRange(const std::string& aService, Key aKey) const;

  /** Whether operators want the member at an address drained. */
  bool IsDrained(const std::string& aService,
                 const std::string& aAddress) const;

  const Drains& AllDrains() const;

  /** Rows of a service in the order of their keys, from a key on, as the store
   * would give them; at most aMost. */
  StoreRows RowsOf(const StoreKey& aFrom, size_t aMost) const;

  /** Newest version of any row applied. Rows of older versions may still come.
   */
  RowVersion Version() const;

  /** Grows with every row that changed anything. */
  uint64_t ChangeCount() const;

private:
  bool Remove(const StoreKey& aKey);

  Members members;
  std::map<std::string, Ranges> ranges;
  Drains drains;
  std::map<StoreKey, RowVersion> versions; ///< Of removed rows too.
  RowVersion newest = 0;
  uint64_t changes = 0;
};

} // namespace fescuetiller
