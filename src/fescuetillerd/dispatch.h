#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "fescuetillerd/eventlog.h"
#include "http/http.h"
#include "model/model.h"

namespace fescuetiller {

/** Header field that carries the Dispatch of a request to another daemon. */
constexpr const char* kDispatchField = "Fescue-Dispatch";
/** Header field that carries the ExecutionReport of a response. */
constexpr const char* kExecutionReportField = "Fescue-Note";
/** The same in their compact encodings. A daemon states with its Dispatch that
 * it reads compact reports. A member whose report was compact reads compact
 * dispatches, so others are sent the encoding above. */
constexpr const char* kCompactDispatchField = "Fd";
constexpr const char* kCompactReportField = "Fn";
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
  /** The sender reads compact reports. */
  bool readsCompactReport = false;

  friend bool operator==(const Dispatch& aLeft, const Dispatch& aRight);
};

std::string
Encode(const Dispatch& aDispatch);

/** Adds a dispatch and the service of the sender to the headers of a request.
 * @param aCompact Whether the receiver reads the compact encoding. */
void
SetDispatch(http::fields& aFields,
            const Dispatch& aDispatch,
            const std::string& aSenderService,
            bool aCompact);

/** Whether the headers of a request carry a dispatch in either encoding. */
bool
HasDispatch(const http::fields& aFields);

/** Removes the dispatch, in either encoding, from the headers of a request. Of
 * a compact one, restores the header field with the sender's service.
 * @param aOwnService Service of the receiver; a compact dispatch contains only
 * a hash of it.
 * @return No value if there is none, or if it is malformed. */
std::optional<Dispatch>
TakeDispatch(http::fields& aFields, const std::string& aOwnService);

/** Whether a header field is read by daemons only. */
bool
IsDaemonField(std::string_view aName);

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
EncodeCompact(const ExecutionReport& aReport);

/** @return No value if the text is malformed. */
std::optional<ExecutionReport>
DecodeCompactReport(const std::string& aText);

/** Adds a report to the headers of a response, in place of what the server may
 * have sent there.
 * @param aCompact Whether the receiver reads the compact encoding. */
void
SetReport(http::fields& aFields, const ExecutionReport& aReport, bool aCompact);

/** A report that was received, and how it was encoded. */
struct ReceivedReport
{
  ExecutionReport report;
  bool isCompact = false;
};

/** Removes the report, in either encoding, from the headers of a response.
 * @return No value if there is none, or if it is malformed. */
std::optional<ReceivedReport>
TakeReport(http::fields& aFields);

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
