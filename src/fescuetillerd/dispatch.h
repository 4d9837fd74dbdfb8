#pragma once

#include <optional>
#include <string>

#include "model/model.h"

namespace fescuetiller {

/** Field in which a daemon tells another what a request is. */
constexpr const char* kDispatchField = "Fescue-Dispatch";
/** Field in which a daemon tells what became of a request. */
constexpr const char* kExecutionReportField = "Fescue-Note";

/** What the daemon beside the backend server must know of a request. */
struct Dispatch
{
  std::string service;
  std::string requestClass; ///< Name of the route.
  uint32_t priority = 0;
  RequestKind kind = RequestKind::NonIdempotent;
  bool nested = false; ///< Made by a request that holds a slot meanwhile.
  Duration untilTarget = Duration(0); ///< May be negative.
  Duration untilDeadline = Duration(0);

  friend bool operator==(const Dispatch& aLeft, const Dispatch& aRight);
};

std::string
Encode(const Dispatch& aDispatch);

/** Nothing for a text of the wrong form. */
std::optional<Dispatch>
DecodeDispatch(const std::string& aText);

/** What became of a request at the daemon beside the backend server. */
enum class ExecutionOutcome
{
  Answered, ///< The answer is the backend server's.
  Refused,  ///< Not run, and never will be.
  Failed,   ///< It may have run.
};

struct ExecutionReport
{
  ExecutionOutcome outcome = ExecutionOutcome::Answered;
  std::string reason;         ///< One word; "-" when answered.
  std::string owner;          ///< Member that the keys went to, if known.
  bool reachedServer = false; ///< The backend server itself refused it.
  Duration retryAfter = Duration(0);
  double load = 0;                 ///< Offered to the backend server; 1: full.
  Duration expected = Duration(0); ///< Until a usual request would end.
  Duration untilHeartbeat = Duration(0); ///< Of the backend server.
  Duration spent = Duration(0);          ///< Here, on waiting and running.

  friend bool operator==(const ExecutionReport& aLeft,
                         const ExecutionReport& aRight);
};

std::string
Encode(const ExecutionReport& aNote);

std::optional<ExecutionReport>
DecodeExecutionReport(const std::string& aText);

const char*
ToString(ExecutionOutcome aOutcome);

} // namespace fescuetiller
