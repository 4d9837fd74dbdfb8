// Measures how the time and memory that a daemon needs for the other members
// grow with their number.

#include <malloc.h>

#include <benchmark/benchmark.h>

#include "cluster/cluster.h"
#include "routing/routing.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

constexpr const char* kService = "agenda";
constexpr Time kStart = Time(std::chrono::seconds(100));

MemberId
MakeId(size_t aIndex)
{
  return ToHex(StableHash(std::to_string(aIndex)));
}

StoreRow
MakeMemberRow(size_t aIndex, size_t aMembers)
{
  MemberRecord record;
  record.id = MakeId(aIndex);
  record.service = kService;
  record.zone = "qc-east-" + std::to_string(aIndex % 3);
  record.address =
    "10.1." + std::to_string(aIndex / 250) + "." + std::to_string(aIndex % 250);
  record.udpAddress = record.address + ":7380";
  record.address += ":8146";
  for (size_t guardian = 1; guardian <= 3; ++guardian) {
    record.guardians.push_back(MakeId((aIndex + guardian) % aMembers));
  }
  auto row = ToRow(record);
  row.version = aIndex + 1;
  return row;
}

std::vector<StoreRow>
MakeRows(size_t aMembers)
{
  std::vector<StoreRow> rows;
  for (size_t index = 0; index < aMembers; ++index) {
    rows.push_back(MakeMemberRow(index, aMembers));
    // One service has at most as many ranges as keys.
    auto first = static_cast<Key>(index * (kLastKey + 1) / aMembers);
    auto last = static_cast<Key>((index + 1) * (kLastKey + 1) / aMembers - 1);
    auto range =
      ToRow(RangeRecord{ kService, { first, last }, MakeId(index), 1, "" });
    range.version = index + 1;
    rows.push_back(range);
  }
  return rows;
}

ClusterView
MakeView(size_t aMembers)
{
  ClusterView view;
  for (const auto& row : MakeRows(aMembers)) {
    view.Apply(row);
  }
  return view;
}

/** Applies the rows of all members and ranges; counts the bytes kept for each
 * member and its range. */
void
ApplyRows(benchmark::State& aState)
{
  auto members = static_cast<size_t>(aState.range(0));
  auto rows = MakeRows(members);
  double bytes = 0;
  for (auto unused : aState) {
    (void)unused;
    auto before = mallinfo2().uordblks;
    ClusterView view;
    for (const auto& row : rows) {
      view.Apply(row);
    }
    bytes = static_cast<double>(mallinfo2().uordblks - before);
    benchmark::DoNotOptimize(view);
  }
  aState.counters["bytes_each"] = bytes / static_cast<double>(members);
}
BENCHMARK(ApplyRows)->Arg(100)->Arg(1000)->Arg(13000);

/** Copies the view, as happens for the request path on each change. */
void
CopyView(benchmark::State& aState)
{
  auto view = MakeView(static_cast<size_t>(aState.range(0)));
  for (auto unused : aState) {
    (void)unused;
    auto copy = std::make_shared<ClusterView>(view);
    benchmark::DoNotOptimize(copy);
  }
}
BENCHMARK(CopyView)->Arg(100)->Arg(1000)->Arg(13000);

/** Runs one check of all members, as happens every 100 ms. */
void
WatchMembers(benchmark::State& aState)
{
  auto view = MakeView(static_cast<size_t>(aState.range(0)));
  MemberMonitor monitor{ LeaseTimes() };
  auto now = kStart;
  for (auto unused : aState) {
    (void)unused;
    now += milliseconds(100);
    for (size_t member = 0; member < 3; ++member) {
      monitor.OnRenewal(now, MakeId(member));
    }
    benchmark::DoNotOptimize(monitor.Tick(now, view, MakeId(3)));
  }
}
BENCHMARK(WatchMembers)->Arg(100)->Arg(1000)->Arg(13000);

void
FindOwner(benchmark::State& aState)
{
  auto view = MakeView(static_cast<size_t>(aState.range(0)));
  Key key = 0;
  for (auto unused : aState) {
    (void)unused;
    key = (key + 7919) % (kLastKey + 1);
    benchmark::DoNotOptimize(view.FindRange(kService, key));
  }
}
BENCHMARK(FindOwner)->Arg(100)->Arg(1000)->Arg(13000);

void
EncodeRenewal(benchmark::State& aState)
{
  PeerMessage message;
  message.from = MakeId(1);
  message.to = MakeId(2);
  message.member = MakeId(1);
  size_t bytes = 0;
  for (auto unused : aState) {
    (void)unused;
    bytes = Encode(message).size();
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(EncodeRenewal);

void
FindRoute(benchmark::State& aState)
{
  auto configuration = std::make_shared<Configuration>();
  for (int64_t index = 0; index < aState.range(0); ++index) {
    Route route;
    route.name = "r" + std::to_string(index);
    route.host = "h" + std::to_string(index % 10) + ".example";
    route.prefix = "/p" + std::to_string(index) + "/";
    configuration->routes[route.name] = route;
  }
  RouteTable table(configuration);
  for (auto unused : aState) {
    (void)unused;
    benchmark::DoNotOptimize(table.Find("h3.example", "/p3/x/y"));
  }
}
BENCHMARK(FindRoute)->Arg(10)->Arg(1000);

} // namespace

BENCHMARK_MAIN();
