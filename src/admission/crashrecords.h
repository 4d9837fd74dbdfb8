#pragma once

#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

#include "model/model.h"

namespace fescuetiller {

/**
 * Remembers under which requests servers ended ("queries of death"), and which
 * of them must not run again: those under which several servers ended and that
 * none has run successfully since. A server that ends takes all of its requests
 * with it, so those that succeeded shortly before are not recorded, and a
 * blocked request may be tried once after a while. Daemons merge each other's
 * records, in any order and as often as they get them. Pure.
 */
class CrashRecords
{
public:
  using Records = std::vector<CrashRecord>;

  /** Whether a request may run. */
  struct Verdict
  {
    bool mayRun = true;
    Duration blockedFor = Duration(0); ///< If it may not run.
    std::optional<CrashRecord> news;   ///< For other daemons, if it is tried.
  };

  /** @param aSeed A number that other daemons do not have, so that they try a
   * blocked request at other times. */
  explicit CrashRecords(uint64_t aSeed = 0);

  /** A server ended while it ran the request.
   * @return The record if that is news, unless the request has succeeded
   * recently. */
  std::optional<CrashRecord> OnCrash(Time aNow,
                                     RequestFingerprint aFingerprint,
                                     uint64_t aServer);

  /** A server ran the request successfully.
   * @return The record if there was one against it. */
  std::optional<CrashRecord> OnSuccess(Time aNow,
                                       RequestFingerprint aFingerprint);

  /** Merges the records of another daemon.
   * @return Those that were news. */
  Records Merge(Time aNow, const Records& aRecords);

  /** Decides whether the request may run here now. If that is a trial, it is
   * recorded. */
  Verdict Admit(Time aNow, RequestFingerprint aFingerprint);

  /** How long the request must not run anywhere; nothing if it may run now, or
   * be tried at some daemon. */
  std::optional<Duration> BlockedFor(Time aNow,
                                     RequestFingerprint aFingerprint) const;

  /** The next records to repeat to other daemons, in turn. */
  Records Next(Time aNow, size_t aCount);

  bool IsEmpty() const;
  size_t BlockedCount(Time aNow) const;

private:
  struct Entry
  {
    uint32_t generation = 0;
    std::vector<uint64_t> servers;
    uint32_t trials = 0;
    Time changedAt; ///< Last change of generation or servers.
  };
  using Entries = std::map<RequestFingerprint, Entry>;

  static bool IsBlocked(Time aNow, const Entry& aEntry);
  /** When a blocked request may be tried, or when its block ends. */
  static Time NextRun(const Entry& aEntry);
  static CrashRecord ToRecord(Time aNow, const Entries::value_type& aEntry);
  /** Adds the entry of a request unless it exists, and drops the oldest one if
   * there are too many. */
  Entries::iterator Insert(RequestFingerprint aFingerprint, Time aChangedAt);

  /** Remembers a success. Successes are kept in two sets, of which the older
   * one is dropped after a while. */
  void AddSuccess(Time aNow, RequestFingerprint aFingerprint);
  bool HasSucceeded(Time aNow, RequestFingerprint aFingerprint) const;

  uint64_t seed;
  Entries entries;
  std::unordered_set<RequestFingerprint> successes;
  std::unordered_set<RequestFingerprint> earlierSuccesses;
  Time successesSince;
  RequestFingerprint lastRepeated = 0;
};

} // namespace fescuetiller
