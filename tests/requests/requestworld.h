#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "requests/requests.h"

namespace fescuetiller {

/** Where a request stands when a fault strikes it. */
enum class Step
{
  Admit,         ///< Caller to ingress.
  Forward,       ///< Ingress to owner.
  Queue,         ///< Owner waits for a slot.
  Dispatch,      ///< Owner to backend server.
  BackendRun,    ///< Backend server works.
  BackendAnswer, ///< Backend server to owner.
  PeerAnswer,    ///< Owner to ingress.
  CallerAnswer,  ///< Ingress to caller.
  SettleAsk,     ///< Ingress asks the owner what became of it.
  SettleAnswer,  ///< The owner tells.
  Count,
};

enum class Fault
{
  LostBefore,    ///< The connection breaks first; the sender learns it.
  LostAfter,     ///< It arrives, then the connection breaks.
  Silent,        ///< It never arrives and nobody learns it.
  Late,          ///< It arrives after the other end gave the connection up.
  Doubled,       ///< It arrives twice.
  Crossed,       ///< It arrives in the place of another.
  HalfSent,      ///< Half arrives, then the connection breaks.
  Paused,        ///< The receiver stops for longer than a lease.
  OwnerMoved,    ///< The key is handed over.
  OwnerLost,     ///< The owner's daemon ends.
  BackendFrozen, ///< The owner's backend server stops and returns.
  Count,
};

/** What a caller does with a request id. */
enum class Habit
{
  SendsOnce,
  SendsAgain, ///< After "unknown" or silence, through another daemon.
  TwoAtOnce,  ///< Through two daemons.
  OtherBody,  ///< Uses the id again for another body.
  Count,
};

/** A defect put in on purpose; the checker has to notice each. */
enum class Defect
{
  None,
  NoBarring,    ///< An asked owner says "not run" and keeps no note.
  SendsAgain,   ///< The ingress sends again after a broken call.
  TableForgets, ///< The owner remembers nothing.
  IgnoresStamp, ///< A new owner takes ids of any age.
  IgnoresId,    ///< An answer is taken for whoever waits.
  RunsHalf,     ///< A backend server runs a half-sent body.
  LostIsNotRun, ///< A broken call is answered as not run.
  Count,
};

struct Strike
{
  Step step;
  Fault fault;
};

struct Scenario
{
  std::vector<Strike> strikes;
  bool idempotent = false;
  bool checksGrant = true;
  Habit habit = Habit::SendsOnce;
  Defect defect = Defect::None;
};

/** Whether a fault can strike a step at all. */
bool
Applies(Step aStep, Fault aFault);

std::string
ToString(const Scenario& aScenario);

/** What a caller was told about one sending. */
struct Told
{
  std::string body;
  bool answered = false;
  Outcome outcome;
};

struct History
{
  std::map<std::string, int> commits; ///< By body.
  std::vector<Told> told;
  size_t struck = 0;
};

/** The first promise that a run broke; empty when all held. */
std::string
Violation(const Scenario& aScenario, const History& aHistory);

/** Runs one scenario in simulated time over the real request decisions. */
History
RunScenario(const Scenario& aScenario);

} // namespace fescuetiller
