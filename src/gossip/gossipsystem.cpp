#include "gossip/gossipsystem.h"

#include <algorithm>

namespace fescuetiller {

namespace {

constexpr size_t kRowOverheadBytes = 24;
constexpr size_t kLoadBytes = 20;
constexpr size_t kDigestBytes = 4 * kBucketFanout + 8;
constexpr size_t kHeaderBytes = 34; ///< IP, UDP and the message's own.

size_t
WireBytesOf(const GossipMessage& aMessage)
{
  size_t bytes = kHeaderBytes + aMessage.loads.size() * kLoadBytes +
                 aMessage.digests.size() * kDigestBytes;
  for (const auto& row : aMessage.rows) {
    bytes += GossipSystem::WireBytes(row);
  }
  for (const auto& bucket : aMessage.buckets) {
    bytes += kRowOverheadBytes;
    for (const auto& row : bucket.rows) {
      bytes += GossipSystem::WireBytes(row);
    }
  }
  return bytes;
}

} // namespace

GossipSystem::GossipSystem(const GossipSettings& aSettings, uint32_t aSeed)
  : settings(aSettings)
  , random(aSeed)
  , allowance(aSettings.burstBytes)
{
}

size_t
GossipSystem::WireBytes(const Row& aRow)
{
  return aRow.key.table.size() + aRow.key.key.size() + aRow.value.size() +
         kRowOverheadBytes;
}

std::vector<Row>
GossipSystem::Learn(const std::vector<Row>& aRows)
{
  std::vector<Row> learned;
  this->LearnInto(aRows, learned);
  return learned;
}

void
GossipSystem::LearnInto(const std::vector<Row>& aRows,
                        std::vector<Row>& aLearned)
{
  for (const auto& row : aRows) {
    if (!this->rows.Apply(row)) {
      ++this->counters.rowsOutdated;
      continue;
    }
    ++this->counters.rowsLearned;
    this->rumors[row.key] = this->settings.rumorSends;
    aLearned.push_back(row);
  }
}

void
GossipSystem::SetPeers(Peers aAddresses)
{
  this->peers = std::move(aAddresses);
}

void
GossipSystem::SetOwnLoad(Incarnation aSelf, double aBusySlots)
{
  if (this->self != aSelf) {
    this->loads.erase(this->self);
    this->self = aSelf;
  }
  ServerLoad& load = this->loads[aSelf];
  load.incarnation = aSelf;
  load.busySlots = aBusySlots;
  ++load.sequence;
}

void
GossipSystem::Refill(Time aNow)
{
  std::chrono::duration<double> passed = aNow - this->lastRefill;
  double refilled =
    this->allowance + passed.count() * this->settings.bytesPerSecond;
  this->allowance = std::min(refilled, this->settings.burstBytes);
  this->lastRefill = aNow;
}

std::string
GossipSystem::AnyPeer()
{
  if (this->peers->empty()) {
    return "";
  }
  std::uniform_int_distribution<size_t> any(0, this->peers->size() - 1);
  return (*this->peers)[any(this->random)];
}

bool
GossipSystem::Send(const std::string& aTo,
                   GossipMessage aMessage,
                   GossipOutput& aOutput)
{
  auto bytes = static_cast<double>(WireBytesOf(aMessage));
  if (aTo.empty() || bytes > this->allowance) {
    return false;
  }
  this->allowance -= bytes;
  this->counters.bytesSent += static_cast<uint64_t>(bytes);
  aOutput.messages.push_back({ aTo, std::move(aMessage) });
  return true;
}

GossipOutput
GossipSystem::Tick(Time aNow, const std::vector<GossipReceived>& aReceived)
{
  GossipOutput output;
  this->Refill(aNow);
  for (const auto& received : aReceived) {
    this->Receive(received, output);
  }
  this->SendRumors(aNow, output);
  this->SendDigest(aNow, output);
  this->SendLoads(aNow, output);
  return output;
}

void
GossipSystem::Receive(const GossipReceived& aReceived, GossipOutput& aOutput)
{
  this->LearnInto(aReceived.message.rows, aOutput.learned);
  for (const auto& load : aReceived.message.loads) {
    auto known = this->loads.emplace(load.incarnation, load).first;
    if (known->second.sequence < load.sequence) {
      known->second = load;
    }
  }
  for (const auto& digest : aReceived.message.digests) {
    this->Compare(aReceived.from, digest, aOutput);
  }
  for (const auto& bucket : aReceived.message.buckets) {
    this->Merge(aReceived.from, bucket, aOutput);
  }
}

void
GossipSystem::Compare(const std::string& aFrom,
                      const RowDigest& aDigest,
                      GossipOutput& aOutput)
{
  bool top = aDigest.parent == 0;
  if (aDigest.parent > kBucketFanout) {
    return;
  }
  BucketHashes own =
    top ? this->rows.TopHashes() : this->rows.HashesBelow(aDigest.parent - 1);
  std::vector<uint32_t> differing;
  for (uint32_t index = 0; index < kBucketFanout; ++index) {
    if (own[index] != aDigest.hashes[index]) {
      differing.push_back(index);
    }
  }
  if (differing.empty()) {
    return;
  }
  ++this->counters.digestsDiffered;
  this->differed = true;
  std::shuffle(differing.begin(), differing.end(), this->random);
  GossipMessage reply;
  for (uint32_t index : differing) {
    if (WireBytesOf(reply) + kDigestBytes > this->settings.messageBytes) {
      break;
    }
    if (top) {
      reply.digests.push_back({ index + 1, this->rows.HashesBelow(index) });
    } else {
      uint32_t bucket = (aDigest.parent - 1) * kBucketFanout + index;
      reply.buckets.push_back({ bucket, this->rows.RowsOf(bucket) });
    }
  }
  this->Send(aFrom, std::move(reply), aOutput);
}

void
GossipSystem::Merge(const std::string& aFrom,
                    const RowBucket& aBucket,
                    GossipOutput& aOutput)
{
  this->LearnInto(aBucket.rows, aOutput.learned);
  std::map<RowKey, RowVersion> theirs;
  for (const auto& row : aBucket.rows) {
    theirs[row.key] = row.version;
  }
  GossipMessage missing;
  for (const auto& row : this->rows.RowsOf(aBucket.bucket)) {
    auto their = theirs.find(row.key);
    if (their == theirs.end() || their->second < row.version) {
      missing.rows.push_back(row);
    }
  }
  if (!missing.rows.empty()) {
    this->Send(aFrom, std::move(missing), aOutput);
  }
}

void
GossipSystem::SendRumors(Time aNow, GossipOutput& aOutput)
{
  if (aNow < this->nextRumor || this->rumors.empty()) {
    return;
  }
  this->nextRumor = aNow + this->settings.rumorInterval;
  GossipMessage message;
  size_t bytes = 0;
  for (const auto& [key, left] : this->rumors) {
    const Row* row = this->rows.Find(key);
    bytes += WireBytes(*row);
    if (bytes > this->settings.messageBytes && !message.rows.empty()) {
      break;
    }
    message.rows.push_back(*row);
  }
  std::vector<Row> sent = message.rows;
  if (!this->Send(this->AnyPeer(), std::move(message), aOutput)) {
    return;
  }
  for (const auto& row : sent) {
    if (--this->rumors[row.key] == 0) {
      this->rumors.erase(row.key);
    }
  }
}

void
GossipSystem::SendDigest(Time aNow, GossipOutput& aOutput)
{
  if (aNow < this->nextDigest) {
    return;
  }
  Duration pause = this->differed ? this->settings.repairInterval
                                  : this->settings.digestInterval;
  this->differed = false;
  this->nextDigest = aNow + pause;
  GossipMessage message;
  message.digests.push_back({ 0, this->rows.TopHashes() });
  this->Send(this->AnyPeer(), std::move(message), aOutput);
}

void
GossipSystem::SendLoads(Time aNow, GossipOutput& aOutput)
{
  if (aNow < this->nextLoad || this->loads.empty()) {
    return;
  }
  this->nextLoad = aNow + this->settings.loadInterval;
  GossipMessage message;
  auto own = this->loads.find(this->self);
  if (own != this->loads.end()) {
    message.loads.push_back(own->second);
  }
  std::uniform_int_distribution<size_t> any(0, this->loads.size() - 1);
  auto next =
    std::next(this->loads.begin(), static_cast<ptrdiff_t>(any(this->random)));
  size_t count =
    std::min<size_t>(this->settings.loadsPerMessage, this->loads.size());
  for (size_t index = 0; index < count; ++index) {
    if (next->first != this->self) {
      message.loads.push_back(next->second);
    }
    ++next;
    next = next == this->loads.end() ? this->loads.begin() : next;
  }
  this->Send(this->AnyPeer(), std::move(message), aOutput);
}

const RowSet&
GossipSystem::Rows() const
{
  return this->rows;
}

std::map<Incarnation, double>
GossipSystem::Loads() const
{
  std::map<Incarnation, double> byServer;
  for (const auto& [incarnation, load] : this->loads) {
    byServer[incarnation] = load.busySlots;
  }
  return byServer;
}

const GossipCounters&
GossipSystem::Counters() const
{
  return this->counters;
}

} // namespace fescuetiller
