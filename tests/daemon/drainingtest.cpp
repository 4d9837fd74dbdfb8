#include <catch2/catch.hpp>

#include <thread>

#include "fescuetillerd/executor.h"
#include "platform/headers.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Records the response to a request. */
class ResponseRecorder : public ExecutionReceiver
{
public:
  void OnCompleteResponse(HttpResponse aResponse) override
  {
    this->response = std::move(aResponse);
  }
  void OnHeaders(ResponseHeaders) override {}
  void OnBodyChunk(asio::const_buffer, std::function<void()>) override {}
  void OnBodyEnd() override {}
  void OnFailure(const CallFailure&) override {}
  bool HasPassedOn() const override { return false; }

  std::optional<HttpResponse> response;
};

/** The part of a daemon beside a backend server that sends it requests, and
 * that server. */
struct ExecutorFixture
{
  static constexpr Key kKey = 7;

  asio::io_context context{ 1 };
  EventLog log{ "test", { 0, 0, 0 } };
  std::vector<HttpRequest> received; ///< Requests that the server got.
  std::vector<Time> receivedAt;
  HttpServer server{ context,
                     [this](const std::shared_ptr<Exchange>& aExchange) {
                       this->received.push_back(aExchange->request);
                       this->receivedAt.push_back(BootClock::now());
                       auto response = TextResponse(200, "answer");
                       response.set(headers::kRequestId,
                                    aExchange->request[headers::kRequestId]);
                       aExchange->Respond(std::move(response));
                     } };
  std::unique_ptr<Executor> executor;
  ServingState serving;

  ExecutorFixture()
  {
    REQUIRE(
      this->server.Listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
    this->executor = std::make_unique<Executor>(
      this->context, this->server.Address(), "agenda", this->log);
    this->serving.member = "me";
    this->serving.server.id = "i-1";
    this->serving.slots = 1;
    this->serving.available = true;
    this->serving.ownsKeys = true;
    this->serving.ranges = { { { 0, 999 }, BootClock::now() + seconds(60) } };
    this->serving.leaseUntil = BootClock::now() + seconds(60);
    this->serving.nextHeartbeat = BootClock::now() + seconds(60);
    this->executor->SetServing(this->serving);
  }

  /** The server leaves; it gets no requests when a time has passed. */
  void LeaveAfter(Duration aTime)
  {
    this->serving.draining = true;
    this->serving.sendUntil = BootClock::now() + aTime;
    this->executor->SetServing(this->serving);
  }

  std::shared_ptr<ResponseRecorder> Start(Duration aUntilDeadline = seconds(2))
  {
    Dispatch dispatch;
    dispatch.service = "agenda";
    dispatch.requestClass = "look";
    dispatch.untilTarget = aUntilDeadline;
    dispatch.untilDeadline = aUntilDeadline;
    HttpRequest request(http::verb::post, "/look/1", 11);
    request.set(headers::kRequestId, "r1");
    request.set(headers::kKey, std::to_string(kKey));
    request.prepare_payload();
    auto recorder = std::make_shared<ResponseRecorder>();
    this->executor->Start(std::move(request), dispatch, recorder);
    return recorder;
  }

  /** Runs until the request has a slot. Nothing of it has been sent then. */
  void RunUntilStarted()
  {
    this->StepUntil([this] { return this->executor->IsRunning("r1"); });
    REQUIRE(this->received.empty());
  }

  /** Runs one handler after the other until a condition holds. */
  void StepUntil(const std::function<bool()>& aCondition)
  {
    auto end = BootClock::now() + seconds(5);
    while (!aCondition() && BootClock::now() < end) {
      this->context.run_one_for(milliseconds(10));
    }
    REQUIRE(aCondition());
  }

  void RunUntilAnswered(const ResponseRecorder& aRecorder)
  {
    auto end = BootClock::now() + seconds(5);
    while (!aRecorder.response && BootClock::now() < end) {
      this->context.run_for(milliseconds(2));
    }
    this->context.run_for(milliseconds(30)); // What is on its way arrives.
    REQUIRE(aRecorder.response);
  }

  /** Why a response says that its request has not run; empty if it does not.
   */
  static std::string RefusalOf(const ResponseRecorder& aRecorder)
  {
    auto report = DecodeExecutionReport(
      std::string((*aRecorder.response)[kExecutionReportField]));
    REQUIRE(report);
    return report->outcome == ExecutionOutcome::Refused ? report->reason : "";
  }
};

/** The process gets no processor for this time. */
constexpr Duration kStall = milliseconds(1000);

} // namespace

