#include "requests/request.h"

#include <tuple>

namespace fescuetiller {

bool
operator==(const Outcome& aLeft, const Outcome& aRight)
{
  return std::tie(aLeft.code,
                  aLeft.body,
                  aLeft.contentType,
                  aLeft.reason,
                  aLeft.retryAfter,
                  aLeft.notOwner,
                  aLeft.outdated,
                  aLeft.idReused) == std::tie(aRight.code,
                                              aRight.body,
                                              aRight.contentType,
                                              aRight.reason,
                                              aRight.retryAfter,
                                              aRight.notOwner,
                                              aRight.outdated,
                                              aRight.idReused);
}

const char*
ToString(OutcomeCode aCode)
{
  switch (aCode) {
    case OutcomeCode::Done:
      return "done";
    case OutcomeCode::NotRun:
      return "not run";
    case OutcomeCode::Unknown:
      return "unknown";
  }
  return "unknown";
}

Outcome
NotRun(const std::string& aReason, Duration aRetryAfter)
{
  Outcome outcome;
  outcome.code = OutcomeCode::NotRun;
  outcome.reason = aReason;
  outcome.retryAfter = aRetryAfter;
  return outcome;
}

Outcome
NotOwner()
{
  Outcome outcome = NotRun("not the owner of the key", Duration(0));
  outcome.notOwner = true;
  return outcome;
}

Outcome
Outdated()
{
  Outcome outcome = UnknownOutcome(
    "not run now; issued too early to tell whether it ran before");
  outcome.outdated = true;
  return outcome;
}

Outcome
IdReused()
{
  Outcome outcome =
    UnknownOutcome("not run now; the id was used for another request");
  outcome.idReused = true;
  return outcome;
}

Outcome
UnknownOutcome(const std::string& aReason)
{
  Outcome outcome;
  outcome.code = OutcomeCode::Unknown;
  outcome.reason = aReason;
  return outcome;
}

} // namespace fescuetiller
