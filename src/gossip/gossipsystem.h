#pragma once

#include <map>
#include <memory>
#include <random>
#include <set>

#include "gossip/messages.h"

namespace fescuetiller {

/** Rates of the spread; every daemon of a deployment has the same. */
struct GossipSettings
{
  /** Pause between two sends of changed rows. */
  Duration rumorInterval = std::chrono::milliseconds(100);
  /** Peers to which each daemon sends a changed row. */
  uint32_t rumorSends = 6;
  /** Pause between two comparisons with a random peer. */
  Duration digestInterval = std::chrono::seconds(1);
  /** Pause before the next comparison after one that differed. */
  Duration repairInterval = std::chrono::milliseconds(250);
  /** Pause between two sends of loads. */
  Duration loadInterval = std::chrono::seconds(1);
  uint32_t loadsPerMessage = 16;
  /** Bytes of rows in one datagram. */
  size_t messageBytes = 1100;
  /** Sending rate, and how much may be saved up for a burst. */
  double bytesPerSecond = 1500;
  double burstBytes = 64 * 1024;
};

/** Counters of the spread, read by metrics. */
struct GossipCounters
{
  uint64_t rowsLearned = 0;
  uint64_t rowsOutdated = 0;
  uint64_t bytesSent = 0;
  uint64_t digestsDiffered = 0;
};

/**
 * Spreads rows from daemon to daemon without the table service. A changed row
 * goes to a few random peers from each daemon that learns it; comparisons of
 * digests with random peers repair what that missed. An older version never
 * replaces a newer one. Pure: time, messages and the random seed go in.
 */
class GossipSystem
{
public:
  GossipSystem(const GossipSettings& aSettings, uint32_t aSeed);

  /** Rows learned elsewhere, e.g. read from the table service. */
  std::vector<Row> Learn(const std::vector<Row>& aRows);

  using Peers = std::shared_ptr<const std::vector<std::string>>;

  /** Peers to exchange with, by control address. A message to the own address
   * is harmless. */
  void SetPeers(Peers aAddresses);

  void SetOwnLoad(Incarnation aSelf, double aBusySlots);

  GossipOutput Tick(Time aNow, const std::vector<GossipReceived>& aReceived);

  const RowSet& Rows() const;
  std::map<Incarnation, double> Loads() const;
  const GossipCounters& Counters() const;

  /** Bytes that a row takes in a datagram, about. */
  static size_t WireBytes(const Row& aRow);

private:
  void Receive(const GossipReceived& aReceived, GossipOutput& aOutput);
  void Compare(const std::string& aFrom,
               const RowDigest& aDigest,
               GossipOutput& aOutput);
  void Merge(const std::string& aFrom,
             const RowBucket& aBucket,
             GossipOutput& aOutput);
  void LearnInto(const std::vector<Row>& aRows, std::vector<Row>& aLearned);
  void SendRumors(Time aNow, GossipOutput& aOutput);
  void SendDigest(Time aNow, GossipOutput& aOutput);
  void SendLoads(Time aNow, GossipOutput& aOutput);
  bool Send(const std::string& aTo,
            GossipMessage aMessage,
            GossipOutput& aOutput);
  std::string AnyPeer();
  void Refill(Time aNow);

  GossipSettings settings;
  std::mt19937 random;
  RowSet rows;
  Peers peers = std::make_shared<std::vector<std::string>>();
  std::map<RowKey, uint32_t> rumors; ///< Sends left for each changed row.
  std::map<Incarnation, ServerLoad> loads;
  Incarnation self = kNoIncarnation;
  GossipCounters counters;
  double allowance;
  Time lastRefill;
  Time nextRumor;
  Time nextDigest;
  Time nextLoad;
  bool differed = false; ///< Since the last digest was sent.
};

} // namespace fescuetiller
