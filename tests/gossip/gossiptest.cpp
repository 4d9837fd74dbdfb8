#include <catch2/catch.hpp>

#include "gossip/gossip.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kStep = std::chrono::milliseconds(50);

/** Faults of the link between the systems of the test. */
enum class LinkFault
{
  None,
  LoseHalf,
  DeliverTwice,
  DeliverLate,
  DeliverReversed,
  Count,
};

/** Many gossip systems on one manual clock and a link with faults. */
class Swarm
{
public:
  Swarm(size_t aCount, LinkFault aFault)
    : fault(aFault)
  {
    for (size_t index = 0; index < aCount; ++index) {
      this->systems.emplace_back(GossipSettings(),
                                 static_cast<uint32_t>(index + 1));
      std::vector<std::string> peers;
      for (size_t peer = 0; peer < aCount; ++peer) {
        if (peer != index) {
          peers.push_back(std::to_string(peer));
        }
      }
      this->systems.back().SetPeers(
        std::make_shared<std::vector<std::string>>(peers));
    }
    this->inboxes.resize(aCount);
    this->late.resize(aCount);
  }

  GossipSystem& At(size_t aIndex) { return this->systems.at(aIndex); }

  void Run(Duration aTime)
  {
    for (Time end = this->now + aTime; this->now < end; this->now += kStep) {
      for (size_t index = 0; index < this->systems.size(); ++index) {
        auto received = std::exchange(this->inboxes[index],
                                      std::exchange(this->late[index], {}));
        auto output = this->systems[index].Tick(this->now, received);
        for (auto& message : output.messages) {
          this->Deliver(index, message);
        }
      }
    }
  }

  /** Systems that know a row in this version. */
  size_t Knowing(const Row& aRow) const
  {
    size_t count = 0;
    for (const auto& system : this->systems) {
      const Row* known = system.Rows().Find(aRow.key);
      count += known != nullptr && *known == aRow ? 1 : 0;
    }
    return count;
  }

private:
  void Deliver(size_t aFrom, const SendGossip& aMessage)
  {
    GossipReceived received{ std::to_string(aFrom), aMessage.message };
    size_t to = std::stoul(aMessage.to);
    auto& inbox = this->inboxes[to];
    switch (this->fault) {
      case LinkFault::None:
        inbox.push_back(received);
        break;
      case LinkFault::LoseHalf:
        if (this->random() % 2 == 0) {
          inbox.push_back(received);
        }
        break;
      case LinkFault::DeliverTwice:
        inbox.push_back(received);
        inbox.push_back(received);
        break;
      case LinkFault::DeliverLate:
        this->late[to].push_back(received);
        break;
      case LinkFault::DeliverReversed:
        inbox.insert(inbox.begin(), received);
        break;
      case LinkFault::Count:
        break;
    }
  }

  LinkFault fault;
  Time now = FromBootNanoseconds(1);
  std::mt19937 random{ 7 };
  std::vector<GossipSystem> systems;
  std::vector<std::vector<GossipReceived>> inboxes;
  std::vector<std::vector<GossipReceived>> late;
};

Row
ClassRow(const std::string& aName, RowVersion aVersion)
{
  return {
    { "class", aName }, "value" + std::to_string(aVersion), aVersion, false
  };
}

} // namespace

