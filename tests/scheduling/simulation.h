#pragma once

#include <map>
#include <string>
#include <vector>

#include "scheduling/scheduling.h"

namespace fescuetiller {

/** One class of a simulated load. */
struct SimulatedClass
{
  ClassTarget target;
  double perSecond = 0; ///< At the load that the table of classes states.
  Duration service = Duration(0);
};

/** A backend server's slots and the classes that it serves. */
struct SimulatedService
{
  std::string name;
  uint32_t slots = 1;
  std::vector<SimulatedClass> classes;
};

enum class LoadShape
{
  Steady,
  Bursty, ///< 250 ms at 1.75 times, 250 ms at a quarter of the mean.
  HotKey  ///< Half of each class's requests are for one key.
};

enum class BackendFault
{
  None,
  Frozen,      ///< Nothing comes back for a second, then everything does.
  ReportsIdle, ///< Half of the slots are gone, the report says idle.
  ReportsFull, ///< All slots work, the report says full.
  ColdJoin     ///< Starts four times as slow, warm after two seconds.
};

struct SimulationSettings
{
  SimulatedService service;
  LoadShape shape = LoadShape::Steady;
  BackendFault fault = BackendFault::None;
  double load = 1; ///< Offered work over the work that all slots can do.
  uint64_t seed = 1;
  Duration length = std::chrono::seconds(20);
  Duration callerDeadline = std::chrono::seconds(4);
};

/** What became of one class. */
struct ClassResult
{
  std::string name;
  size_t offered = 0;
  size_t through = 0;
  size_t within = 0;
  size_t neighbours = 0; ///< Offered for other keys than the hot one.
  size_t neighboursThrough = 0;
  uint32_t mostRunning = 0;
  Duration p99 = Duration(0);           ///< Of what got through.
  Duration atPercentile = Duration(0);  ///< At the target's percentile.
  Duration refusedAfter = Duration(0);  ///< 99th percentile.
  Duration shortestRetry = Duration(0); ///< Least Retry-After told.
  bool met = false;                     ///< Both latency and share.
  double Share() const;
  double WithinShare() const;
};

struct SimulationResult
{
  std::vector<ClassResult> classes;
  double goodput = 0; ///< Slot time of answers within target over all slots.
  size_t undecided = 0;
  size_t mostWaiting = 0;
  size_t sent = 0; ///< Requests that reached the backend server.
  const ClassResult& Of(const std::string& aClass) const;
};

/** The services of today's deployments at their demonstration load. */
SimulatedService
Agenda();
SimulatedService
Dossier();
SimulatedService
Nordvik();

/** Runs a scheduler against a simulated backend server; no wall clock. */
SimulationResult
Simulate(const SimulationSettings& aSettings, const SchedulingPolicy& aPolicy);

} // namespace fescuetiller
