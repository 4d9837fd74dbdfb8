#include <sstream>

#include <catch2/catch.hpp>

#include "platform/platform.h"
#include "standins/answerbody.h"
#include "standins/requestaudit.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

CheckedRequest
MakeRequest(Question aQuestion)
{
  CheckedRequest request;
  request.id = "f0-1-l7";
  request.question = aQuestion;
  request.bodyBytes = 100;
  return request;
}

HttpResponse
MakeAnswer(const std::string& aId)
{
  auto answer = TextResponse(200, AnswerBody(aId, 100));
  answer.set(headers::kRequestId, aId);
  answer.set(headers::kSignature, "i-1:" + aId);
  return answer;
}

/** Judges an answer to a lookup; returns in what it is wrong. */
std::string
Judge(const HttpResponse& aAnswer, Question aQuestion = Question::Lookup)
{
  auto request = MakeRequest(aQuestion);
  JudgeAnswer(request, aAnswer);
  return request.reply == Reply::Wrong ? request.reason : "";
}

/** Whether the audit passes for a request with this reply that a server has run
 * so often. */
bool
Passes(Reply aReply, Question aQuestion, size_t aRuns)
{
  auto request = MakeRequest(aQuestion);
  request.reply = aReply;
  Run run;
  run.request = request.id;
  RequestAudit audit("f0-");
  audit.Add({ request });
  std::ostringstream output;
  return audit.Report(std::vector<Run>(aRuns, run), 0, output);
}

} // namespace

TEST_CASE("an answer of another request passes the checking client")
{
  auto other = MakeAnswer("f0-1-l8");
  CHECK(Judge(MakeAnswer("f0-1-l7")).empty());
  CHECK(Judge(other) == "id-of-another");
  other.erase(headers::kRequestId);
  CHECK(Judge(other) == "signature-of-another");
  other.set(headers::kSignature, "i-1:f0-1-l7");
  CHECK(Judge(other) == "other-body");
  other.erase(headers::kSignature);
  CHECK(Judge(other) == "no-signature");
  CHECK(Judge(MakeAnswer("f0-1-l7"), Question::NoRoute) ==
        "success-without-route");
}

TEST_CASE("a cut body passes the checking client as a whole one")
{
  auto cut = MakeAnswer("f0-1-l7");
  cut.body().pop_back();
  CHECK(Judge(cut) == "cut-body");
  cut.body().clear();
  CHECK(Judge(cut) == "cut-body");
  CHECK(Judge(cut, Question::HeadLookup).empty());
}

TEST_CASE("a failure that the server did not send passes the checking client")
{
  auto signedFailure = MakeAnswer("f0-1-l7");
  signedFailure.result(502);
  CHECK(Judge(signedFailure) == "signed-failure");
  CHECK(Judge(TextResponse(404, "no-route\n")) == "404-for-a-route");
  CHECK(Judge(TextResponse(404, "no-route\n"), Question::NoRoute).empty());
  CHECK(Judge(TextResponse(400, "")) == "status-400");
  CHECK(Judge(TextResponse(503, "displaced\n")).empty());
}

TEST_CASE("a false promise or a second run passes the audit")
{
  CHECK(Passes(Reply::Answered, Question::Booking, 1));
  CHECK_FALSE(Passes(Reply::Answered, Question::Booking, 2));
  CHECK(Passes(Reply::Answered, Question::Lookup, 2));
  CHECK_FALSE(Passes(Reply::Answered, Question::Lookup, 0));
  CHECK(Passes(Reply::NotRun, Question::Booking, 0));
  CHECK_FALSE(Passes(Reply::NotRun, Question::Booking, 1));
  CHECK_FALSE(Passes(Reply::NotRun, Question::Lookup, 1));
  CHECK(Passes(Reply::Failed, Question::Booking, 1));
  CHECK_FALSE(Passes(Reply::None, Question::Booking, 2));
}

TEST_CASE("a run that no client asked for passes the audit")
{
  Run run;
  run.request = "f0-9-b1";
  std::ostringstream output;
  RequestAudit audit("f0-");
  CHECK_FALSE(audit.Report({ run }, 0, output));
  RequestAudit otherLoad("f1-");
  CHECK(otherLoad.Report({ run }, 0, output));
}

TEST_CASE("a load without answers passes the audit")
{
  auto request = MakeRequest(Question::Lookup);
  request.reply = Reply::NotRun;
  RequestAudit audit("f0-");
  audit.Add({ request });
  std::ostringstream output;
  CHECK_FALSE(audit.Report({}, 0.2, output));
}
