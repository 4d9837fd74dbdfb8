#include "admission/statedload.h"

#include <algorithm>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** How long a statement on slots counts. Under load, each response renews it.
 */
constexpr Duration kMaxSlotAge = milliseconds(500);
/** How long a stated speed counts. It changes several times a second. */
constexpr Duration kMaxSpeedAge = milliseconds(300);
/** Longest time for which an abandoned request counts as running. */
constexpr Duration kMaxAbandonedTime = std::chrono::seconds(2);
/** For how long stated speeds are remembered: longer than most requests take.
 */
constexpr Duration kSpeedHistory = std::chrono::seconds(5);
/** Bounds for the stated slowness: beyond them it is more likely wrong. */
constexpr double kMinSlowness = 0.1;
constexpr double kMaxSlowness = 20;

} // namespace

void
StatedLoad::DropEnded(Time aNow)
{
  auto& ends = this->abandoned;
  ends.erase(ends.begin(), std::upper_bound(ends.begin(), ends.end(), aNow));
  while (!this->speeds.empty() &&
         this->speeds.front().from <= aNow - kSpeedHistory) {
    this->speeds.pop_front();
  }
}

void
StatedLoad::OnStatement(Time aNow, const ServerLoad& aLoad, OwnRequests aOwn)
{
  this->states = true;
  this->DropEnded(aNow);
  size_t all = static_cast<size_t>(aLoad.running) + aLoad.waiting;
  size_t least = all > aOwn.most ? all - aOwn.most : 0;
  size_t most = all > aOwn.least ? all - aOwn.least : 0;
  auto& ends = this->abandoned;
  if (ends.size() > most) {
    // Those that are expected to end first are the most likely to have ended.
    ends.erase(ends.begin(), ends.end() - static_cast<std::ptrdiff_t>(most));
  }
  this->unknown = least > ends.size() ? least - ends.size() : 0;
  this->unknownUntil = aNow + kMaxSlotAge;
  if (aLoad.slowness) {
    this->speeds.push_back(
      { aNow, std::clamp(*aLoad.slowness, kMinSlowness, kMaxSlowness) });
  }
}

void
StatedLoad::OnAbandoned(Time aNow, Time aExpectedEnd)
{
  if (!this->states) {
    return;
  }
  this->DropEnded(aNow);
  auto end = std::min(aExpectedEnd, Time(aNow + kMaxAbandonedTime));
  auto& ends = this->abandoned;
  ends.insert(std::upper_bound(ends.begin(), ends.end(), end), end);
}

void
StatedLoad::Reset()
{
  *this = StatedLoad();
}

size_t
StatedLoad::OtherWork(Time aNow) const
{
  const auto& ends = this->abandoned;
  auto running = std::upper_bound(ends.begin(), ends.end(), aNow);
  return static_cast<size_t>(ends.end() - running) +
         (aNow < this->unknownUntil ? this->unknown : 0);
}

Time
StatedLoad::NextFreeAt(Time aNow) const
{
  const auto& ends = this->abandoned;
  auto next = std::upper_bound(ends.begin(), ends.end(), aNow);
  bool hasUnknown = this->unknown > 0 && aNow < this->unknownUntil;
  if (next == ends.end()) {
    return hasUnknown ? this->unknownUntil : aNow;
  }
  return hasUnknown ? std::min(*next, this->unknownUntil) : *next;
}

double
StatedLoad::Slowness(Time aNow) const
{
  if (this->speeds.empty() || aNow >= this->speeds.back().from + kMaxSpeedAge) {
    return 1;
  }
  return this->speeds.back().slowness;
}

Duration
StatedLoad::AtUsualSpeed(Time aFrom, Time aUntil) const
{
  auto work = Duration(aUntil - aFrom);
  Time coveredUntil;
  for (size_t index = 0; index < this->speeds.size(); ++index) {
    const auto& speed = this->speeds[index];
    // Before the statement, the speed was the same for some time, unless an
    // earlier statement says otherwise.
    auto begin = std::max(coveredUntil, Time(speed.from - kMaxSpeedAge));
    auto end = Time(speed.from + kMaxSpeedAge);
    if (index + 1 < this->speeds.size()) {
      end = std::min(end, this->speeds[index + 1].from);
    }
    coveredUntil = end;
    auto span = Duration(std::min(end, aUntil) - std::max(begin, aFrom));
    if (span > Duration(0)) {
      work -=
        span - std::chrono::duration_cast<Duration>(span / speed.slowness);
    }
  }
  return work;
}

} // namespace fescuetiller
