#pragma once

#include <optional>
#include <random>

#include "requests/backoff.h"
#include "requests/request.h"
#include "requests/retrybudget.h"

namespace fescuetiller {

/** Daemon that owns a request's key, as the ingress knows it. */
struct Owner
{
  Incarnation incarnation = kNoIncarnation;
  std::string address;
  RowVersion ownedSince = 0; ///< Version of its assignment.

  friend bool operator==(const Owner& aLeft, const Owner& aRight);
};

/** What an ingress does next with one request. */
struct ForwardStep
{
  enum class Kind
  {
    Send,   ///< Send it to the owner.
    Settle, ///< Ask that owner by request id what became of it.
    Wait,   ///< Ask again for the next step at the given time.
    Finish, ///< Answer the caller.
  };

  Kind kind = Kind::Wait;
  Owner owner;
  Time until;
  Outcome outcome;
};

/** How one call to an owner ended. */
enum class CallEnd
{
  Answered, ///< The owner answered.
  NotSent,  ///< No byte of it left this daemon.
  Lost,     ///< The owner may have acted.
};

struct ForwardTimes
{
  Duration routeWait = std::chrono::milliseconds(20); ///< For a newer route.
  Duration firstPause = std::chrono::milliseconds(10);
  Duration largestPause = std::chrono::milliseconds(320);
  /** How long an owner that does not answer is asked what became of it. */
  Duration settle = std::chrono::milliseconds(2000);
};

/**
 * The ingress' decisions about one request, from its arrival to its answer.
 * Only the ingress retries, so retries do not multiply across hops. A
 * non-idempotent request is sent again only when the owner says that it did
 * not take it. Time, routes and call results are passed in.
 */
class Forwarding
{
public:
  Forwarding(const Request& aRequest,
             bool aIdempotent,
             RetryBudget& aBudget,
             std::mt19937& aRandom,
             ForwardTimes aTimes = ForwardTimes());

  ForwardStep Next(Time aNow, const std::optional<Owner>& aOwner);

  /** The call that the last step asked for has ended. */
  void Ended(Time aNow, CallEnd aEnd, const Outcome& aOutcome);

  /** How often the request was sent, this time included. */
  uint32_t Attempts() const;

private:
  enum class State
  {
    Unsent,
    Sent,
    Settling,
    Finished,
  };

  ForwardStep NextSend(Time aNow, const std::optional<Owner>& aOwner);
  ForwardStep NextSettle(Time aNow);
  ForwardStep Finish(Outcome aOutcome);
  ForwardStep WaitUntil(Time aUntil) const;
  Outcome OutOfTime() const;
  Outcome NotTaken() const;
  void SendEnded(Time aNow, CallEnd aEnd, const Outcome& aOutcome);
  void SettleEnded(Time aNow, CallEnd aEnd, const Outcome& aOutcome);
  void OwnerRefused(Time aNow);
  void MayHaveRun(Time aNow, const Outcome& aOutcome);

  const Request& request;
  bool idempotent;
  RetryBudget& budget;
  std::mt19937& random;
  ForwardTimes times;
  Backoff backoff;
  State state = State::Unsent;
  Owner target;
  std::optional<Owner> refusedBy;
  Time notBefore;
  Time settleUntil;
  bool mayHaveRun;
  uint32_t attempts = 0;
  Outcome answer;
};

} // namespace fescuetiller
