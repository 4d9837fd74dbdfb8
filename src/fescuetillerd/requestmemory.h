#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

#include "requests/requests.h"

namespace fescuetiller {

/**
 * The owner's table of non-idempotent requests for the traffic threads, and
 * the clock that stamps ids. A thread with a copy of a running request waits
 * for its outcome. Thread-safe.
 */
class RequestMemory
{
public:
  explicit RequestMemory(RequestTableLimits aLimits);

  /**
   * @param aOwnedSince Nothing: only what is known already is answered.
   * @return The outcome when the request needs no run of its own. Nothing: the
   * caller runs it and calls End.
   */
  std::optional<Outcome> Begin(const RequestIdentity& aIdentity,
                               std::optional<RowVersion> aOwnedSince,
                               Time aDeadline);

  void End(const std::string& aRequestId, const Outcome& aOutcome);

  /** Tells what became of a request, or bars its id. */
  Outcome Settle(const RequestIdentity& aIdentity,
                 RowVersion aOwnedSince,
                 Time aDeadline);

  /** How many threads wait for the outcome of a running request. */
  size_t Waiting() const;

  /** Stamp for an id issued now. */
  IssueStamp Stamp() const;

  /** A revision that the table service has reached. */
  void SeeRevision(RowVersion aRevision);

  /** A stamp that another daemon gave out. */
  void SeeStamp(const IssueStamp& aStamp);

private:
  struct Pending
  {
    bool ended = false;
    Outcome outcome;
  };

  using Lock = std::unique_lock<std::mutex>;

  Outcome Await(Lock& aLock, const std::string& aRequestId, Time aDeadline);
  Outcome Resolve(Lock& aLock,
                  const std::string& aRequestId,
                  const Admission& aAdmission,
                  Time aDeadline);

  mutable std::mutex mutex;
  std::condition_variable changed;
  RequestTable table;
  IssueClock clock;
  size_t waiting = 0;
  std::unordered_map<std::string, std::shared_ptr<Pending>> pending;
};

} // namespace fescuetiller
