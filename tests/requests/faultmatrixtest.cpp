#include <catch2/catch.hpp>

#include "requests/requestworld.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

template<typename T>
std::vector<T>
All()
{
  std::vector<T> all;
  all.reserve(static_cast<size_t>(T::Count));
  for (int value = 0; value < static_cast<int>(T::Count); ++value) {
    all.push_back(static_cast<T>(value));
  }
  return all;
}

std::vector<Strike>
AllStrikes()
{
  std::vector<Strike> strikes;
  for (Step step : All<Step>()) {
    for (Fault fault : All<Fault>()) {
      if (Applies(step, fault)) {
        strikes.push_back({ step, fault });
      }
    }
  }
  return strikes;
}

bool
IsSettle(Step aStep)
{
  return aStep == Step::SettleAsk || aStep == Step::SettleAnswer;
}

/** Every kind of request and caller for one set of strikes. */
std::vector<Scenario>
Variants(const std::vector<Strike>& aStrikes, Defect aDefect)
{
  std::vector<Scenario> scenarios;
  for (bool idempotent : { true, false }) {
    for (bool checksGrant : { true, false }) {
      for (Habit habit : All<Habit>()) {
        scenarios.push_back(
          { aStrikes, idempotent, checksGrant, habit, aDefect });
      }
    }
  }
  return scenarios;
}

/** One strike alone; asking about a request takes a lost call first. */
std::vector<std::vector<Strike>>
SingleRows()
{
  std::vector<std::vector<Strike>> rows;
  for (const Strike& strike : AllStrikes()) {
    if (IsSettle(strike.step)) {
      rows.push_back({ { Step::Forward, Fault::Silent }, strike });
      rows.push_back({ { Step::PeerAnswer, Fault::Silent }, strike });
    } else {
      rows.push_back({ strike });
    }
  }
  return rows;
}

std::vector<std::vector<Strike>>
PairRows()
{
  std::vector<std::vector<Strike>> rows;
  for (const Strike& first : AllStrikes()) {
    for (const Strike& second : AllStrikes()) {
      rows.push_back({ first, second });
    }
  }
  return rows;
}

size_t
CountViolations(const std::vector<std::vector<Strike>>& aRows, Defect aDefect)
{
  size_t violations = 0;
  for (const auto& row : aRows) {
    for (const auto& scenario : Variants(row, aDefect)) {
      violations += Violation(scenario, RunScenario(scenario)).empty() ? 0 : 1;
    }
  }
  return violations;
}

} // namespace

TEST_CASE("Without a fault every request is answered", "[requests][matrix]")
{
  for (const auto& scenario : Variants({}, Defect::None)) {
    CAPTURE(ToString(scenario));
    History history = RunScenario(scenario);
    CHECK(history.told[0].outcome.code == OutcomeCode::Done);
    CHECK(Violation(scenario, history) == "");
  }
}

TEST_CASE("Every fault at every step keeps the promises", "[requests][matrix]")
{
  // 10 steps by 11 faults, less 7 faults of messages at each of the 2 steps
  // within a process, less 2 that one connection rules out.
  CHECK(AllStrikes().size() == 10 * 11 - 7 * 2 - 2);
  for (const auto& row : SingleRows()) {
    for (const auto& scenario : Variants(row, Defect::None)) {
      CAPTURE(ToString(scenario));
      History history = RunScenario(scenario);
      CHECK(Violation(scenario, history) == "");
      bool settles = !scenario.idempotent && row.size() == 2;
      if (row.size() == 1 || settles) {
        CHECK(history.struck == row.size());
      }
    }
  }
}

TEST_CASE("Every pair of faults keeps the promises", "[requests][matrix]")
{
  for (const auto& row : PairRows()) {
    for (const auto& scenario : Variants(row, Defect::None)) {
      std::string violation = Violation(scenario, RunScenario(scenario));
      if (!violation.empty()) {
        CAPTURE(ToString(scenario));
        CHECK(violation == "");
      }
    }
  }
}

TEST_CASE("The checker notices every defect", "[requests][matrix]")
{
  for (Defect defect : All<Defect>()) {
    CAPTURE(static_cast<int>(defect));
    size_t violations = CountViolations(SingleRows(), defect);
    CHECK((violations > 0) == (defect != Defect::None));
  }
}
