#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/peertable.h"

namespace fescuetiller {

/** Where a request without a key is sent. */
struct ZoneCriteria
{
  std::string requestClass;
  std::string ownZone;
  Duration target = Duration(0); ///< Response time that the class should meet.
  /** Time of a caller that a KiB sent to another zone is worth. */
  Duration transferCost = Duration(0);
  std::set<std::string> tried; ///< Members that must not be chosen again.
};

/**
 * Chooses the daemon for a request to a service without keys, where sending to
 * another zone has a price. The own zone's servers are filled to what still
 * meets the target of the class. What exceeds that is sent out as a share of
 * the class's requests, which follows the load that the own zone's servers
 * report. The share changes slowly compared with the age of reports, so that
 * daemons that act on the same reports do not all send out or all stop at once.
 * Does no I/O and reads no clock; not thread-safe.
 */
class ZoneChoice
{
public:
  /** Returns a random number from 0 to 1. */
  using Random = std::function<double()>;

  explicit ZoneChoice(Random aRandom);

  /** Records the size of a request and its response. */
  void OnSize(const std::string& aClass, uint64_t aBytes);

  /** @return The member; empty if every candidate was tried. */
  std::string Choose(Time aNow,
                     const std::vector<PeerCandidate>& aCandidates,
                     const ZoneCriteria& aCriteria,
                     const PeerTable& aPeers);

private:
  struct ClassState
  {
    double meanBytes = 0; ///< Moving mean; 0: unknown.
    double outShare = 0;  ///< Of the requests that is sent out, 0 to 1.
    Time updatedAt;
  };
  /** An untried candidate. */
  struct Option
  {
    const PeerCandidate* candidate = nullptr;
    PeerTable::Estimate estimate;
  };

  static void RemoveFailing(std::vector<Option>& aOptions);
  /** Returns the better one of two that are drawn at random; nullptr if there
   * is none. Always taking the best one would send the requests of all daemons
   * to the same member until it reports again. */
  const Option* DrawBetter(const std::vector<Option>& aOptions);
  /** Adjusts the share that is sent out to the load of the own zone.
   * @param aOverTime By how much the best member of the own zone exceeds the
   * time that is aimed at, as a part of the target; negative: it does not. */
  void UpdateShare(Time aNow,
                   ClassState& aState,
                   const std::vector<Option>& aOwn,
                   double aOverTime,
                   bool aPays);

  Random random;
  std::map<std::string, ClassState> classes;
};

} // namespace fescuetiller
