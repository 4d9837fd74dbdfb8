#include <catch2/catch.hpp>

#include "ownershipfake.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

size_t
PartitionsWithOneOwner(const OwnershipFake& aFake)
{
  size_t count = 0;
  for (uint32_t index = 0; index < OwnershipFake::kPartitions; ++index) {
    size_t owners = aFake.OwnersOf({ "agenda", index });
    REQUIRE(owners <= 1);
    count += owners;
  }
  return count;
}

} // namespace

TEST_CASE("Daemons share out the partitions", "[ownership]")
{
  OwnershipFake fake(3);
  fake.Run(std::chrono::seconds(5));
  REQUIRE(PartitionsWithOneOwner(fake) == OwnershipFake::kPartitions);

  SECTION("a lost daemon's partitions are served again within 2 s")
  {
    fake.At(1).running = false;
    fake.Run(std::chrono::seconds(2));
    CHECK(PartitionsWithOneOwner(fake) == OwnershipFake::kPartitions);

    SECTION("and when it wakes it learns that it was ended")
    {
      Incarnation before = fake.At(1).system->Self();
      fake.At(1).running = true;
      for (int step = 0; step < 300; ++step) {
        fake.Run(std::chrono::milliseconds(10));
        PartitionsWithOneOwner(fake);
      }
      CHECK(fake.At(1).system->Self() != before);
      CHECK(PartitionsWithOneOwner(fake) == OwnershipFake::kPartitions);
    }
  }
  SECTION("a stopping daemon hands everything over and ends")
  {
    fake.At(0).inbox.push_back(StopRequested{});
    fake.Run(std::chrono::seconds(3));
    CHECK(fake.At(0).system->Stopped());
    fake.At(0).running = false;
    CHECK(PartitionsWithOneOwner(fake) == OwnershipFake::kPartitions);
  }
}
