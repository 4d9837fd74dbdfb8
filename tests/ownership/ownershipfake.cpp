#include "ownershipfake.h"

namespace fescuetiller {

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);

} // namespace

OwnershipFake::OwnershipFake(size_t aCount)
  : nodes(aCount)
{
  for (size_t index = 0; index < aCount; ++index) {
    OwnershipSettings settings;
    settings.name = "agenda-" + std::to_string(index);
    settings.zone = "zone-" + std::to_string(index % 3);
    settings.controlAddress = std::to_string(index);
    settings.peerAddress = std::to_string(index);
    settings.partitions = { { "agenda", kPartitions } };
    auto draw = [next = Incarnation(index + 1)]() mutable {
      next += 100;
      return next;
    };
    this->nodes[index].system =
      std::make_unique<OwnershipSystem>(settings, RendezvousPlacement, draw);
    this->nodes[index].inbox.push_back(
      BackendAnnounced{ "agenda", "backend", 6, 120, true });
  }
}

void
OwnershipFake::Run(Duration aTime)
{
  for (Time end = this->now + aTime; this->now < end; this->now += kStep) {
    for (size_t index = 0; index < this->nodes.size(); ++index) {
      Node& node = this->nodes[index];
      if (!node.running) {
        continue;
      }
      for (const char* table : { kMemberTable, kAssignmentTable }) {
        auto read = this->store.ReadChanges(table, node.readMembers);
        node.inbox.push_back(RowsLearned{ read->rows });
      }
      for (const auto& owned : node.system->CurrentServing().partitions) {
        if (!owned.admitting) {
          node.inbox.push_back(PartitionIdle{ owned.partition });
        }
      }
      auto inputs = std::exchange(node.inbox, {});
      for (const auto& output : node.system->Tick(this->now, inputs)) {
        this->Deliver(index, output);
      }
    }
  }
}

void
OwnershipFake::Deliver(size_t aFrom, const Output& aOutput)
{
  if (const auto* renewal = std::get_if<SendRenewal>(&aOutput)) {
    this->At(std::stoul(renewal->address)).inbox.push_back(renewal->renewal);
  }
  if (const auto* ack = std::get_if<SendAck>(&aOutput)) {
    this->At(std::stoul(ack->address)).inbox.push_back(ack->ack);
  }
  if (const auto* start = std::get_if<StartTransaction>(&aOutput)) {
    auto result = this->store.Transact(start->transaction);
    this->At(aFrom).inbox.push_back(TransactionAnswer{ start->id, result });
  }
  if (const auto* push = std::get_if<PushRows>(&aOutput)) {
    this->At(std::stoul(push->address))
      .inbox.push_back(RowsLearned{ push->rows });
  }
}

Time
OwnershipFake::Now() const
{
  return this->now;
}

OwnershipFake::Node&
OwnershipFake::At(size_t aIndex)
{
  return this->nodes.at(aIndex);
}

size_t
OwnershipFake::OwnersOf(const PartitionId& aPartition) const
{
  size_t owners = 0;
  for (const auto& node : this->nodes) {
    Serving serving = node.system->CurrentServing();
    if (this->now >= serving.leaseUntil || !node.running) {
      continue;
    }
    for (const auto& owned : serving.partitions) {
      owners += owned.partition == aPartition && owned.admitting ? 1 : 0;
    }
  }
  return owners;
}

} // namespace fescuetiller