TEST_CASE("A changed row reaches every daemon without the store", "[gossip]")
{
  constexpr size_t kDaemons = 200;
  constexpr Duration kInForce = std::chrono::seconds(13);
  auto fault = static_cast<LinkFault>(
    GENERATE(range(0, static_cast<int>(LinkFault::Count))));
  CAPTURE(static_cast<int>(fault));
  Swarm swarm(kDaemons, fault);
  Row first = ClassRow("agenda/lookup", 1);
  swarm.At(0).Learn({ first });
  swarm.Run(kInForce);
  REQUIRE(swarm.Knowing(first) == kDaemons);

  SECTION("a newer version replaces it everywhere")
  {
    Row second = ClassRow("agenda/lookup", 2);
    swarm.At(kDaemons - 1).Learn({ second });
    swarm.Run(kInForce);
    CHECK(swarm.Knowing(second) == kDaemons);

    SECTION("and an older one that comes late changes nothing")
    {
      CHECK(swarm.At(3).Learn({ first }).empty());
      swarm.Run(kInForce);
      CHECK(swarm.Knowing(second) == kDaemons);
    }
  }
  SECTION("a daemon that missed everything is repaired by comparison")
  {
    Swarm pair(2, fault);
    std::vector<Row> rows;
    for (RowVersion version = 1; version <= 40; ++version) {
      rows.push_back(ClassRow("c" + std::to_string(version), version));
    }
    pair.At(0).Learn(rows);
    pair.At(0).SetPeers(std::make_shared<std::vector<std::string>>());
    pair.Run(std::chrono::seconds(1));
    pair.At(0).SetPeers(std::make_shared<std::vector<std::string>>(1, "1"));
    pair.Run(std::chrono::minutes(3));
    CHECK(pair.At(1).Rows().Size() == rows.size());
    CHECK(pair.At(1).Rows().TopHashes() == pair.At(0).Rows().TopHashes());
  }
}

TEST_CASE("The spread keeps to its sending rate", "[gossip]")
{
  GossipSettings settings;
  Swarm swarm(10, LinkFault::None);
  std::vector<Row> rows;
  for (RowVersion version = 1; version <= 2000; ++version) {
    rows.push_back(ClassRow("c" + std::to_string(version), version));
  }
  swarm.At(0).Learn(rows);
  constexpr int kSeconds = 60;
  swarm.Run(std::chrono::seconds(kSeconds));
  for (size_t index = 0; index < 10; ++index) {
    auto bytes = static_cast<double>(swarm.At(index).Counters().bytesSent);
    CHECK(bytes <= settings.burstBytes + kSeconds * settings.bytesPerSecond);
  }
}

TEST_CASE("A row that does not exist is not learned", "[gossip]")
{
  GossipSystem system(GossipSettings(), 1);
  CHECK(system.Learn({ ClassRow("agenda/lookup", 0) }).empty());
  CHECK(system.Rows().Size() == 0);
}

TEST_CASE("Loads spread and the newest wins", "[gossip]")
{
  Swarm swarm(6, LinkFault::None);
  for (size_t index = 0; index < 6; ++index) {
    swarm.At(index).SetOwnLoad(index + 1, 1.0);
  }
  swarm.Run(std::chrono::seconds(20));
  swarm.At(2).SetOwnLoad(3, 5.0);
  swarm.Run(std::chrono::seconds(20));
  for (size_t index = 0; index < 6; ++index) {
    auto loads = swarm.At(index).Loads();
    CHECK(loads.size() == 6);
    CHECK(loads[3] == 5.0);
  }
}

TEST_CASE("A gossip message survives its wire form", "[gossip]")
{
  GossipMessage message;
  message.rows.push_back(ClassRow("agenda/lookup", 3));
  message.loads.push_back({ 7, 2, 1.5 });
  message.digests.push_back({ 1, BucketHashes{ 1, 2, 3 } });
  message.buckets.push_back({ 9, { ClassRow("agenda/booking", 4) } });
  auto read = FromWire(ToWire(message));
  REQUIRE(read);
  CHECK(read->rows == message.rows);
  CHECK(read->loads[0].busySlots == 1.5);
  CHECK(read->digests[0].hashes == message.digests[0].hashes);
  CHECK(read->buckets[0].rows == message.buckets[0].rows);

  SECTION("a digest of the wrong size is refused")
  {
    wire::Gossip broken = ToWire(message);
    broken.mutable_digests(0)->add_hashes(1);
    CHECK_FALSE(FromWire(broken));
  }
}