// Guards against requests that were taken in time, and reached a server up to
// 88 ms after the end of its drain time, as its daemon had to wait for the
// processor or a connection.
SCENARIO("A request that was given a slot is not sent when the server's drain "
         "time is over",
         "[executor][draining]")
{
  ExecutorFixture fixture;

  GIVEN("a process that stalls before it opens the connection")
  {
    fixture.LeaveAfter(kStall);
    auto recorder = fixture.Start();
    fixture.RunUntilStarted();
    std::this_thread::sleep_for(kStall);
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.empty());
    CHECK(ExecutorFixture::RefusalOf(*recorder) == "draining");
  }
  GIVEN("a drain time that ends while the connection is being opened")
  {
    auto recorder = fixture.Start();
    fixture.StepUntil(
      [&] { return fixture.executor->ConnectionsOpened() > 0; });
    fixture.LeaveAfter(Duration(0));
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.empty());
    CHECK(ExecutorFixture::RefusalOf(*recorder) == "draining");
  }
  GIVEN("a drain time that ends before a stalled processor would go on")
  {
    fixture.LeaveAfter(milliseconds(100));
    auto recorder = fixture.Start();
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.empty());
    CHECK(ExecutorFixture::RefusalOf(*recorder) == "draining");
  }
  GIVEN("a drain time that goes on")
  {
    fixture.LeaveAfter(seconds(10));
    auto recorder = fixture.Start();
    fixture.RunUntilStarted();
    std::this_thread::sleep_for(milliseconds(50));
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.size() == 1);
    CHECK(ExecutorFixture::RefusalOf(*recorder).empty());
  }
}

SCENARIO("A request that was given a slot is sent only if the server still may "
         "serve its key",
         "[executor][draining]")
{
  ExecutorFixture fixture;

  GIVEN("a grant that expires meanwhile")
  {
    fixture.serving.ranges = { { { 0, 999 }, BootClock::now() + kStall } };
    fixture.executor->SetServing(fixture.serving);
    auto recorder = fixture.Start();
    fixture.RunUntilStarted();
    std::this_thread::sleep_for(kStall);
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.empty());
    CHECK(ExecutorFixture::RefusalOf(*recorder) == "no-grant");
  }
  GIVEN("keys that move meanwhile")
  {
    auto recorder = fixture.Start();
    fixture.RunUntilStarted();
    fixture.serving.ranges.clear();
    fixture.serving.movedKeys = { { { 0, 999 }, "other" } };
    fixture.executor->SetServing(fixture.serving);
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.empty());
    CHECK(ExecutorFixture::RefusalOf(*recorder) == "moved");
    auto report = DecodeExecutionReport(
      std::string((*recorder->response)[kExecutionReportField]));
    CHECK(report->owner == "other");
  }
  GIVEN("a server that is lost meanwhile")
  {
    auto recorder = fixture.Start();
    fixture.RunUntilStarted();
    fixture.serving.available = false;
    fixture.executor->SetServing(fixture.serving);
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.empty());
    CHECK(ExecutorFixture::RefusalOf(*recorder) == "server-down");
  }
  GIVEN("a deadline that passes meanwhile")
  {
    auto recorder = fixture.Start(kStall);
    fixture.RunUntilStarted();
    std::this_thread::sleep_for(kStall);
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.empty());
    CHECK(ExecutorFixture::RefusalOf(*recorder) == "expired");
  }
}

