#include <benchmark/benchmark.h>

#include <malloc.h>

#include <grpcpp/grpcpp.h>

#include "fescuetillerd/routes.h"
#include "ownership/ownership.h"
#include "placement/placement.h"
#include "wire/wire.h"

namespace {

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

constexpr uint32_t kZones = 15;
constexpr uint32_t kPartitionsAServer = 8;

size_t
BytesInUse()
{
  auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/** Counter for what each of a number of entries takes in memory. */
benchmark::Counter
BytesEach(size_t aBefore, int64_t aCount)
{
  return { static_cast<double>(BytesInUse() - aBefore) /
           static_cast<double>(aCount) };
}

Row
MemberRow(int64_t aIndex)
{
  Member member;
  member.incarnation = HashKey("member", static_cast<uint64_t>(aIndex));
  member.name = "agenda-" + std::to_string(10000 + aIndex);
  member.service = "agenda";
  member.zone = "region-1-zone-" + std::to_string(aIndex % kZones);
  std::string ip = "10.200." + std::to_string(100 + aIndex / 250) + "." +
                   std::to_string(aIndex % 250);
  member.controlAddress = ip + ":7001";
  member.peerAddress = ip + ":7002";
  member.callerAddress = ip + ":7003";
  member.grantor = HashKey("member", static_cast<uint64_t>(aIndex + 1));
  member.slots = 6;
  member.connections = 120;
  member.writeId = ToHex(member.incarnation) + "-17";
  Row row = ToRow(member);
  row.version = static_cast<RowVersion>(aIndex + 1);
  return row;
}

Row
AssignmentRow(int64_t aIndex)
{
  Assignment assignment;
  assignment.partition = { "agenda", static_cast<uint32_t>(aIndex) };
  assignment.owner =
    HashKey("member", static_cast<uint64_t>(aIndex / kPartitionsAServer));
  assignment.epoch = 3;
  assignment.writeId = ToHex(assignment.owner) + "-17";
  Row row = ToRow(assignment);
  row.version = static_cast<RowVersion>(aIndex + 1);
  return row;
}

ClusterTable
FleetTable(int64_t aMembers)
{
  ClusterTable table;
  for (int64_t index = 0; index < aMembers; ++index) {
    table.Apply(MemberRow(index));
  }
  for (int64_t index = 0; index < aMembers * kPartitionsAServer; ++index) {
    table.Apply(AssignmentRow(index));
  }
  return table;
}

/** Time and memory to take in one member. */
void
ApplyMember(benchmark::State& aState)
{
  for (auto unused : aState) {
    (void)unused;
    size_t before = BytesInUse();
    ClusterTable table;
    for (int64_t index = 0; index < aState.range(0); ++index) {
      table.Apply(MemberRow(index));
    }
    aState.counters["bytes_each"] = BytesEach(before, aState.range(0));
  }
  aState.counters["row_bytes"] =
    static_cast<double>(ToWire(MemberRow(0)).ByteSizeLong());
}
BENCHMARK(ApplyMember)->Arg(1000)->Arg(13000)->Unit(benchmark::kMillisecond);

/** Time and memory to take in one assignment. */
void
ApplyAssignment(benchmark::State& aState)
{
  for (auto unused : aState) {
    (void)unused;
    size_t before = BytesInUse();
    ClusterTable table;
    for (int64_t index = 0; index < aState.range(0); ++index) {
      table.Apply(AssignmentRow(index));
    }
    aState.counters["bytes_each"] = BytesEach(before, aState.range(0));
  }
  aState.counters["row_bytes"] =
    static_cast<double>(ToWire(AssignmentRow(0)).ByteSizeLong());
}
BENCHMARK(ApplyAssignment)
  ->Arg(8000)
  ->Arg(104000)
  ->Unit(benchmark::kMillisecond);

/** Time and memory to publish all routes, done after every change. */
void
PublishRoutes(benchmark::State& aState)
{
  ClusterTable table = FleetTable(aState.range(0));
  size_t before = BytesInUse();
  Routes routes;
  routes.Publish(table);
  aState.counters["bytes_each"] =
    BytesEach(before, aState.range(0) * kPartitionsAServer);
  for (auto unused : aState) {
    (void)unused;
    routes.Publish(table);
  }
}
BENCHMARK(PublishRoutes)
  ->Arg(100)
  ->Arg(1000)
  ->Arg(13000)
  ->Unit(benchmark::kMicrosecond);

/** The grantor's pass over all members. */
void
FollowMembers(benchmark::State& aState)
{
  ClusterTable table = FleetTable(aState.range(0));
  LeaseGrantor grantor(LeaseSettings(), HashKey("member", 5));
  for (auto unused : aState) {
    (void)unused;
    grantor.Follow(Time(), table);
  }
}
BENCHMARK(FollowMembers)
  ->Arg(100)
  ->Arg(1000)
  ->Arg(13000)
  ->Unit(benchmark::kMicrosecond);

/** The scan for the own partitions, done several times a tick. */
void
OwnedPartitions(benchmark::State& aState)
{
  ClusterTable table = FleetTable(aState.range(0));
  for (auto unused : aState) {
    (void)unused;
    benchmark::DoNotOptimize(table.OwnedBy(HashKey("member", 5)));
  }
}
BENCHMARK(OwnedPartitions)
  ->Arg(100)
  ->Arg(1000)
  ->Arg(13000)
  ->Unit(benchmark::kMicrosecond);

/** Building the view of one plan and deciding on it. */
void
DecidePlan(benchmark::State& aState)
{
  ClusterTable table = FleetTable(aState.range(0));
  PlacementPolicy policy = MakePlacement(PlacementSettings());
  for (auto unused : aState) {
    (void)unused;
    PlacementView view;
    for (const auto& [id, member] : table.Members()) {
      view.servers.push_back({ id, member.zone, member.slots, 3, true });
    }
    for (const auto& [id, assignment] : table.Assignments()) {
      view.partitions.push_back({ id, assignment.owner, 0 });
    }
    view.self = HashKey("member", 5);
    benchmark::DoNotOptimize(policy(view));
  }
}
BENCHMARK(DecidePlan)
  ->Arg(100)
  ->Arg(1000)
  ->Arg(13000)
  ->Unit(benchmark::kMicrosecond);

/** Encoding a renewal, and its size as a datagram. */
void
EncodeRenewal(benchmark::State& aState)
{
  wire::Datagram datagram;
  datagram.mutable_renewal()->set_holder(HashKey("holder"));
  datagram.mutable_renewal()->set_grantor(HashKey("grantor"));
  datagram.mutable_renewal()->set_sequence(1000000);
  std::string bytes;
  for (auto unused : aState) {
    (void)unused;
    datagram.SerializeToString(&bytes);
  }
  aState.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(EncodeRenewal);

/** Memory of connected channels between daemons, both ends in this process. */
void
PeerChannels(benchmark::State& aState)
{
  wire::Peer::Service service;
  int port = 0;
  grpc::ServerBuilder builder;
  builder.AddListeningPort(
    "127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&service);
  auto server = builder.BuildAndStart();
  for (auto unused : aState) {
    (void)unused;
    size_t before = BytesInUse();
    std::vector<std::shared_ptr<grpc::Channel>> channels;
    for (int64_t index = 0; index < aState.range(0); ++index) {
      grpc::ChannelArguments arguments;
      arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
      channels.push_back(
        grpc::CreateCustomChannel("127.0.0.1:" + std::to_string(port),
                                  grpc::InsecureChannelCredentials(),
                                  arguments));
      channels.back()->WaitForConnected(std::chrono::system_clock::now() +
                                        std::chrono::seconds(5));
    }
    aState.counters["bytes_a_channel"] = BytesEach(before, aState.range(0));
  }
}
BENCHMARK(PeerChannels)
  ->Arg(20)
  ->Arg(200)
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

} // namespace

BENCHMARK_MAIN();
