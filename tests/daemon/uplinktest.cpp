#include <thread>

#include <catch2/catch.hpp>

#include "fescuetillerd/pacedresponse.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

constexpr size_t kChunkBytes = 32 * 1024;
constexpr size_t kChunks = 4; ///< Of a download.
/** The limit of an unknown link and the chunk that exceeds it. */
constexpr uint64_t kMostInFlight = 2 * kChunkBytes;

/** Another daemon, which reads only when it is told to. */
struct Receiver
{
  explicit Receiver(asio::io_context& aContext, const Tcp::endpoint& aServer)
    : socket(aContext)
  {
    constexpr int kSmallBuffer = 4096;
    this->socket.open(Tcp::v4());
    this->socket.set_option(
      asio::socket_base::receive_buffer_size(kSmallBuffer));
    this->socket.connect(aServer);
    this->socket.non_blocking(true);
    asio::write(this->socket,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
  }

  void Read()
  {
    char bytes[kChunkBytes];
    boost::system::error_code error;
    auto size = this->socket.read_some(asio::buffer(bytes), error);
    this->received.append(bytes, size);
    this->closed = error && error != asio::error::would_block;
  }

  /** Whether the text has been sent to this daemon. */
  bool Receives(const std::string& aText)
  {
    constexpr int kRounds = 2000;
    for (int round = 0; round < kRounds; ++round) {
      this->Read();
      if (this->received.find(aText) != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    return false;
  }

  Tcp::socket socket;
  std::string received;
  bool closed = false;
};

/** A daemon that sends downloads to others. */
struct UplinkFixture
{
  asio::io_context context{ 1 };
  std::vector<std::shared_ptr<Exchange>> exchanges;
  HttpServer server{ context, [this](std::shared_ptr<Exchange> aExchange) {
                      this->exchanges.push_back(std::move(aExchange));
                    } };
  EventLog log{ "test", { 0, 0, 0 } };
  Uplink uplink{ context, log };
  std::vector<std::unique_ptr<Receiver>> receivers;
  std::vector<std::shared_ptr<PacedResponse>> responses;
  size_t accepted = 0; ///< Chunks after which the next one was requested.

  UplinkFixture()
  {
    REQUIRE(
      this->server.Listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
  }

  void Run(Duration aTime)
  {
    this->context.restart();
    this->context.run_for(aTime);
  }

  /** Runs until the condition holds, however long the process is suspended
   * meanwhile. @return Whether it holds. */
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    constexpr int kRounds = 5000;
    for (int round = 0; round < kRounds && !aCondition(); ++round) {
      this->Run(milliseconds(1));
    }
    return aCondition();
  }

  /** Another daemon sends a request. */
  std::shared_ptr<Exchange> Request()
  {
    this->receivers.push_back(
      std::make_unique<Receiver>(this->context, this->server.Address()));
    REQUIRE(this->RunUntil(
      [this] { return this->exchanges.size() == this->receivers.size(); }));
    return this->exchanges.back();
  }

  /** Another daemon sends a request whose response begins.
   * @param aLength Of its body; empty if the server does not state it. */
  std::shared_ptr<PacedResponse> Begin(
    const std::string& aClass = "download",
    std::optional<uint64_t> aLength = kChunks * kChunkBytes)
  {
    auto exchange = this->Request();
    auto response = this->uplink.Expect(
      exchange, aClass, BootClock::now() + std::chrono::seconds(10));
    exchange->onClientDisconnect = [response](ConnectionEnd) {
      response->Cancel();
    };
    ResponseHeaders headers;
    headers.message.result(200);
    headers.contentLength = aLength;
    response->OnHeaders(std::move(headers));
    this->responses.push_back(response);
    return response;
  }

  void SendChunk(PacedResponse& aResponse,
                 char aByte,
                 size_t aBytes = kChunkBytes)
  {
    // Valid until the next chunk is requested, like that of a call.
    auto chunk = std::make_shared<std::string>(aBytes, aByte);
    aResponse.OnBodyChunk(asio::buffer(*chunk),
                          [this, chunk] { ++this->accepted; });
  }

  void Download()
  {
    auto response = this->Begin();
    for (size_t index = 0; index < kChunks; ++index) {
      this->SendChunk(*response, static_cast<char>('a' + index));
    }
    response->OnBodyEnd();
  }

  uint64_t InFlight() const
  {
    uint64_t sum = 0;
    for (const auto& exchange : this->exchanges) {
      sum += exchange->BytesInFlight().value_or(0);
    }
    return sum;
  }

  /** Reads at all receivers until they have everything. */
  void ReadAll()
  {
    for (int round = 0; round < 2000 && !this->HaveAll(); ++round) {
      for (auto& receiver : this->receivers) {
        receiver->Read();
      }
      this->Run(milliseconds(1));
    }
  }

  bool HaveAll() const
  {
    for (const auto& receiver : this->receivers) {
      if (!receiver->closed && !HasDownload(*receiver)) {
        return false;
      }
    }
    return true;
  }

  static bool HasDownload(const Receiver& aReceiver)
  {
    std::string body;
    for (size_t index = 0; index < kChunks; ++index) {
      body += std::string(kChunkBytes, static_cast<char>('a' + index));
    }
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(asio::buffer(aReceiver.received), error);
    return !error && parser.is_done() && parser.get().body() == body;
  }
};

} // namespace

// Guards against calls between daemons that run out of time behind downloads,
// which took as much as each of their connections holds.
SCENARIO("Downloads to other daemons wait for the link", "[uplink]")
{
  UplinkFixture fixture;

  GIVEN("several downloads to daemons that have not read them yet")
  {
    constexpr size_t kDownloads = 6;
    for (size_t count = 0; count < kDownloads; ++count) {
      fixture.Download();
    }
    fixture.RunUntil(
      [&fixture] { return fixture.accepted == kDownloads * kChunks; });
    fixture.Run(milliseconds(50));
    THEN("little of them is in flight")
    {
      CHECK(fixture.InFlight() > 0);
      CHECK(fixture.InFlight() <= kMostInFlight);
    }
    THEN("they have been read from the server, whose slots are free")
    {
      CHECK(fixture.accepted == kDownloads * kChunks);
    }
    THEN("each of them arrives whole")
    {
      fixture.ReadAll();
      for (const auto& receiver : fixture.receivers) {
        CHECK(UplinkFixture::HasDownload(*receiver));
      }
    }
    WHEN("the first daemon disconnects")
    {
      fixture.receivers.front()->socket.close();
      fixture.Run(milliseconds(20));
      fixture.receivers.erase(fixture.receivers.begin());
      THEN("the others still get theirs")
      {
        fixture.ReadAll();
        for (const auto& receiver : fixture.receivers) {
          CHECK(UplinkFixture::HasDownload(*receiver));
        }
      }
    }
    WHEN("nobody waits for them any more")
    {
      fixture.uplink.DropExpired(BootClock::now() + std::chrono::seconds(12));
      THEN("they are dropped, and their connections are closed")
      {
        fixture.ReadAll();
        CHECK(fixture.InFlight() == 0);
        for (const auto& receiver : fixture.receivers) {
          CHECK(receiver->closed);
        }
      }
    }
    WHEN("the first daemon never reads")
    {
      auto stuck = std::move(fixture.receivers.front());
      fixture.receivers.erase(fixture.receivers.begin());
      THEN("the others get theirs after a moment")
      {
        fixture.ReadAll();
        for (const auto& receiver : fixture.receivers) {
          CHECK(UplinkFixture::HasDownload(*receiver));
        }
      }
    }
  }
  GIVEN("a short response while downloads wait")
  {
    fixture.Download();
    fixture.Download();
    auto exchange = fixture.Request();
    fixture.uplink.Expect(exchange, "call", BootClock::now())
      ->OnCompleteResponse(TextResponse(200, "short"));
    fixture.context.restart();
    fixture.context.poll();
    THEN("it is sent at once")
    {
      CHECK(fixture.receivers.back()->Receives("short"));
    }
  }
  // Guards against calls whose callers left after their time limit since the
  // server had not stated the length of its short response.
  GIVEN("a short response without a stated length while downloads wait")
  {
    fixture.Download();
    fixture.Download();
    constexpr size_t kShortBytes = 300;
    auto response = fixture.Begin("call", std::nullopt);
    fixture.SendChunk(*response, 'x', kShortBytes);
    response->OnBodyEnd();
    fixture.context.restart();
    fixture.context.poll();
    THEN("it is sent at once")
    {
      CHECK(fixture.receivers.back()->Receives(std::string(kShortBytes, 'x')));
    }
  }
  GIVEN("a response without a stated length that turns out to be long")
  {
    fixture.Download();
    fixture.Download();
    auto before = fixture.InFlight();
    auto response = fixture.Begin("call", std::nullopt);
    for (size_t index = 0; index < kChunks; ++index) {
      fixture.SendChunk(*response, static_cast<char>('a' + index));
    }
    response->OnBodyEnd();
    fixture.context.restart();
    fixture.context.poll();
    THEN("the rest of it waits behind the downloads")
    {
      CHECK(fixture.InFlight() <= before + kChunkBytes);
    }
    THEN("it arrives whole")
    {
      fixture.ReadAll();
      for (const auto& receiver : fixture.receivers) {
        CHECK(UplinkFixture::HasDownload(*receiver));
      }
    }
  }
  GIVEN("a download that breaks off")
  {
    auto response = fixture.Begin();
    fixture.SendChunk(*response, 'a');
    fixture.SendChunk(*response, 'b');
    response->OnFailure({});
    THEN("the other daemon sees that it is incomplete")
    {
      fixture.ReadAll();
      CHECK(fixture.receivers.front()->closed);
      CHECK_FALSE(UplinkFixture::HasDownload(*fixture.receivers.front()));
    }
  }
  GIVEN("a download that breaks off while it waits for the link")
  {
    fixture.Download();
    fixture.Download();
    auto response = fixture.Begin();
    fixture.SendChunk(*response, 'a');
    REQUIRE_FALSE(response->HasPassedOn());
    response->OnCompleteResponse(TextResponse(502, "in its place"));
    fixture.context.restart();
    fixture.context.poll();
    auto receiver = std::move(fixture.receivers.back());
    fixture.receivers.pop_back();
    THEN("another response takes its place, and the connection is kept")
    {
      CHECK(receiver->Receives("in its place"));
      CHECK(receiver->received.substr(0, 12) == "HTTP/1.1 502");
      CHECK_FALSE(receiver->closed);
    }
    THEN("the downloads before it arrive whole")
    {
      fixture.ReadAll();
      for (const auto& waiting : fixture.receivers) {
        CHECK(UplinkFixture::HasDownload(*waiting));
      }
    }
  }
  // Guards against a response that stays incomplete until its deadline: it
  // waited for memory, which other responses freed after its last part was
  // sent.
  GIVEN("a download whose first part finds the memory full")
  {
    auto response = fixture.Begin();
    constexpr size_t kMany = 40;
    for (size_t count = 0; count < kMany; ++count) {
      fixture.Download();
    }
    const std::string chunk(kChunkBytes, 'a');
    bool requested = false;
    response->OnBodyChunk(asio::buffer(chunk),
                          [&requested] { requested = true; });
    fixture.Run(milliseconds(20));
    REQUIRE_FALSE(requested);
    THEN("its next part is requested once others are sent")
    {
      CHECK(fixture.RunUntil([&] {
        for (auto& receiver : fixture.receivers) {
          receiver->Read();
        }
        return requested;
      }));
    }
  }
  GIVEN("more downloads than a daemon keeps in memory")
  {
    constexpr size_t kMany = 40;
    for (size_t count = 0; count < kMany; ++count) {
      fixture.Download();
    }
    THEN("servers wait until some of them are sent")
    {
      CHECK(fixture.accepted < kMany * kChunks);
      fixture.ReadAll();
      for (const auto& receiver : fixture.receivers) {
        CHECK(UplinkFixture::HasDownload(*receiver));
      }
    }
  }
}
