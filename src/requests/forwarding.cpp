#include "requests/forwarding.h"

#include <algorithm>
#include <tuple>

namespace fescuetiller {

namespace {

constexpr Duration kNoOwnerRetryAfter = std::chrono::seconds(1);
constexpr Duration kNewIdRetryAfter = std::chrono::milliseconds(1);

} // namespace

bool
operator==(const Owner& aLeft, const Owner& aRight)
{
  return std::tie(aLeft.incarnation, aLeft.address, aLeft.ownedSince) ==
         std::tie(aRight.incarnation, aRight.address, aRight.ownedSince);
}

Forwarding::Forwarding(const Request& aRequest,
                       bool aIdempotent,
                       RetryBudget& aBudget,
                       std::mt19937& aRandom,
                       ForwardTimes aTimes)
  : request(aRequest)
  , idempotent(aIdempotent)
  , budget(aBudget)
  , random(aRandom)
  , times(aTimes)
  , backoff(aTimes.firstPause, aTimes.largestPause)
  , mayHaveRun(aRequest.sentBefore && !aIdempotent)
{
  this->budget.CountRequest();
}

uint32_t
Forwarding::Attempts() const
{
  return this->attempts;
}

ForwardStep
Forwarding::Finish(Outcome aOutcome)
{
  this->state = State::Finished;
  this->answer = std::move(aOutcome);
  ForwardStep step;
  step.kind = ForwardStep::Kind::Finish;
  step.outcome = this->answer;
  return step;
}

ForwardStep
Forwarding::WaitUntil(Time aUntil) const
{
  ForwardStep step;
  step.kind = ForwardStep::Kind::Wait;
  step.until = std::min(aUntil, this->request.deadline);
  return step;
}

Outcome
Forwarding::OutOfTime() const
{
  if (this->mayHaveRun) {
    return UnknownOutcome("an earlier sending of this id may have run");
  }
  return NotRun("no owner reached in time", kNoOwnerRetryAfter);
}

Outcome
Forwarding::NotTaken() const
{
  if (this->mayHaveRun) {
    return Outdated();
  }
  return NotRun("its owner changed after the id was issued", kNewIdRetryAfter);
}

ForwardStep
Forwarding::Next(Time aNow, const std::optional<Owner>& aOwner)
{
  switch (this->state) {
    case State::Unsent:
      return this->NextSend(aNow, aOwner);
    case State::Settling:
      return this->NextSettle(aNow);
    case State::Sent:
      return this->WaitUntil(this->request.deadline);
    case State::Finished:
      break;
  }
  return this->Finish(this->answer);
}

ForwardStep
Forwarding::NextSend(Time aNow, const std::optional<Owner>& aOwner)
{
  if (aNow >= this->request.deadline) {
    return this->Finish(this->OutOfTime());
  }
  bool sameOwner = aOwner && this->refusedBy == aOwner;
  if (aNow < this->notBefore && (!aOwner || sameOwner)) {
    return this->WaitUntil(
      std::min(this->notBefore, aNow + this->times.routeWait));
  }
  if (!aOwner) {
    return this->WaitUntil(aNow + this->times.routeWait);
  }
  // The owner would refuse it; a new id need not wait for its answer.
  if (!this->idempotent &&
      this->request.stamp.revision<aOwner->ownedSince&& this->attempts> 0) {
    return this->Finish(this->NotTaken());
  }
  this->state = State::Sent;
  this->target = *aOwner;
  ++this->attempts;
  ForwardStep step;
  step.kind = ForwardStep::Kind::Send;
  step.owner = this->target;
  return step;
}

ForwardStep
Forwarding::NextSettle(Time aNow)
{
  if (aNow >= this->request.deadline || aNow >= this->settleUntil) {
    return this->Finish(UnknownOutcome("its owner did not tell what became"
                                       " of it"));
  }
  if (aNow < this->notBefore) {
    return this->WaitUntil(this->notBefore);
  }
  ForwardStep step;
  step.kind = ForwardStep::Kind::Settle;
  step.owner = this->target;
  return step;
}

void
Forwarding::Ended(Time aNow, CallEnd aEnd, const Outcome& aOutcome)
{
  if (this->state == State::Sent) {
    this->SendEnded(aNow, aEnd, aOutcome);
  } else if (this->state == State::Settling) {
    this->SettleEnded(aNow, aEnd, aOutcome);
  }
}

void
Forwarding::OwnerRefused(Time aNow)
{
  this->state = State::Unsent;
  this->refusedBy = this->target;
  this->notBefore = aNow + this->backoff.Next(this->random);
}

void
Forwarding::SendEnded(Time aNow, CallEnd aEnd, const Outcome& aOutcome)
{
  bool notTaken = aEnd == CallEnd::Answered && aOutcome.notOwner;
  if (aEnd == CallEnd::NotSent || notTaken) {
    this->OwnerRefused(aNow);
    return;
  }
  bool lost = aEnd == CallEnd::Lost;
  if (lost && !this->idempotent) {
    this->state = State::Settling;
    this->settleUntil = aNow + this->times.settle;
    this->notBefore = aNow;
    return;
  }
  bool refused = aOutcome.outdated || aOutcome.idReused;
  if (lost || (aOutcome.code == OutcomeCode::Unknown && !refused)) {
    this->MayHaveRun(aNow, aOutcome);
    return;
  }
  // An earlier attempt of idempotent work may have run.
  bool doubtful = this->idempotent && this->mayHaveRun &&
                  aOutcome.code == OutcomeCode::NotRun;
  Outcome final = aOutcome.outdated ? this->NotTaken() : aOutcome;
  final.code = doubtful ? OutcomeCode::Unknown : final.code;
  this->Finish(final);
}

void
Forwarding::MayHaveRun(Time aNow, const Outcome& aOutcome)
{
  this->mayHaveRun = true;
  Duration pause = this->backoff.Next(this->random);
  bool inTime = aNow + pause < this->request.deadline;
  if (!this->idempotent || !inTime || !this->budget.TakeRetry()) {
    this->Finish(aOutcome);
    return;
  }
  this->state = State::Unsent;
  this->refusedBy = this->target;
  this->notBefore = aNow + pause;
}

void
Forwarding::SettleEnded(Time aNow, CallEnd aEnd, const Outcome& aOutcome)
{
  if (aEnd != CallEnd::Answered) {
    this->notBefore = aNow + this->backoff.Next(this->random);
    return;
  }
  Outcome final = aOutcome;
  if (final.notOwner) {
    final = NotRun("its owner changed before it ran", this->times.routeWait);
  }
  this->Finish(final);
}

} // namespace fescuetiller
