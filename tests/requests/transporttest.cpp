#include <atomic>
#include <future>

#include <catch2/catch.hpp>
#include <httplib.h>

#include "fescuetillerd/backendlink.h"
#include "fescuetillerd/httpserver.h"
#include "fescuetillerd/peerclient.h"
#include "fescuetillerd/requestmemory.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr size_t kThreads = 8;

Request
MakeRequest(const std::string& aId)
{
  Request request;
  request.requestId = aId;
  request.service = "agenda";
  request.requestClass = "booking";
  request.key = "key";
  request.deadline = BootClock::now() + std::chrono::seconds(30);
  return request;
}

Fence
MakeFence()
{
  Fence fence;
  fence.leaseUntil = BootClock::now() + std::chrono::hours(1);
  return fence;
}

/** A backend server whose answers a test sets. */
class ScriptedBackend
{
public:
  explicit ScriptedBackend(const httplib::Server::Handler& aHandler)
    : server(kThreads)
  {
    this->server.Handlers().Post(
      "/v1/run",
      [this, aHandler](const httplib::Request& aRequest,
                       httplib::Response& aResponse) {
        ++this->runs;
        aHandler(aRequest, aResponse);
      });
  }

  std::string Start()
  {
    return "127.0.0.1:" +
           std::to_string(this->server.Start("127.0.0.1", 0).value());
  }

  int Runs() const { return this->runs; }

  httplib::Server& Handlers() { return this->server.Handlers(); }

private:
  std::atomic<int> runs{ 0 };
  HttpServer server;
};

} // namespace

TEST_CASE("The link to a backend server reads its answers", "[requests]")
{
  BackendLink link;

  SECTION("each status has one outcome")
  {
    int status = 200;
    ScriptedBackend backend(
      [&status](const auto&, auto& aResponse) { aResponse.status = status; });
    link.Connect(backend.Start(), 10, true);
    auto run = [&] { return link.Run(MakeRequest("r"), MakeFence()); };
    CHECK(run().code == OutcomeCode::Done);
    status = 409;
    CHECK(run().notOwner);
    for (int refusal : { 408, 503 }) {
      status = refusal;
      CHECK(run().code == OutcomeCode::NotRun);
      CHECK(run().retryAfter > Duration(0));
    }
    status = 500;
    CHECK(run().code == OutcomeCode::Unknown);
    CHECK(link.OpenConnections() == 1);
  }
  SECTION("a backend server that checks no grants gets a deadline in the lease")
  {
    std::string given;
    ScriptedBackend backend([&given](const auto& aRequest, auto&) {
      given = aRequest.get_header_value("X-Deadline-Boot-Ns");
    });
    std::string address = backend.Start();
    Request request = MakeRequest("r");
    Fence fence = MakeFence();
    fence.leaseUntil = BootClock::now() + std::chrono::seconds(10);
    link.Connect(address, 10, false);
    link.Run(request, fence);
    CHECK(given == std::to_string(ToBootNanoseconds(fence.leaseUntil)));

    link.Connect(address, 10, true);
    link.Run(request, fence);
    CHECK(given == std::to_string(ToBootNanoseconds(request.deadline)));
  }
  SECTION("an answer to another request is not passed on, nor its connection")
  {
    ScriptedBackend backend([](const auto&, auto& aResponse) {
      aResponse.set_header("X-Request-Id", "other");
      aResponse.set_content("other's", "text/plain");
    });
    link.Connect(backend.Start(), 10, true);
    Outcome outcome = link.Run(MakeRequest("r"), MakeFence());
    CHECK(outcome.code == OutcomeCode::Unknown);
    CHECK(outcome.body.empty());
    CHECK(link.OpenConnections() == 0);
  }
  SECTION("an answer that ends early is unknown")
  {
    ScriptedBackend backend([](const auto&, auto& aResponse) {
      aResponse.set_content_provider(
        100, "text/plain", [](size_t, size_t, httplib::DataSink& aSink) {
          aSink.write("half", 4);
          return false;
        });
    });
    link.Connect(backend.Start(), 10, true);
    CHECK(link.Run(MakeRequest("r"), MakeFence()).code == OutcomeCode::Unknown);
    CHECK(backend.Runs() == 1);
    CHECK(link.OpenConnections() == 0);
  }
  SECTION("a connection that the server closed is replaced, not run twice")
  {
    ScriptedBackend backend([](const auto&, auto&) {});
    backend.Handlers().set_keep_alive_max_count(1);
    link.Connect(backend.Start(), 10, true);
    for (int count = 1; count <= 3; ++count) {
      CHECK(link.Run(MakeRequest("r"), MakeFence()).code == OutcomeCode::Done);
      CHECK(backend.Runs() == count);
    }
  }
  SECTION("a server that is not there means not run")
  {
    std::string address;
    {
      ScriptedBackend gone([](const auto&, auto&) {});
      address = gone.Start();
    }
    link.Connect(address, 10, true);
    CHECK(link.Run(MakeRequest("r"), MakeFence()).code == OutcomeCode::NotRun);
    CHECK(link.OpenConnections() == 0);
  }
  SECTION("a fence whose lease is over sends nothing")
  {
    ScriptedBackend backend([](const auto&, auto&) {});
    link.Connect(backend.Start(), 10, true);
    Fence fence;
    fence.leaseUntil = BootClock::now();
    CHECK(link.Run(MakeRequest("r"), fence).notOwner);
    CHECK(backend.Runs() == 0);
  }
  SECTION("a key with any bytes arrives whole and adds no header")
  {
    std::string key;
    for (int byte = 0; byte <= 255; ++byte) {
      key += static_cast<char>(byte);
    }
    key += "\r\nX-Epoch: 99\r\n%41";
    std::string received;
    size_t epochs = 0;
    ScriptedBackend backend([&](const httplib::Request& aRequest, auto&) {
      // The library decodes header values; this keeps zero bytes.
      received = aRequest.headers.find("X-Key")->second;
      epochs = aRequest.get_header_value_count("X-Epoch");
    });
    link.Connect(backend.Start(), 10, true);
    Request request = MakeRequest("r");
    request.key = key;
    CHECK(link.Run(request, MakeFence()).code == OutcomeCode::Done);
    CHECK(received == key);
    CHECK(epochs == 1);
  }
  SECTION("no more connections than announced, some kept for control")
  {
    std::promise<void> release;
    std::shared_future<void> released(release.get_future());
    std::promise<void> arrived;
    ScriptedBackend backend([&](const auto&, auto&) {
      arrived.set_value();
      released.wait();
    });
    backend.Handlers().Get("/v1/health", [](const auto&, auto& aResponse) {
      aResponse.set_content("{\"healthy\":true}", "application/json");
    });
    link.Connect(backend.Start(), 5, true);
    auto first = std::async(std::launch::async, [&link] {
      return link.Run(MakeRequest("first"), MakeFence());
    });
    arrived.get_future().wait();
    CHECK(link.Run(MakeRequest("second"), MakeFence()).code ==
          OutcomeCode::NotRun);
    CHECK(link.ReadHealth());
    CHECK(link.OpenConnections() == 2);
    release.set_value();
    CHECK(first.get().code == OutcomeCode::Done);
    CHECK(backend.Runs() == 1);
  }
}

