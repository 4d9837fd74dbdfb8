#pragma once

#include <string>
#include <vector>

#include "gossip/rowset.h"

namespace fescuetiller {

/** Busy slots of one daemon's backend server, as that daemon measured them. */
struct ServerLoad
{
  Incarnation incarnation = kNoIncarnation;
  uint32_t sequence = 0; ///< Grows with each measurement.
  double busySlots = 0;
};

/** Hashes of the sender's rows; parent 0: all, else one top bucket plus 1. */
struct RowDigest
{
  uint32_t parent = 0;
  BucketHashes hashes{};
};

/** All rows of one second-level bucket as the sender has them. */
struct RowBucket
{
  uint32_t bucket = 0;
  std::vector<Row> rows;
};

/** One datagram's worth of rows, loads and digests. */
struct GossipMessage
{
  std::vector<Row> rows;
  std::vector<ServerLoad> loads;
  std::vector<RowDigest> digests;
  std::vector<RowBucket> buckets;
};

/** A message that arrived, and the control address it came from. */
struct GossipReceived
{
  std::string from;
  GossipMessage message;
};

/** A message to send. */
struct SendGossip
{
  std::string to;
  GossipMessage message;
};

/** What one tick gives. */
struct GossipOutput
{
  std::vector<SendGossip> messages;
  std::vector<Row> learned; ///< Rows newer than what was known.
};

} // namespace fescuetiller
