#include <catch2/catch.hpp>

#include "ownershipfake.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

TEST_CASE("A drain lasts until whoever asked for it takes it back",
          "[ownership]")
{
  OwnershipFake fake(3);
  fake.Run(std::chrono::seconds(5));
  auto owned = [&] {
    return fake.At(0).system->CurrentServing().partitions.size();
  };
  REQUIRE(owned() > 0);

  fake.At(0).inbox.push_back(DrainRequested{ true, DrainSource::Operator });
  fake.Run(std::chrono::seconds(5));
  REQUIRE(owned() == 0);

  SECTION("a backend server that ends its own drain does not end it")
  {
    fake.At(0).inbox.push_back(
      DrainRequested{ true, DrainSource::BackendServer });
    fake.Run(std::chrono::seconds(1));
    fake.At(0).inbox.push_back(
      DrainRequested{ false, DrainSource::BackendServer });
    fake.Run(std::chrono::seconds(5));
    CHECK(owned() == 0);
  }
  SECTION("the operator ends it")
  {
    fake.At(0).inbox.push_back(DrainRequested{ false, DrainSource::Operator });
    fake.Run(std::chrono::seconds(5));
    CHECK(owned() > 0);
  }
}
