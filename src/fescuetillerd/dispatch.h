#pragma once

#include <optional>
#include <string>

#include "fescuetillerd/eventlog.h"
#include "http/http.h"
#include "model/model.h"

namespace fescuetiller {

/** Header field that carries the Dispatch of a request to another daemon. */
constexpr const char* kDispatchField = "Fescue-Dispatch";
/** Header field that carries the ExecutionReport of a response. */
constexpr const char* kExecutionReportField = "Fescue-Note";
/** Header field that carries a ServerNotice: in a request what the sender was
 * told by earlier responses, in a response what its sender knows. Absent if
 * there is nothing to tell. */
constexpr const char* kServerNoticeField = "Fescue-Server";

/** What the ingress tells the daemon beside the backend server about a request.
 */
struct Dispatch
{
  std::string service;
  std::string requestClass; ///< Name of the route.
  uint32_t priority = 0;
  RequestKind kind = RequestKind::NonIdempotent;
  /** Sent by a running request, which holds a slot until this one ends. */
  bool nested = false;
  /** Until the target time; negative once that has passed. */
  Duration untilTarget = Duration(0);
  Duration untilDeadline = Duration(0);
  /** Time since the client's first attempt, if this is a later one. */
  Duration sinceFirstAttempt = Duration(0);
  /** Number of requests that this one stands for: the sender has refused the
   * others itself, as ExecutionReport::sendShare demands. */
  double weight = 1;
  /** Its client sends more requests ahead than its share; see SlotRequest. */
  bool sentAhead = false;

  friend bool operator==(const Dispatch& aLeft, const Dispatch& aRight);
};

std::string
Encode(const Dispatch& aDispatch);

/** @return No value if the text is malformed. */
std::optional<Dispatch>
DecodeDispatch(const std::string& aText);

/** Result of a request at the daemon beside the backend server. */
enum class ExecutionOutcome
{
  Answered, ///< The response is the backend server's.
  Refused,  ///< The request has not run and never will.
  Failed,   ///< The request may have run.
};

/** Reason of a report whose sender stops and accepts no more requests. */
constexpr const char* kStoppingReason = "stopping";

/** Reason of a report of a request whose response the server broke off. */
constexpr const char* kBrokenOffReason = "answer-broken-off";

/** Reason of a report of a request that must not run, since servers ended under
 * it. */
constexpr const char* kBlockedReason = "blocked";

/** Result of one request and the state of the backend server, sent with each
 * response of the daemon beside the server. */
struct ExecutionReport
{
  ExecutionOutcome outcome = ExecutionOutcome::Answered;
  std::string reason; ///< One word; empty is encoded as "-".
  std::string owner;  ///< Member that the keys moved to, if known.
  /** The request reached the backend server, which refused it or did not
   * respond. */
  bool reachedServer = false;
  Duration retryAfter = Duration(0); ///< Time to wait before a retry.
  double load = 0; ///< Offered to the backend server; 1: full capacity.
  /** Time after which a new request of the class would be answered. */
  Duration expectedTime = Duration(0);
  Duration untilHeartbeat = Duration(0); ///< The backend server's next one.
  Duration elapsed = Duration(0); ///< Time waiting and running at this daemon.
  /** Share of the requests of the class that should be sent here. The others
   * would be refused, and their sender should refuse them at once. */
  double sendShare = 1;

  friend bool operator==(const ExecutionReport& aLeft,
                         const ExecutionReport& aRight);
};

std::string
Encode(const ExecutionReport& aReport);

/** @return No value if the text is malformed. */
std::optional<ExecutionReport>
DecodeExecutionReport(const std::string& aText);

std::string
Encode(const ServerNotice& aNotice);

/** @return No value if the text is malformed. */
std::optional<ServerNotice>
DecodeServerNotice(const std::string& aText);

/** Removes the server notice from the headers of a message. A malformed one is
 * logged.
 * @return No value if there is none, or if it is malformed. */
std::optional<ServerNotice>
TakeServerNotice(http::fields& aFields, EventLog& aLog);

const char*
ToString(ExecutionOutcome aOutcome);

} // namespace fescuetiller