// Guards against a server that is told more time than its request has left.
SCENARIO("A request states the time that is left when it is sent",
         "[executor][draining]")
{
  ExecutorFixture fixture;
  auto deadline = BootClock::now() + seconds(2);
  auto recorder = fixture.Start();
  fixture.RunUntilStarted();
  std::this_thread::sleep_for(kStall);
  fixture.RunUntilAnswered(*recorder);
  REQUIRE(fixture.received.size() == 1);
  auto stated = milliseconds(
    std::stoi(std::string(fixture.received[0][headers::kTimeLeft])));
  CHECK(stated > milliseconds(0));
  CHECK(stated <= deadline - fixture.receivedAt[0] + milliseconds(100));
}

// Guards against requests that reach a server of an evacuated zone, which may
// be cold or go away, after they have waited for a slot, for a connection or
// for the processor.
SCENARIO("A server whose zone is evacuated gets no requests",
         "[executor][evacuations]")
{
  ExecutorFixture fixture;
  auto evacuate = [&](Time aFrom) {
    fixture.serving.evacuatedFrom = aFrom;
    fixture.executor->SetServing(fixture.serving);
  };
  auto checkRefused = [&](const ResponseRecorder& aRecorder) {
    fixture.RunUntilAnswered(aRecorder);
    CHECK(fixture.received.empty());
    CHECK(ExecutorFixture::RefusalOf(aRecorder) == "evacuated");
    CHECK(fixture.executor->EvacuationRefusals() == 1);
  };

  GIVEN("a new request")
  {
    evacuate(Time());
    checkRefused(*fixture.Start());
  }
  GIVEN("a request that waits")
  {
    // It waits until its key is granted.
    fixture.serving.ranges = { { { 0, 999 }, Time() } };
    fixture.serving.nextHeartbeat = BootClock::now() + milliseconds(400);
    fixture.executor->SetServing(fixture.serving);
    auto recorder = fixture.Start();
    fixture.context.run_for(milliseconds(30));
    REQUIRE_FALSE(recorder->response);
    evacuate(BootClock::now() + milliseconds(200));
    fixture.context.run_for(milliseconds(30));
    REQUIRE_FALSE(recorder->response); // Its key may still be served.
    std::this_thread::sleep_for(milliseconds(70));
    checkRefused(*recorder);
  }
  GIVEN("a request that has a slot")
  {
    auto recorder = fixture.Start();
    fixture.RunUntilStarted();
    evacuate(Time());
    checkRefused(*recorder);
  }
  GIVEN("a process that stalls before it opens the connection")
  {
    evacuate(BootClock::now() + kStall);
    auto recorder = fixture.Start();
    fixture.RunUntilStarted();
    std::this_thread::sleep_for(kStall);
    checkRefused(*recorder);
  }
  GIVEN("a request that waits for its connection")
  {
    auto recorder = fixture.Start();
    fixture.StepUntil(
      [&] { return fixture.executor->ConnectionsOpened() > 0; });
    evacuate(Time());
    checkRefused(*recorder);
  }
  GIVEN("time left until the keys must have moved")
  {
    evacuate(BootClock::now() + seconds(10));
    auto recorder = fixture.Start();
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.size() == 1);
  }
  GIVEN("a service without keys")
  {
    fixture.serving.ownsKeys = false;
    evacuate(Time());
    checkRefused(*fixture.Start());
  }
  GIVEN("a daemon that does not know which zones are evacuated")
  {
    fixture.serving.evacuatedFrom = Time();
    fixture.serving.knowsEvacuations = false;
    fixture.executor->SetServing(fixture.serving);
    auto recorder = fixture.Start();
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.empty());
    CHECK(ExecutorFixture::RefusalOf(*recorder) == "evacuations-unknown");
  }
  GIVEN("an evacuation that has ended")
  {
    evacuate(Time());
    evacuate(Time::max());
    auto recorder = fixture.Start();
    fixture.RunUntilAnswered(*recorder);
    CHECK(fixture.received.size() == 1);
  }
}
