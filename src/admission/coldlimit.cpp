#include "admission/coldlimit.h"

#include <algorithm>
#include <cmath>

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

/** Longest time for which a process gets no processor: a period of the
 * scheduler. A request that was counted may leave that much later, and then
 * arrives closer to those that follow. */
constexpr Duration kMaxStall = milliseconds(100);
/** No more requests than planned are sent in any span of this length. */
constexpr Duration kWindow = std::chrono::seconds(1) + kMaxStall;
/** Parts of the window over which the planned requests are spread. Sent at
 * once, they would leave the rest of the window to none, however urgent. */
constexpr size_t kParts = 4;
/** Keeps a product such as 20 x 1.1 from being rounded down to 21. */
constexpr double kRoundingError = 1e-9;

} // namespace

void
ColdLimit::SetRate(std::optional<double> aPerSecond,
                   double aFactor,
                   double aMargin)
{
  this->perSecond = aPerSecond;
  this->factor = aFactor;
  this->margin = aMargin;
}

void
ColdLimit::SetCountedSince(Time aSince)
{
  this->countedSince = aSince;
}

void
ColdLimit::OnHeartbeat(Time aHeardAt, Time aColdUntil)
{
  this->heardAt = aHeardAt;
  this->coldUntilByHeartbeat = aColdUntil;
}

void
ColdLimit::OnResponse(Time aSentAt, Time aNow, Duration aColdFor)
{
  // The statement was made between the two times. That the server is cold is
  // taken as the later one, and that it is warm as the earlier one.
  bool isCold = aColdFor > Duration(0);
  auto madeAt = isCold ? aNow : aSentAt;
  if (madeAt > this->statedAt) {
    this->statedAt = madeAt;
    this->coldUntilByResponse = isCold ? aNow + aColdFor : Time();
  }
}

void
ColdLimit::OnRestart(Time aNow)
{
  this->statedAt = aNow;
  this->coldUntilByResponse = Time::max();
}

bool
ColdLimit::ResponseIsNewer() const
{
  return this->statedAt > this->heardAt &&
         this->coldUntilByHeartbeat != Time::max();
}

Time
ColdLimit::ColdUntil() const
{
  return this->ResponseIsNewer() ? this->coldUntilByResponse
                                 : this->coldUntilByHeartbeat;
}

Time
ColdLimit::StatedAt() const
{
  return std::max(this->heardAt, this->statedAt);
}

bool
ColdLimit::IsCold(Time aNow) const
{
  return this->perSecond && aNow < this->ColdUntil();
}

std::optional<double>
ColdLimit::Bound() const
{
  if (!this->perSecond) {
    return std::nullopt;
  }
  return *this->perSecond * this->factor + this->margin;
}

size_t
ColdLimit::Planned() const
{
  // At least one, since a server that gets no requests would never answer any.
  return static_cast<size_t>(std::max(
    1.0, std::floor(*this->perSecond * this->factor + kRoundingError)));
}

std::optional<double>
ColdLimit::PerSecond(Time aNow) const
{
  if (!this->IsCold(aNow)) {
    return std::nullopt;
  }
  return static_cast<double>(this->Planned()) /
         std::chrono::duration<double>(kWindow).count();
}

size_t
ColdLimit::SentSince(Time aSince) const
{
  auto first = std::upper_bound(
    this->sent.begin(),
    this->sent.end(),
    aSince,
    [](Time aTime, const Sent& aSent) { return aTime < aSent.at; });
  return static_cast<size_t>(this->sent.end() - first);
}

void
ColdLimit::Reserve(uint64_t aId)
{
  this->reserved.insert(aId);
}

void
ColdLimit::Release(uint64_t aId)
{
  this->reserved.erase(aId);
}

bool
ColdLimit::IsReserved(uint64_t aId) const
{
  return this->reserved.count(aId) > 0;
}

bool
ColdLimit::MaySend(Time aNow) const
{
  return !this->IsCold(aNow) ||
         (aNow >= this->countedSince + kWindow &&
          this->SentSince(aNow - kWindow) < this->Planned());
}

void
ColdLimit::OnSent(Time aNow, uint64_t aId)
{
  this->reserved.erase(aId);
  this->sent.push_back({ aNow, aId });
  while (this->sent.front().at <= aNow - kHistory) {
    this->sent.pop_front();
  }
}

void
ColdLimit::OnMisdirected(uint64_t aId)
{
  auto found = std::find_if(this->sent.begin(),
                            this->sent.end(),
                            [&](const auto& aSent) { return aSent.id == aId; });
  if (found != this->sent.end()) {
    this->sent.erase(found);
  }
}

Duration
ColdLimit::TimeUntil(Time aNow,
                     size_t aRequests,
                     size_t aMost,
                     Duration aWindow) const
{
  // A window that is full repeats: each request may follow the one aMost places
  // before it after aWindow.
  size_t cycles = (aRequests - 1) / aMost;
  size_t rest = aRequests - cycles * aMost;
  auto later = aWindow * static_cast<int64_t>(cycles);
  size_t inWindow = this->SentSince(aNow - aWindow);
  size_t counted = inWindow + this->reserved.size();
  if (counted + rest <= aMost) {
    return later;
  }
  size_t mustLeave = counted + rest - aMost;
  auto leaver = mustLeave <= inWindow
                  ? this->sent[this->sent.size() - inWindow + mustLeave - 1].at
                  : aNow;
  return std::max(Duration(leaver + aWindow - aNow), Duration(0)) + later;
}

Duration
ColdLimit::TimeUntil(Time aNow, size_t aRequests) const
{
  if (!this->IsCold(aNow) || aRequests == 0) {
    return Duration(0);
  }
  auto planned = this->Planned();
  auto until =
    std::max({ Duration(this->countedSince + kWindow - aNow),
               this->TimeUntil(aNow, aRequests, planned, kWindow),
               this->TimeUntil(aNow,
                               aRequests,
                               (planned + kParts - 1) / kParts,
                               kWindow / static_cast<int64_t>(kParts)) });
  return std::min(until, Duration(this->ColdUntil() - aNow));
}

} // namespace fescuetiller
