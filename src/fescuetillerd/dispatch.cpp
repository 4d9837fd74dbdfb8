#include "fescuetillerd/dispatch.h"

#include <sstream>
#include <tuple>

namespace fescuetiller {

namespace {

constexpr int kLastKind = static_cast<int>(RequestKind::Download);
constexpr int kLastOutcome = static_cast<int>(ExecutionOutcome::Failed);
constexpr double kLoadUnit = 1000;

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
                    aDispatch.untilTarget,
                    aDispatch.untilDeadline);
  };
  return tie(aLeft) == tie(aRight);
}

bool
operator==(const ExecutionReport& aLeft, const ExecutionReport& aRight)
{
  auto tie = [](const ExecutionReport& aNote) {
    return std::tie(aNote.outcome,
                    aNote.reason,
                    aNote.owner,
                    aNote.reachedServer,
                    aNote.retryAfter,
                    aNote.load,
                    aNote.expected,
                    aNote.untilHeartbeat,
                    aNote.spent);
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
  return text.str();
}

std::optional<Dispatch>
DecodeDispatch(const std::string& aText)
{
  std::istringstream text(aText);
  Dispatch dispatch;
  int kind = 0;
  int64_t wanted = 0;
  int64_t deadline = 0;
  text >> dispatch.service >> dispatch.requestClass >> dispatch.priority >>
    kind >> dispatch.nested >> wanted >> deadline;
  if (!text || kind < 0 || kind > kLastKind) {
    return std::nullopt;
  }
  dispatch.kind = static_cast<RequestKind>(kind);
  dispatch.untilTarget = Milliseconds(wanted);
  dispatch.untilDeadline = Milliseconds(deadline);
  return dispatch;
}

std::string
Encode(const ExecutionReport& aNote)
{
  std::ostringstream text;
  text << static_cast<int>(aNote.outcome) << ' '
       << (aNote.reason.empty() ? "-" : aNote.reason) << ' '
       << ToMilliseconds(aNote.retryAfter) << ' '
       << static_cast<int64_t>(aNote.load * kLoadUnit) << ' '
       << ToMilliseconds(aNote.expected) << ' '
       << ToMilliseconds(aNote.untilHeartbeat) << ' '
       << ToMilliseconds(aNote.spent) << ' ' << aNote.reachedServer;
  if (!aNote.owner.empty()) {
    text << ' ' << aNote.owner;
  }
  return text.str();
}

std::optional<ExecutionReport>
DecodeExecutionReport(const std::string& aText)
{
  std::istringstream text(aText);
  ExecutionReport note;
  int outcome = 0;
  int64_t retry = 0;
  int64_t load = 0;
  int64_t expected = 0;
  int64_t heartbeat = 0;
  int64_t spent = 0;
  text >> outcome >> note.reason >> retry >> load >> expected >> heartbeat >>
    spent >> note.reachedServer;
  if (!text || outcome < 0 || outcome > kLastOutcome) {
    return std::nullopt;
  }
  text >> note.owner;
  note.outcome = static_cast<ExecutionOutcome>(outcome);
  note.retryAfter = Milliseconds(retry);
  note.load = static_cast<double>(load) / kLoadUnit;
  note.expected = Milliseconds(expected);
  note.untilHeartbeat = Milliseconds(heartbeat);
  note.spent = Milliseconds(spent);
  return note;
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
