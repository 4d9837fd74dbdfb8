// Measures what requests wait for behind others, over loopback connections:
// lookups behind those that their client sent before over the same connection,
// and short responses behind downloads on a slow link.

#include <cstdio>

#include "fescuetillerd/pacedresponse.h"
#include "standins/slowlink.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMeasuredTime = seconds(5);

/** Prints the median and the 99th percentile of some times. */
void
Print(const char* aName, std::vector<Duration> aTimes)
{
  if (aTimes.empty()) {
    std::printf("%-44s no response\n", aName);
    return;
  }
  std::sort(aTimes.begin(), aTimes.end());
  std::printf(
    "%-44s %6zu requests, median %4lld ms, 99%% %4lld ms\n",
    aName,
    aTimes.size(),
    static_cast<long long>(ToMilliseconds(aTimes[aTimes.size() / 2])),
    static_cast<long long>(ToMilliseconds(aTimes[aTimes.size() * 99 / 100])));
}

/** A client that sends some lookups at once over one connection, and the next
 * ones when it has all responses. */
class PipeliningClient
{
public:
  PipeliningClient(asio::io_context& aContext, const Tcp::endpoint& aServer)
    : socket(aContext)
  {
    this->socket.connect(aServer);
  }

  void SendRound()
  {
    constexpr int kDepth = 8;
    this->sentAt = BootClock::now();
    this->missing = kDepth;
    std::string text;
    for (int count = 0; count < kDepth; ++count) {
      text += "GET /look/ HTTP/1.1\r\nHost: a.example\r\n\r\n";
    }
    asio::write(this->socket, asio::buffer(text));
    this->ReadResponse();
  }

  std::vector<Duration> times;

private:
  void ReadResponse()
  {
    this->response = {};
    http::async_read(this->socket,
                     this->buffer,
                     this->response,
                     [this](boost::system::error_code aError, size_t) {
                       if (aError) {
                         return;
                       }
                       this->times.push_back(BootClock::now() - this->sentAt);
                       if (--this->missing > 0) {
                         this->ReadResponse();
                       } else {
                         this->SendRound();
                       }
                     });
  }

  Tcp::socket socket;
  boost::beast::flat_buffer buffer;
  HttpResponse response;
  Time sentAt;
  int missing = 0;
};

void
MeasurePipelining(bool aConcurrent)
{
  constexpr Duration kWork = milliseconds(10);
  asio::io_context context(1);
  HttpServer server(context, [&](const std::shared_ptr<Exchange>& aExchange) {
    auto timer = std::make_shared<asio::steady_timer>(context, kWork);
    timer->async_wait([timer, aExchange](boost::system::error_code) {
      aExchange->Respond(TextResponse(200, "found"));
    });
  });
  if (aConcurrent) {
    server.rules.mayRunConcurrently = [](const HttpRequest&) { return true; };
  }
  if (!server.Listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0))) {
    return;
  }
  PipeliningClient client(context, server.Address());
  client.SendRound();
  context.run_for(kMeasuredTime);
  Print(aConcurrent ? "8 lookups of 10 ms at once, concurrent"
                    : "8 lookups of 10 ms at once, one by one",
        client.times);
}

/** A daemon behind a slow link, and others that ask it for downloads and short
 * responses. */
class LinkLoadTest
{
public:
  explicit LinkLoadTest(bool aPaced)
    : paced(aPaced)
  {
  }

  void Run(const char* aName)
  {
    constexpr size_t kBytesPerSecond = 1250 * 1000; // 10 Mbit/s
    constexpr int kDownloads = 8;
    if (!this->server.Listen(
          Tcp::endpoint(asio::ip::address_v4::loopback(), 0))) {
      return;
    }
    this->link =
      std::make_unique<SlowLink>(this->context, this->server.Address());
    if (!this->link->Listen()) {
      return;
    }
    this->link->SetBytesPerSecond(kBytesPerSecond);
    this->link->ShareLimit();
    for (int count = 0; count < kDownloads; ++count) {
      this->Fetch("/download", this->downloads);
    }
    this->Fetch("/call", this->calls);
    this->context.run_for(kMeasuredTime);
    Print((std::string("short calls, downloads ") + aName).c_str(),
          this->calls);
    Print((std::string("8 downloads at a time, ") + aName).c_str(),
          this->downloads);
  }

private:
  void Serve(const std::shared_ptr<Exchange>& aExchange)
  {
    if (aExchange->request.target() != "/download") {
      aExchange->Respond(TextResponse(200, "short"));
      return;
    }
    ResponseHeaders headers;
    headers.message.result(200);
    headers.contentLength = this->body.size();
    if (!this->paced) {
      aExchange->StartResponse(std::move(headers));
      aExchange->WriteChunk(asio::buffer(this->body),
                            [aExchange] { aExchange->EndResponse(); });
      return;
    }
    auto response = this->uplink.Expect(
      aExchange, "download", BootClock::now() + seconds(10));
    response->OnHeaders(std::move(headers));
    response->OnBodyChunk(asio::buffer(this->body), [] {});
    response->OnBodyEnd();
  }

  /** Sends a request, and another one 20 ms after each response. */
  void Fetch(const char* aTarget, std::vector<Duration>& aTimes)
  {
    HttpRequest request(http::verb::get, aTarget, 11);
    request.set(http::field::host, "a.example");
    CallOptions options;
    options.timeout = seconds(10);
    fescuetiller::Fetch(this->pool,
                        this->link->Address(),
                        std::move(request),
                        options,
                        [this, aTarget, &aTimes, sentAt = BootClock::now()](
                          const Result<HttpResponse>& aResponse) {
                          if (aResponse) {
                            aTimes.push_back(BootClock::now() - sentAt);
                          }
                          auto timer = std::make_shared<asio::steady_timer>(
                            this->context, milliseconds(20));
                          timer->async_wait([this, timer, aTarget, &aTimes](
                                              boost::system::error_code) {
                            this->Fetch(aTarget, aTimes);
                          });
                        });
  }

  bool paced;
  std::vector<Duration> calls;
  std::vector<Duration> downloads;
  const std::string body = std::string(90 * 1000, 'x');
  asio::io_context context{ 1 };
  ConnectionPool pool{ context };
  EventLog log{ "bench", { 0, 0, 0 } };
  Uplink uplink{ context, log };
  HttpServer server{ context,
                     [this](const std::shared_ptr<Exchange>& aExchange) {
                       this->Serve(aExchange);
                     } };
  std::unique_ptr<SlowLink> link;
};

} // namespace

int
main()
{
  MeasurePipelining(false);
  MeasurePipelining(true);
  LinkLoadTest(false).Run("unpaced");
  LinkLoadTest(true).Run("paced");
  return 0;
}
