#include <sstream>

#include <catch2/catch.hpp>

#include "metrics/metrics.h"
#include "reports/reports.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr Duration kMs = std::chrono::milliseconds(1);

/** Values of all lines that start with a text, in their order. */
std::vector<double>
Values(const std::string& aText, const std::string& aStart)
{
  std::vector<double> values;
  std::istringstream lines(aText);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.rfind(aStart, 0) == 0) {
      values.push_back(std::stod(line.substr(line.rfind(' '))));
    }
  }
  return values;
}

} // namespace

TEST_CASE("Classes are measured", "[metrics]")
{
  ClassMetrics metrics;
  Time now = Time() + std::chrono::hours(1);
  auto record = [&](OutcomeCode aCode, Duration aLatency) {
    metrics.Record(now, "agenda", "look\"up", aCode, aLatency);
  };
  record(OutcomeCode::Done, kMs / 10);
  record(OutcomeCode::Done, 20 * kMs);
  record(OutcomeCode::Done, 60000 * kMs);
  const std::string kLabels = R"({service="agenda",class="look\"up")";

  SECTION("buckets are cumulative and end in the count")
  {
    std::string text = metrics.Text();
    auto buckets =
      Values(text, "fescuetiller_latency_seconds_bucket" + kLabels);
    REQUIRE(buckets.size() == 25);
    CHECK(std::is_sorted(buckets.begin(), buckets.end()));
    CHECK(buckets.front() == 1);
    CHECK(buckets[23] == 2);
    CHECK(buckets.back() == 3);
    CHECK(Values(text, "fescuetiller_latency_seconds_count") ==
          std::vector<double>{ 3 });
    CHECK(Values(text, "fescuetiller_latency_seconds_sum")[0] ==
          Approx(60.0201));
  }
  SECTION("the time between a failure and the next success is unavailable")
  {
    record(OutcomeCode::NotRun, kMs);
    now += 300 * kMs;
    record(OutcomeCode::Unknown, kMs);
    now += 200 * kMs;
    record(OutcomeCode::Done, kMs);
    now += 400 * kMs;
    record(OutcomeCode::Done, kMs);
    auto unavailable = Values(
      metrics.Text(), "fescuetiller_class_unavailable_seconds_total" + kLabels);
    REQUIRE(unavailable.size() == 1);
    CHECK(unavailable[0] == Approx(0.5));
  }
  SECTION("a quiet hour after a failure counts as one second")
  {
    record(OutcomeCode::NotRun, kMs);
    now += std::chrono::hours(1);
    record(OutcomeCode::Done, kMs);
    CHECK(Values(metrics.Text(),
                 "fescuetiller_class_unavailable_seconds_total")[0] ==
          Approx(1));
  }
}

TEST_CASE("Health is what requests would find", "[metrics]")
{
  HealthInputs inputs;
  inputs.leaseLeft = kMs;
  inputs.backendAnnounced = true;
  inputs.backendHealthy = true;
  inputs.storeReachable = true;

  SECTION("all is well")
  {
    CHECK(ToText(JudgeHealth(inputs)) == "ok\n");
  }
  SECTION("a lapsed lease is not healthy")
  {
    inputs.leaseLeft = Duration(0);
    CHECK_FALSE(JudgeHealth(inputs).healthy());
    CHECK(ToText(JudgeHealth(inputs)) ==
          "not serving\nlost: lease: not held\n");
  }
  SECTION("a lost backend server is not healthy")
  {
    inputs.backendHealthy = false;
    CHECK_FALSE(JudgeHealth(inputs).healthy());
  }
  SECTION("an outage of the table service alone degrades")
  {
    inputs.storeReachable = false;
    CHECK(JudgeHealth(inputs).healthy());
    CHECK(JudgeHealth(inputs).degraded_size() == 1);
  }
}
