#pragma once

#include <string>

#include "base/base.h"
#include "requests/issuestamp.h"

namespace fescuetiller {

/** One caller's request for one key. */
struct Request
{
  std::string requestId; ///< Chosen by the caller, never used for another.
  std::string service;
  std::string requestClass;
  std::string key;
  std::string body;
  Time deadline;
  IssueStamp stamp;       ///< Of the id; the same each time it is sent.
  bool sentBefore = true; ///< Unless the caller says that it is the first time.
  uint32_t attempt = 1;   ///< How often the ingress has sent it.
};

/** What is known of a request when it is answered. */
enum class OutcomeCode
{
  Done,    ///< Ran; the body is the backend server's whole answer.
  NotRun,  ///< Did not run and will not under this request id.
  Unknown, ///< May have run.
};

/** Answer to one request. */
struct Outcome
{
  OutcomeCode code = OutcomeCode::Unknown;
  std::string body;
  std::string contentType;
  std::string reason;
  Duration retryAfter = Duration(0); ///< When to come back; 0: no advice.
  bool notOwner = false; ///< NotRun because the partition is not owned here.
  bool outdated = false; ///< Refused: the id's stamp is too old to tell.
  bool idReused = false; ///< Refused: the id stands for another request.

  friend bool operator==(const Outcome& aLeft, const Outcome& aRight);
};

const char*
ToString(OutcomeCode aCode);

Outcome
NotRun(const std::string& aReason, Duration aRetryAfter);

Outcome
NotOwner();

/** Refuses an id that an owner without memory of it may have run. */
Outcome
Outdated();

/** Refuses an id that was first used for another key, class or body. */
Outcome
IdReused();

Outcome
UnknownOutcome(const std::string& aReason);

} // namespace fescuetiller
