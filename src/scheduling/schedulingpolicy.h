#pragma once

#include <functional>
#include <string>
#include <vector>

#include "config/config.h"
#include "scheduling/backendestimate.h"
#include "scheduling/classqueue.h"

namespace fescuetiller {

/** State of one class at one backend server; a row of the scheduler's table. */
struct ClassState
{
  ClassTarget target;
  bool fastest = true;  ///< Whether no row has a tighter latency.
  bool lengthy = false; ///< Whether it could hold up the fastest row.
  bool listed = true;   ///< Whether operators still state a target for it.
  ClassQueue queue;
  uint32_t running = 0;
  Duration service = std::chrono::milliseconds(5); ///< Usual time in a slot.
  bool measured = false; ///< Whether service comes from answers.
  double arrivals = 0;   ///< Decaying count of offered requests.
  Time arrivalsAt;
  double offered = 0;   ///< Slots of work that callers ask for.
  double allotted = 0;  ///< Slots of work that the plan grants.
  bool limited = false; ///< Whether the plan grants less than is offered.
  bool covered = true;  ///< Whether the plan grants the share of the target.
  double tokens = 0;    ///< Requests that may be admitted above the plan.
  Time tokensAt;
  Duration queuedFaster = Duration(0); ///< Work queued here and at faster ones.

  /** Slot time of everything that waits. */
  Duration Queued() const;
};

/** Rows ordered from the tightest to the loosest latency. */
using ClassRows = std::vector<ClassState*>;

/** Whether a request may wait or start. */
struct QueueAdmission
{
  bool admitted = true;
  Duration retryAfter = Duration(0);
  std::string reason;
};

/** When the class has room again for what is refused now. */
Duration
RetryAfter(const ClassState& aClass, const BackendState& aBackend);

/** Behaviour of a scheduler that varies; all hooks are pure. */
struct SchedulingPolicy
{
  std::string name;

  /** Divides the slots among the classes every plan interval. */
  std::function<void(const ClassRows&, const BackendState&, Time)> plan;

  /** Asked for each offered request; may spend the class's tokens. */
  std::function<QueueAdmission(ClassState&, const BackendState&, Time)> admit;

  /** Order of a class's front request: the lowest starts next, infinity may
   * not start now. */
  std::function<double(const ClassState&, const BackendState&, Time)> order;

  /** Requests that may run at once. */
  std::function<uint32_t(const BackendState&)> limit;

  /** How long a request may wait before it is refused. */
  std::function<Duration(const ClassState&)> longestWait;

  /** Whether keys take turns within a class. */
  bool fairKeys = true;
};

} // namespace fescuetiller
