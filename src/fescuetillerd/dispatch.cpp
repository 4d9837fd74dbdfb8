#include "fescuetillerd/dispatch.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <tuple>

#include <boost/lexical_cast/try_lexical_convert.hpp>

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

Duration
Milliseconds(int64_t aCount)
{
  return std::chrono::milliseconds(aCount);
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
                    aDispatch.weight);
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
  if (aDispatch.sinceFirstAttempt > Duration(0)) {
    text << ' ' << kSinceFirstPrefix
         << ToMilliseconds(aDispatch.sinceFirstAttempt);
  }
  if (aDispatch.sentAhead) {
    text << ' ' << kSentAheadPrefix << 1;
  }
  if (aDispatch.weight != 1) {
    text << ' ' << kWeightPrefix << ToThousandths(aDispatch.weight);
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
    if (auto since = ReadOption(option, kSinceFirstPrefix)) {
      dispatch.sinceFirstAttempt = Milliseconds(*since);
    } else if (ReadOption(option, kSentAheadPrefix)) {
      dispatch.sentAhead = true;
    } else if (auto weight = ReadOption(option, kWeightPrefix)) {
      dispatch.weight = std::clamp(
        static_cast<double>(*weight) / kThousandths, 1.0, kMaxWeight);
    }
  }
  return dispatch;
}

std::string
Encode(const ExecutionReport& aReport)
{
  std::ostringstream text;
  text << static_cast<int>(aReport.outcome) << ' '
       << (aReport.reason.empty() ? "-" : aReport.reason) << ' '
       << ToMilliseconds(aReport.retryAfter) << ' '
       << static_cast<int64_t>(aReport.load * kLoadUnit) << ' '
       << ToMilliseconds(aReport.expectedTime) << ' '
       << ToMilliseconds(aReport.untilHeartbeat) << ' '
       << ToMilliseconds(aReport.elapsed) << ' ' << aReport.reachedServer;
  if (!aReport.owner.empty()) {
    text << ' ' << aReport.owner;
  }
  if (aReport.sendShare < 1) {
    text << ' ' << kSharePrefix << ToThousandths(aReport.sendShare);
  }
  return text.str();
}

std::optional<ExecutionReport>
DecodeExecutionReport(const std::string& aText)
{
  std::istringstream text(aText);
  ExecutionReport report;
  int outcome = 0;
  int64_t retry = 0;
  int64_t load = 0;
  int64_t expected = 0;
  int64_t heartbeat = 0;
  int64_t elapsed = 0;
  text >> outcome >> report.reason >> retry >> load >> expected >> heartbeat >>
    elapsed >> report.reachedServer;
  if (!text || outcome < 0 || outcome > kLastOutcome) {
    return std::nullopt;
  }
  std::string option;
  while (text >> option) {
    if (auto share = ReadOption(option, kSharePrefix)) {
      report.sendShare =
        std::min(static_cast<double>(*share) / kThousandths, 1.0);
    } else {
      report.owner = option;
    }
  }
  report.outcome = static_cast<ExecutionOutcome>(outcome);
  report.retryAfter = Milliseconds(retry);
  report.load = static_cast<double>(load) / kLoadUnit;
  report.expectedTime = Milliseconds(expected);
  report.untilHeartbeat = Milliseconds(heartbeat);
  report.elapsed = Milliseconds(elapsed);
  return report;
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
