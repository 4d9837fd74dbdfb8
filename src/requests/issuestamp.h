#pragma once

#include <optional>
#include <string>

#include "base/base.h"

namespace fescuetiller {

/**
 * When a request id was issued, in logical time. The revision of the table
 * service orders it against changes of owner; the tick orders it against what
 * one owner has forgotten. Neither asks clocks to agree.
 */
struct IssueStamp
{
  RowVersion revision = 0;
  uint64_t tick = 0; ///< Milliseconds of a clock that only moves forward.

  friend bool operator==(const IssueStamp& aLeft, const IssueStamp& aRight);
};

/** "REVISION.TICK", the form in the header X-Issue-Stamp. */
std::string
ToString(const IssueStamp& aStamp);

/** Nothing when the text is not a stamp. */
std::optional<IssueStamp>
ParseIssueStamp(const std::string& aText);

/** Gives out stamps that never run backwards. Not thread-safe. */
class IssueClock
{
public:
  /** A revision that the table service is known to have reached. Never one
   * that only a caller vouches for. */
  void SeeRevision(RowVersion aRevision);

  /** A tick seen in a stamp; later stamps have later ticks. */
  void SeeTick(uint64_t aTick);

  IssueStamp Now(uint64_t aWallMilliseconds) const;

private:
  RowVersion revision = 0;
  uint64_t lastTick = 0;
};

} // namespace fescuetiller
