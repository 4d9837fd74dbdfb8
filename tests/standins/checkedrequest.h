#pragma once

#include <optional>
#include <string>

#include "http/http.h"
#include "model/model.h"

namespace fescuetiller {

/** What a checking client asks for. */
enum class Question
{
  Lookup,      ///< GET; may run more than once.
  Booking,     ///< POST; runs once at most.
  HeadLookup,  ///< HEAD; may run more than once.
  NoRoute,     ///< GET of a path without a route.
  HeadNoRoute, ///< The same with HEAD.
};

/** What the client got. */
enum class Reply
{
  None,     ///< No whole answer: the connection ended or stayed silent.
  Answered, ///< The backend server's answer.
  NotRun,   ///< 503, 429, 408 or 421: has not run and never will.
  NoRoute,  ///< 404 for a path without a route.
  Failed,   ///< 502 or 504: may have run.
  Wrong,    ///< Not what may be answered to this request.
};

/** A request of a checking client and what came of it. */
struct CheckedRequest
{
  std::string id;
  Question question = Question::Lookup;
  size_t bodyBytes = 0;   ///< Of the body that is asked for.
  size_t uploadBytes = 0; ///< Of the request's own body; 0: a short one.
  bool old = false;       ///< Sent as HTTP/1.0.
  /** How long the client says that it waits. */
  Duration limit = std::chrono::milliseconds(800);
  std::optional<Duration> work; ///< How long the server works, if stated.
  Reply reply = Reply::None;
  unsigned status = 0;
  bool withoutId = false; ///< The answer did not name its request.
  /** Reason of a refusal or failure; if the reply is wrong, in what. */
  std::string reason;
  std::string got; ///< A wrong answer, shortened.
  Time sentAt;
  Time repliedAt;
};

bool
IsHead(const CheckedRequest& aRequest);

/** Whether its path has a route. */
bool
HasRoute(const CheckedRequest& aRequest);

/** The request as it goes over the connection.
 * @param aKeepAlive Whether the client sends more requests after it. */
HttpRequest
ToHttpRequest(const CheckedRequest& aRequest, Key aKey, bool aKeepAlive);

/** Compares an answer with its request and notes the result. */
void
JudgeAnswer(CheckedRequest& aRequest, const HttpResponse& aAnswer);

/** Notes bytes that are no answer, where the answer should begin. */
void
JudgeBytes(CheckedRequest& aRequest, const std::string& aBytes);

} // namespace fescuetiller
