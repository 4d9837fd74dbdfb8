#include "fescuetillerd/dispatch.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <tuple>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>

#include "platform/headers.h"

namespace fescuetiller {

namespace {

constexpr int kLastKind = static_cast<int>(RequestKind::Download);
constexpr int kLastOutcome = static_cast<int>(ExecutionOutcome::Failed);
/** Loads are encoded as integers in units of 1/1000. */
constexpr double kLoadUnit = 1000;
/** The same for weights and shares. */
constexpr double kThousandths = 1000;
/** Prefixes of parts that are absent if they have their usual value. */
constexpr const char* kSinceFirstPrefix = "f=";
constexpr const char* kWeightPrefix = "w=";
constexpr const char* kSentAheadPrefix = "a=";
constexpr const char* kSharePrefix = "s=";
constexpr const char* kCompactReportPrefix = "c=";
/** Prefixes of optional parts of compact encodings only. */
constexpr const char* kSenderPrefix = "o=";
constexpr const char* kOutcomePrefix = "o=";
constexpr const char* kReasonPrefix = "r=";
constexpr const char* kRetryPrefix = "a=";
constexpr const char* kOwnerPrefix = "w=";
constexpr const char* kReachedPrefix = "x=";
/** Units of the number that holds priority, kind and nesting in a compact
 * dispatch. */
constexpr uint32_t kPriorityUnit = 8;
constexpr uint32_t kKindUnit = 2;
static_assert(kLastKind * kKindUnit + 1 < kPriorityUnit);
/** Digits of the hash of the service in a compact dispatch. It detects that
 * the daemon of another service has taken over an address. */
constexpr size_t kServiceHashDigits = 5;
/** Bounds what one request of a faulty sender counts for. */
constexpr double kMaxWeight = 100;

/** Upper bound of the time since a server announced its shutdown, far beyond
 * the time for which a machine runs: ten years. */
constexpr int64_t kMaxLeavingMilliseconds = 10LL * 365 * 24 * 3600 * 1000;
/** Stands for a part that is absent. */
constexpr const char* kAbsent = "-";

int64_t
ToThousandths(double aValue)
{
  return std::llround(aValue * kThousandths);
}

/** Reads the number of an optional part. @return Nothing if it has another
 * prefix or is no number that fits into 32 bits. */
std::optional<int64_t>
ReadOption(const std::string& aText, const std::string& aPrefix)
{
  uint32_t value = 0;
  if (aText.compare(0, aPrefix.size(), aPrefix) != 0 ||
      !boost::conversion::try_lexical_convert(aText.substr(aPrefix.size()),
                                              value)) {
    return std::nullopt;
  }
  return value;
}

/** Returns what follows the prefix of an optional part; nothing if it has
 * another one. */
std::optional<std::string>
ReadTextOption(const std::string& aText, const std::string& aPrefix)
{
  if (aText.compare(0, aPrefix.size(), aPrefix) != 0) {
    return std::nullopt;
  }
  return aText.substr(aPrefix.size());
}

Duration
Milliseconds(int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
}

std::string
HashOfService(const std::string& aService)
{
  return ToHex(StableHash(aService)).substr(0, kServiceHashDigits);
}

void
WriteOptions(std::ostream& aText, const Dispatch& aDispatch)
{
  if (aDispatch.sinceFirstAttempt > Duration(0)) {
    aText << ' ' << kSinceFirstPrefix
          << ToMilliseconds(aDispatch.sinceFirstAttempt);
  }
  if (aDispatch.sentAhead) {
    aText << ' ' << kSentAheadPrefix << 1;
  }
  if (aDispatch.weight != 1) {
    aText << ' ' << kWeightPrefix << ToThousandths(aDispatch.weight);
  }
}

/** Handles one optional part. Unknown ones are ignored. */
void
ReadOptionOf(Dispatch& aDispatch, const std::string& aOption)
{
  if (auto since = ReadOption(aOption, kSinceFirstPrefix)) {
    aDispatch.sinceFirstAttempt = Milliseconds(*since);
  } else if (ReadOption(aOption, kSentAheadPrefix)) {
    aDispatch.sentAhead = true;
  } else if (auto weight = ReadOption(aOption, kWeightPrefix)) {
    aDispatch.weight =
      std::clamp(static_cast<double>(*weight) / kThousandths, 1.0, kMaxWeight);
  } else if (auto compact = ReadOption(aOption, kCompactReportPrefix)) {
    aDispatch.readsCompactReport = *compact > 0;
  }
}

std::string
EncodeCompact(const Dispatch& aDispatch, const std::string& aSenderService)
{
  std::ostringstream text;
  text << HashOfService(aDispatch.service) << ' ' << aDispatch.requestClass
       << ' '
       << aDispatch.priority * kPriorityUnit +
            static_cast<uint32_t>(aDispatch.kind) * kKindUnit +
            (aDispatch.nested ? 1 : 0)
       << ' ' << ToMilliseconds(aDispatch.untilTarget) << ' '
       << ToMilliseconds(aDispatch.untilDeadline);
  WriteOptions(text, aDispatch);
  if (aSenderService != aDispatch.service) {
    text << ' ' << kSenderPrefix << aSenderService;
  }
  return text.str();
}

/** @param aSender Set to the service of the sender. */
std::optional<Dispatch>
DecodeCompactDispatch(const std::string& aText,
                      const std::string& aOwnService,
                      std::string& aSender)
{
  std::istringstream text(aText);
  std::string service;
  Dispatch dispatch;
  uint32_t number = 0;
  int64_t target = 0;
  int64_t deadline = 0;
  text >> service >> dispatch.requestClass >> number >> target >> deadline;
  auto kind = static_cast<int>(number % kPriorityUnit / kKindUnit);
  if (!text || kind > kLastKind) {
    return std::nullopt;
  }
  // A dispatch for another service is refused, whatever its name.
  dispatch.service =
    service == HashOfService(aOwnService) ? aOwnService : kAbsent;
  dispatch.priority = number / kPriorityUnit;
  dispatch.kind = static_cast<RequestKind>(kind);
  dispatch.nested = number % kKindUnit != 0;
  dispatch.untilTarget = Milliseconds(target);
  dispatch.untilDeadline = Milliseconds(deadline);
  dispatch.readsCompactReport = true;
  aSender = dispatch.service;
  std::string option;
  while (text >> option) {
    if (auto sender = ReadTextOption(option, kSenderPrefix)) {
      aSender = *sender;
    } else {
      ReadOptionOf(dispatch, option);
    }
  }
  return dispatch;
}

/** Writes the figures that both encodings of a report contain. */
void
WriteFigures(std::ostream& aText, const ExecutionReport& aReport)
{
  aText << static_cast<int64_t>(aReport.load * kLoadUnit) << ' '
        << ToMilliseconds(aReport.expectedTime) << ' '
        << ToMilliseconds(aReport.untilHeartbeat) << ' '
        << ToMilliseconds(aReport.elapsed);
}

void
ReadFigures(std::istream& aText, ExecutionReport& aReport)
{
  int64_t load = 0;
  int64_t expected = 0;
  int64_t heartbeat = 0;
  int64_t elapsed = 0;
  aText >> load >> expected >> heartbeat >> elapsed;
  aReport.load = static_cast<double>(load) / kLoadUnit;
  aReport.expectedTime = Milliseconds(expected);
  aReport.untilHeartbeat = Milliseconds(heartbeat);
  aReport.elapsed = Milliseconds(elapsed);
}

void
WriteSendShare(std::ostream& aText, const ExecutionReport& aReport)
{
  if (aReport.sendShare < 1) {
    aText << ' ' << kSharePrefix << ToThousandths(aReport.sendShare);
  }
}

/** @return Whether the optional part is a share. */
bool
ReadSendShare(ExecutionReport& aReport, const std::string& aOption)
{
  auto share = ReadOption(aOption, kSharePrefix);
  if (share) {
    aReport.sendShare =
      std::min(static_cast<double>(*share) / kThousandths, 1.0);
  }
  return share.has_value();
}

} // namespace

bool
operator==(const Dispatch& aLeft, const Dispatch& aRight)
{
  auto tie = [](const Dispatch& aDispatch) {
    return std::tie(aDispatch.service,
                    aDispatch.requestClass,
                    aDispatch.priority,
                    aDispatch.kind,
                    aDispatch.nested,
                    aDispatch.sentAhead,
                    aDispatch.untilTarget,
                    aDispatch.untilDeadline,
                    aDispatch.sinceFirstAttempt,
                    aDispatch.weight,
                    aDispatch.readsCompactReport);
  };
  return tie(aLeft) == tie(aRight);
}

bool
operator==(const ExecutionReport& aLeft, const ExecutionReport& aRight)
{
  auto tie = [](const ExecutionReport& aReport) {
    return std::tie(aReport.outcome,
                    aReport.reason,
                    aReport.owner,
                    aReport.reachedServer,
                    aReport.retryAfter,
                    aReport.load,
                    aReport.expectedTime,
                    aReport.untilHeartbeat,
                    aReport.elapsed,
                    aReport.sendShare);
  };
  return tie(aLeft) == tie(aRight);
}

std::string
Encode(const Dispatch& aDispatch)
{
  std::ostringstream text;
  text << aDispatch.service << ' ' << aDispatch.requestClass << ' '
       << aDispatch.priority << ' ' << static_cast<int>(aDispatch.kind) << ' '
       << aDispatch.nested << ' ' << ToMilliseconds(aDispatch.untilTarget)
       << ' ' << ToMilliseconds(aDispatch.untilDeadline);
  WriteOptions(text, aDispatch);
  if (aDispatch.readsCompactReport) {
    text << ' ' << kCompactReportPrefix << 1;
  }
  return text.str();
}

std::optional<Dispatch>
DecodeDispatch(const std::string& aText)
{
  std::istringstream text(aText);
  Dispatch dispatch;
  int kind = 0;
  int64_t target = 0;
  int64_t deadline = 0;
  text >> dispatch.service >> dispatch.requestClass >> dispatch.priority >>
    kind >> dispatch.nested >> target >> deadline;
  if (!text || kind < 0 || kind > kLastKind) {
    return std::nullopt;
  }
  dispatch.kind = static_cast<RequestKind>(kind);
  dispatch.untilTarget = Milliseconds(target);
  dispatch.untilDeadline = Milliseconds(deadline);
  std::string option;
  while (text >> option) {
    ReadOptionOf(dispatch, option);
  }
  return dispatch;
}

void
SetDispatch(http::fields& aFields,
            const Dispatch& aDispatch,
            const std::string& aSenderService,
            bool aCompact)
{
  aFields.erase(kDispatchField);
  aFields.erase(kCompactDispatchField);
  if (aCompact) {
    aFields.erase(headers::kCallerService);
    aFields.set(kCompactDispatchField,
                EncodeCompact(aDispatch, aSenderService));
  } else {
    aFields.set(headers::kCallerService, aSenderService);
    aFields.set(kDispatchField, Encode(aDispatch));
  }
}

bool
HasDispatch(const http::fields& aFields)
{
  return DecodeDispatch(std::string(aFields[kDispatchField])) ||
         aFields.find(kCompactDispatchField) != aFields.end();
}

std::optional<Dispatch>
TakeDispatch(http::fields& aFields, const std::string& aOwnService)
{
  // Daemons that do not know the compact field pass it on as the client sent
  // it, together with their own one.
  std::string plain(aFields[kDispatchField]);
  std::string compact(aFields[kCompactDispatchField]);
  aFields.erase(kDispatchField);
  aFields.erase(kCompactDispatchField);
  if (!plain.empty() || compact.empty()) {
    return DecodeDispatch(plain);
  }
  std::string sender;
  auto dispatch = DecodeCompactDispatch(compact, aOwnService, sender);
  if (dispatch) {
    aFields.set(headers::kCallerService, sender);
  }
  return dispatch;
}

bool
IsDaemonField(std::string_view aName)
{
  for (const auto* name : { kDispatchField,
                            kCompactDispatchField,
                            kExecutionReportField,
                            kCompactReportField,
                            kServerNoticeField }) {
    if (boost::iequals(aName, std::string_view(name))) {
      return true;
    }
  }
  return false;
}

std::string
Encode(const ExecutionReport& aReport)
{
  std::ostringstream text;
  text << static_cast<int>(aReport.outcome) << ' '
       << (aReport.reason.empty() ? "-" : aReport.reason) << ' '
       << ToMilliseconds(aReport.retryAfter) << ' ';
  WriteFigures(text, aReport);
  text << ' ' << aReport.reachedServer;
  if (!aReport.owner.empty()) {
    text << ' ' << aReport.owner;
  }
  WriteSendShare(text, aReport);
  return text.str();
}

std::optional<ExecutionReport>
DecodeExecutionReport(const std::string& aText)
{
  std::istringstream text(aText);
  ExecutionReport report;
  int outcome = 0;
  int64_t retry = 0;
  text >> outcome >> report.reason >> retry;
  ReadFigures(text, report);
  text >> report.reachedServer;
  if (!text || outcome < 0 || outcome > kLastOutcome) {
    return std::nullopt;
  }
  std::string option;
  while (text >> option) {
    if (!ReadSendShare(report, option)) {
      report.owner = option;
    }
  }
  report.outcome = static_cast<ExecutionOutcome>(outcome);
  report.retryAfter = Milliseconds(retry);
  return report;
}

std::string
EncodeCompact(const ExecutionReport& aReport)
{
  std::ostringstream text;
  WriteFigures(text, aReport);
  if (aReport.outcome != ExecutionOutcome::Answered) {
    text << ' ' << kOutcomePrefix << static_cast<int>(aReport.outcome);
  }
  if (!aReport.reason.empty()) {
    text << ' ' << kReasonPrefix << aReport.reason;
  }
  if (aReport.retryAfter > Duration(0)) {
    text << ' ' << kRetryPrefix << ToMilliseconds(aReport.retryAfter);
  }
  if (aReport.reachedServer) {
    text << ' ' << kReachedPrefix << 1;
  }
  if (!aReport.owner.empty()) {
    text << ' ' << kOwnerPrefix << aReport.owner;
  }
  WriteSendShare(text, aReport);
  return text.str();
}

std::optional<ExecutionReport>
DecodeCompactReport(const std::string& aText)
{
  std::istringstream text(aText);
  ExecutionReport report;
  ReadFigures(text, report);
  if (!text) {
    return std::nullopt;
  }
  std::string option;
  while (text >> option) {
    if (ReadTextOption(option, kOutcomePrefix)) {
      // Without its outcome, a refusal would be taken for a response.
      auto outcome = ReadOption(option, kOutcomePrefix);
      if (!outcome || *outcome > kLastOutcome) {
        return std::nullopt;
      }
      report.outcome = static_cast<ExecutionOutcome>(*outcome);
    } else if (auto reason = ReadTextOption(option, kReasonPrefix)) {
      report.reason = *reason;
    } else if (auto retry = ReadOption(option, kRetryPrefix)) {
      report.retryAfter = Milliseconds(*retry);
    } else if (auto reached = ReadOption(option, kReachedPrefix)) {
      report.reachedServer = *reached > 0;
    } else if (auto owner = ReadTextOption(option, kOwnerPrefix)) {
      report.owner = *owner;
    } else {
      ReadSendShare(report, option); // Unknown ones are ignored.
    }
  }
  return report;
}

void
SetReport(http::fields& aFields, const ExecutionReport& aReport, bool aCompact)
{
  aFields.erase(kExecutionReportField);
  aFields.erase(kCompactReportField);
  aFields.set(aCompact ? kCompactReportField : kExecutionReportField,
              aCompact ? EncodeCompact(aReport) : Encode(aReport));
}

std::optional<ReceivedReport>
TakeReport(http::fields& aFields)
{
  // Daemons that do not know the compact field pass it on as the server sent
  // it, together with their own one.
  std::string plain(aFields[kExecutionReportField]);
  std::string compact(aFields[kCompactReportField]);
  aFields.erase(kExecutionReportField);
  aFields.erase(kCompactReportField);
  bool isCompact = plain.empty() && !compact.empty();
  auto report =
    isCompact ? DecodeCompactReport(compact) : DecodeExecutionReport(plain);
  if (!report) {
    return std::nullopt;
  }
  return ReceivedReport{ std::move(*report), isCompact };
}

std::string
Encode(const ServerNotice& aNotice)
{
  std::ostringstream text;
  text << aNotice.server.id << ' ' << aNotice.server.startedAt << ' ';
  if (aNotice.requestLimit) {
    text << *aNotice.requestLimit << ' ';
  } else {
    text << kAbsent << ' ';
  }
  if (aNotice.leavingFor) {
    text << ToMilliseconds(*aNotice.leavingFor);
  } else {
    text << kAbsent;
  }
  return text.str();
}

std::optional<ServerNotice>
DecodeServerNotice(const std::string& aText)
{
  std::istringstream text(aText);
  ServerNotice notice;
  std::string limit;
  std::string leavingFor;
  text >> notice.server.id >> notice.server.startedAt >> limit >> leavingFor;
  if (!text) {
    return std::nullopt;
  }
  if (limit != kAbsent) {
    double perSecond = 0;
    if (!boost::conversion::try_lexical_convert(limit, perSecond) ||
        !std::isfinite(perSecond) || perSecond < 0) {
      return std::nullopt;
    }
    notice.requestLimit = perSecond;
  }
  if (leavingFor != kAbsent) {
    int64_t count = 0;
    if (!boost::conversion::try_lexical_convert(leavingFor, count) ||
        count < 0 || count > kMaxLeavingMilliseconds) {
      return std::nullopt;
    }
    notice.leavingFor = Milliseconds(count);
  }
  return notice;
}

std::optional<ServerNotice>
TakeServerNotice(http::fields& aFields, EventLog& aLog)
{
  auto field = aFields.find(kServerNoticeField);
  if (field == aFields.end()) {
    return std::nullopt;
  }
  std::string text(field->value());
  aFields.erase(field);
  auto notice = DecodeServerNotice(text);
  if (!notice) {
    aLog.Write({ "server-notice-refused", { { "notice", text } } });
  }
  return notice;
}

const char*
ToString(ExecutionOutcome aOutcome)
{
  switch (aOutcome) {
    case ExecutionOutcome::Answered:
      return "answered";
    case ExecutionOutcome::Refused:
      return "refused";
    case ExecutionOutcome::Failed:
      return "failed";
  }
  return "unknown";
}

} // namespace fescuetiller
