#include "requests/issuestamp.h"

#include <algorithm>
#include <charconv>

namespace fescuetiller {

namespace {

std::optional<uint64_t>
ParseNumber(std::string_view aText)
{
  uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  auto parsed = std::from_chars(aText.data(), end, number);
  if (aText.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

bool
operator==(const IssueStamp& aLeft, const IssueStamp& aRight)
{
  return aLeft.revision == aRight.revision && aLeft.tick == aRight.tick;
}

std::string
ToString(const IssueStamp& aStamp)
{
  return std::to_string(aStamp.revision) + "." + std::to_string(aStamp.tick);
}

std::optional<IssueStamp>
ParseIssueStamp(const std::string& aText)
{
  size_t dot = aText.find('.');
  if (dot == std::string::npos) {
    return std::nullopt;
  }
  auto revision = ParseNumber(std::string_view(aText).substr(0, dot));
  auto tick = ParseNumber(std::string_view(aText).substr(dot + 1));
  if (!revision || !tick) {
    return std::nullopt;
  }
  return IssueStamp{ *revision, *tick };
}

void
IssueClock::SeeRevision(RowVersion aRevision)
{
  this->revision = std::max(this->revision, aRevision);
}

void
IssueClock::SeeTick(uint64_t aTick)
{
  this->lastTick = std::max(this->lastTick, aTick);
}

IssueStamp
IssueClock::Now(uint64_t aWallMilliseconds) const
{
  return { this->revision, std::max(aWallMilliseconds, this->lastTick + 1) };
}

} // namespace fescuetiller