TEST_CASE("Copies of a running request wait for its outcome", "[requests]")
{
  RequestMemory memory{ RequestTableLimits() };
  Request request = MakeRequest("r");
  request.stamp = memory.Stamp();
  RequestIdentity identity = IdentityOf(request);
  REQUIRE_FALSE(memory.Begin(identity, 0, request.deadline));
  Outcome done;
  done.code = OutcomeCode::Done;
  done.body = std::string(300 * 1024, 'x');

  SECTION("a copy and a question get it whole, however large")
  {
    auto copy = std::async(std::launch::async, [&] {
      return memory.Begin(identity, 0, request.deadline);
    });
    auto question = std::async(std::launch::async, [&] {
      return memory.Settle(identity, 0, request.deadline);
    });
    while (memory.Waiting() < 2) {
      std::this_thread::yield();
    }
    memory.End("r", done);
    CHECK(copy.get() == done);
    CHECK(question.get() == done);
  }
  SECTION("a copy past its deadline does not wait")
  {
    auto outcome = memory.Begin(identity, 0, BootClock::now());
    REQUIRE(outcome);
    CHECK(outcome->code == OutcomeCode::Unknown);
    memory.End("r", done);
  }
}

TEST_CASE("A daemon that is not there got nothing", "[requests]")
{
  RequestMemory memory{ RequestTableLimits() };
  PeerClient peers(2, memory);
  Owner owner{ 1, "127.0.0.1:1", 0 };
  Request request = MakeRequest("r");
  CHECK(peers.Forward(owner, request, false).end == CallEnd::NotSent);
  CHECK(peers.Settle(owner, request).end == CallEnd::NotSent);
}
