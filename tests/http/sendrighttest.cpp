#include <catch2/catch.hpp>

#include <thread>

#include "http/http.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

/** Records how a call ended. */
class OutcomeReceiver : public ResponseReceiver
{
public:
  void OnCompleteResponse(HttpResponse aResponse) override
  {
    this->response = std::move(aResponse);
  }
  void OnHeaders(ResponseHeaders) override {}
  void OnBodyChunk(asio::const_buffer, std::function<void()>) override {}
  void OnBodyEnd() override {}
  void OnFailure(const CallFailure& aFailure) override
  {
    this->failure = aFailure;
  }

  std::optional<HttpResponse> response;
  std::optional<CallFailure> failure;
};

/** A peer, and a caller whose right to send ends at some time. */
struct SendRightFixture
{
  asio::io_context context{ 1 };
  std::vector<HttpRequest> received; ///< Requests that the peer got.
  HttpServer peer{ context, [this](const std::shared_ptr<Exchange>& aExchange) {
                    this->received.push_back(aExchange->request);
                    aExchange->Respond(TextResponse(200, "answer"));
                  } };
  ConnectionPool pool{ context };
  Time sendUntil = Time::max();

  SendRightFixture()
  {
    REQUIRE(
      this->peer.Listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
  }

  std::shared_ptr<OutcomeReceiver> Start()
  {
    HttpRequest request(http::verb::get, "/look", 11);
    request.set("X-Left", "at the start");
    CallOptions options;
    options.beforeSend = [this](HttpRequest& aRequest) {
      aRequest.set("X-Left", "when it was sent");
      return BootClock::now() < this->sendUntil;
    };
    auto receiver = std::make_shared<OutcomeReceiver>();
    UpstreamCall::Start(
      this->pool, this->peer.Address(), request, options, receiver);
    return receiver;
  }

  void RunUntilEnded(const OutcomeReceiver& aReceiver)
  {
    auto end = BootClock::now() + std::chrono::seconds(5);
    while (!aReceiver.response && !aReceiver.failure &&
           BootClock::now() < end) {
      this->context.run_for(milliseconds(2));
    }
  }
};

} // namespace

// Guards against requests that a caller was allowed to send when it started the
// call, and whose bytes left when the connection was open or the process ran
// again.
SCENARIO("The right to send is checked when the bytes of a request leave",
         "[http][sendright]")
{
  SendRightFixture fixture;

  GIVEN("a caller that may send")
  {
    auto outcome = fixture.Start();
    fixture.RunUntilEnded(*outcome);
    THEN("the request carries what was true when it was sent")
    {
      REQUIRE(outcome->response);
      REQUIRE(fixture.received.size() == 1);
      CHECK(fixture.received[0]["X-Left"] == "when it was sent");
    }
  }
  GIVEN("a right that ends while the connection is being opened")
  {
    fixture.sendUntil = BootClock::now() + milliseconds(30);
    auto outcome = fixture.Start();
    fixture.context.run_one(); // Begins to connect.
    REQUIRE(fixture.pool.opened == 1);
    std::this_thread::sleep_for(milliseconds(40));
    fixture.RunUntilEnded(*outcome);
    THEN("the call fails, and the peer gets nothing")
    {
      REQUIRE(outcome->failure);
      CHECK(outcome->failure->withdrawn);
      CHECK(outcome->failure->stage == CallStage::NotSent);
      CHECK_FALSE(outcome->failure->timedOut);
      CHECK_FALSE(outcome->failure->connectionRefused);
      fixture.context.run_for(milliseconds(30));
      CHECK(fixture.received.empty());
    }
  }
  GIVEN(
    "a kept connection, and a right that ends before the process runs again")
  {
    fixture.RunUntilEnded(*fixture.Start());
    REQUIRE(fixture.received.size() == 1);
    fixture.sendUntil = BootClock::now() + milliseconds(30);
    auto outcome = fixture.Start();
    std::this_thread::sleep_for(milliseconds(40));
    fixture.RunUntilEnded(*outcome);
    THEN("the call fails, and the peer gets nothing")
    {
      REQUIRE(outcome->failure);
      CHECK(outcome->failure->withdrawn);
      CHECK(outcome->failure->stage == CallStage::NotSent);
      fixture.context.run_for(milliseconds(30));
      CHECK(fixture.received.size() == 1);
      CHECK(fixture.pool.opened == 1);
    }
  }
}
