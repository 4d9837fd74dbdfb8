#include "gossip/gossipcodec.h"

#include <algorithm>

namespace fescuetiller {

wire::Gossip
ToWire(const GossipMessage& aMessage)
{
  wire::Gossip gossip;
  for (const auto& row : aMessage.rows) {
    *gossip.add_rows() = ToWire(row);
  }
  for (const auto& load : aMessage.loads) {
    auto* added = gossip.add_loads();
    added->set_incarnation(load.incarnation);
    added->set_sequence(load.sequence);
    added->set_busy_slots(static_cast<float>(load.busySlots));
  }
  for (const auto& digest : aMessage.digests) {
    auto* added = gossip.add_digests();
    added->set_parent(digest.parent);
    for (uint32_t hash : digest.hashes) {
      added->add_hashes(hash);
    }
  }
  for (const auto& bucket : aMessage.buckets) {
    auto* added = gossip.add_buckets();
    added->set_bucket(bucket.bucket);
    for (const auto& row : bucket.rows) {
      *added->add_rows() = ToWire(row);
    }
  }
  return gossip;
}

std::optional<GossipMessage>
FromWire(const wire::Gossip& aMessage)
{
  GossipMessage message;
  for (const auto& row : aMessage.rows()) {
    message.rows.push_back(FromWire(row));
  }
  for (const auto& load : aMessage.loads()) {
    message.loads.push_back(
      { load.incarnation(), load.sequence(), load.busy_slots() });
  }
  for (const auto& digest : aMessage.digests()) {
    RowDigest read;
    read.parent = digest.parent();
    if (digest.hashes_size() != static_cast<int>(kBucketFanout)) {
      return std::nullopt;
    }
    std::copy(
      digest.hashes().begin(), digest.hashes().end(), read.hashes.begin());
    message.digests.push_back(read);
  }
  for (const auto& bucket : aMessage.buckets()) {
    RowBucket read;
    read.bucket = bucket.bucket();
    for (const auto& row : bucket.rows()) {
      read.rows.push_back(FromWire(row));
    }
    message.buckets.push_back(std::move(read));
  }
  return message;
}

} // namespace fescuetiller
