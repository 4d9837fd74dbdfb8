#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "requests/issuestamp.h"
#include "requests/request.h"

namespace fescuetiller {

/** What tells one non-idempotent request from another. */
struct RequestIdentity
{
  std::string requestId;
  uint64_t content = 0; ///< Hash of service, class, key and body.
  IssueStamp stamp;
};

RequestIdentity
IdentityOf(const Request& aRequest);

struct RequestTableLimits
{
  size_t entries = 65536;
  size_t answerBytes = 4 * 1024 * 1024;   ///< All answers kept, together.
  size_t largestAnswerBytes = 256 * 1024; ///< Larger ones are not kept.
  uint64_t ticksAhead = 60000; ///< How far a stamp may be ahead, milliseconds.
};

/** What the owner does with a request that arrives or is asked about. */
struct Admission
{
  enum class Kind
  {
    Start,  ///< Run it; End must follow.
    Join,   ///< It is running; answer with its outcome.
    Answer, ///< Answer at once.
  };

  Kind kind = Kind::Answer;
  Outcome outcome;
};

/**
 * An owner's memory of non-idempotent requests: each id starts at most once.
 * Bounded; what it forgets is covered by a horizon, and an unknown id issued
 * before the horizon is refused. Not thread-safe.
 */
class RequestTable
{
public:
  explicit RequestTable(RequestTableLimits aLimits);

  /** What is remembered of a request. Asked before anything else, also by an
   * owner that admits nothing new. Nothing when the id is not known. */
  std::optional<Admission> Known(const RequestIdentity& aIdentity) const;

  /**
   * A request arrived.
   * @param aOwnedSince Version of the assignment by which this owner serves
   * the key; an earlier owner may have run ids issued before it.
   * @param aTickNow This owner's current tick.
   */
  Admission Admit(const RequestIdentity& aIdentity,
                  RowVersion aOwnedSince,
                  uint64_t aTickNow);

  /** A started request has its outcome. One that was not run because the
   * partition is not owned here is forgotten: it never left this owner. */
  void End(const std::string& aRequestId, const Outcome& aOutcome);

  /** The sender asks what became of a request. An id that never arrived is
   * barred: it will not run here any more. */
  Admission Settle(const RequestIdentity& aIdentity, RowVersion aOwnedSince);

  size_t Size() const;
  size_t AnswerBytes() const;
  uint64_t Horizon() const;

private:
  enum class State
  {
    Running,
    Ended,
  };

  struct Entry
  {
    uint64_t content = 0;
    uint64_t tick = 0;
    State state = State::Running;
    Outcome outcome;
  };

  using Entries = std::unordered_map<std::string, Entry>;

  bool Forgotten(const RequestIdentity& aIdentity,
                 RowVersion aOwnedSince) const;
  bool MakeRoom();
  void Keep(const std::string& aRequestId, Entry& aEntry);
  void DropAnswer(Entry& aEntry);

  RequestTableLimits limits;
  Entries entries;
  std::multimap<uint64_t, std::string> ended; ///< By tick, oldest first.
  std::deque<std::string> answers;            ///< Ids whose body is kept.
  size_t answerBytes = 0;
  uint64_t horizon = 0;
};

} // namespace fescuetiller
