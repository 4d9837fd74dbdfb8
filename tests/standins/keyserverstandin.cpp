#include <fstream>
#include <iostream>

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <nlohmann/json.hpp>

#include "http/http.h"
#include "platform/platform.h"
#include "standins/standin.h"

namespace fescuetiller {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration kFastHeartbeat = milliseconds(100);
constexpr Duration kReplyTimeout = milliseconds(1000);

} // namespace

/** What a stand-in of a backend server is told at its start. */
struct KeyServerOptions
{
  std::string service;
  std::string daemon; ///< Takes its heartbeats.
  std::string address;
  uint32_t slots = 6;
  Duration work = milliseconds(10);
  Duration heartbeat = milliseconds(300);
  std::string runLog;
};

/**
 * A backend server that owns keys, as the platform's protocol describes it. It
 * writes each run down: boot time in nanoseconds, life, key, fence, request id.
 */
class KeyServerStandIn
{
public:
  KeyServerStandIn(asio::io_context& aContext, KeyServerOptions aOptions)
    : context(aContext)
    , options(std::move(aOptions))
    , server(aContext,
             [this](const std::shared_ptr<Exchange>& aExchange) {
               this->Serve(aExchange);
             })
    , pool(aContext)
    , timer(aContext)
    , runs(options.runLog, std::ios::app)
    , id("i-" + std::to_string(ToBootNanoseconds(BootClock::now())))
  {
  }

  Result<void> Start()
  {
    auto address = ParseEndpoint(this->options.address);
    if (!address) {
      return tl::unexpected(address.error());
    }
    auto listening = this->server.Listen(*address);
    if (listening) {
      this->Beat();
    }
    return listening;
  }

private:
  struct Held
  {
    KeyRange range;
    Fence fence = 0;
    Time until;
  };

  const Held* Find(Key aKey) const
  {
    for (const auto& each : this->held) {
      if (each.range.Contains(aKey) && each.until > BootClock::now()) {
        return &each;
      }
    }
    return nullptr;
  }

  void Refuse(const std::shared_ptr<Exchange>& aExchange, unsigned aStatus)
  {
    auto response = TextResponse(aStatus, "");
    response.set(headers::kNotExecuted, "1");
    response.set(headers::kRequestId, aExchange->request[headers::kRequestId]);
    aExchange->Respond(response);
  }

  void Serve(const std::shared_ptr<Exchange>& aExchange)
  {
    const auto& request = aExchange->request;
    Key key = 0;
    const Held* holding = nullptr;
    if (boost::conversion::try_lexical_convert(
          std::string(request[headers::kKey]), key)) {
      holding = this->Find(key);
    }
    if (request[headers::kTargetServer] != this->id || holding == nullptr) {
      this->Refuse(aExchange, 421);
      return;
    }
    if (this->running >= this->options.slots) {
      this->Refuse(aExchange, 503);
      return;
    }
    ++this->running;
    std::string requestId(request[headers::kRequestId]);
    this->runs << ToBootNanoseconds(BootClock::now()) << ' ' << this->id << ' '
               << key << ' ' << holding->fence << ' ' << requestId << std::endl;
    auto work = std::make_shared<asio::steady_timer>(this->context);
    work->expires_after(this->options.work);
    work->async_wait(
      [this, aExchange, work, requestId](boost::system::error_code) {
        --this->running;
        auto response = TextResponse(200, "answer to " + requestId);
        response.set(headers::kRequestId, requestId);
        response.set(headers::kSignature, this->id + ":" + requestId);
        aExchange->Respond(response);
      });
  }

  void Beat()
  {
    json body = { { "service", this->options.service },
                  { "address", this->options.address },
                  { "zone", "a" },
                  { "version", "v1" },
                  { "slots", this->options.slots },
                  { "state", "ready" },
                  { "seq", ++this->sequence },
                  { "cold", "0ms" },
                  { "holds", json::array() },
                  { "freed", json::array() } };
    for (const auto& each : this->held) {
      if (each.until > BootClock::now()) {
        body["holds"].push_back(
          { each.range.first, each.range.last, each.fence });
      }
    }
    for (const auto& range : std::exchange(this->freed, {})) {
      body["freed"].push_back({ range.first, range.last, "h" });
    }
    HttpRequest request(
      http::verb::post, "/v1/instances/" + this->id + "/heartbeat", 11);
    request.set(http::field::host, this->options.daemon);
    request.body() = body.dump();
    request.prepare_payload();
    CallOptions callOptions;
    callOptions.timeout = kReplyTimeout;
    auto sentAt = BootClock::now();
    Fetch(this->pool,
          *ParseEndpoint(this->options.daemon),
          request,
          callOptions,
          [this, sentAt](const Result<HttpResponse>& aAnswer) {
            if (aAnswer && aAnswer->result_int() == 200) {
              this->TakeReply(sentAt, json::parse(aAnswer->body()));
            }
            this->BeatAgain(this->freed.empty() ? this->options.heartbeat
                                                : kFastHeartbeat);
          });
  }

  void BeatAgain(Duration aPause)
  {
    this->timer.expires_after(aPause);
    this->timer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        this->Beat();
      }
    });
  }

  void TakeReply(Time aSentAt, const json& aReply)
  {
    if (!aReply.contains("holds")) {
      return;
    }
    auto until = aSentAt + *ParseDuration(
                             aReply.at("hold_time").get<std::string>(), "hold");
    std::vector<Held> taken;
    for (const auto& row : aReply.at("holds")) {
      taken.push_back({ { row.at(0).get<Key>(), row.at(1).get<Key>() },
                        row.at(2).get<Fence>(),
                        until });
    }
    for (const auto& each : this->held) {
      std::vector<KeyRange> left{ each.range };
      for (const auto& other : taken) {
        left = Subtract(left, other.range);
      }
      this->freed.insert(this->freed.end(), left.begin(), left.end());
    }
    this->held = std::move(taken);
  }

  asio::io_context& context;
  KeyServerOptions options;
  HttpServer server;
  ConnectionPool pool;
  asio::steady_timer timer;
  std::ofstream runs;
  std::string id;
  std::vector<Held> held;
  std::vector<KeyRange> freed;
  uint64_t sequence = 0;
  uint32_t running = 0;
};

} // namespace fescuetiller

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  options::options_description description(
    "Stand-in of a backend server that owns keys.");
  fescuetiller::KeyServerOptions settings;
  auto add = description.add_options();
  add("help,h", "print this text");
  add("service", options::value(&settings.service)->required(), "its service");
  add("daemon",
      options::value(&settings.daemon)->required(),
      "takes its heartbeats");
  add("address", options::value(&settings.address)->required(), "its own");
  add("run-log", options::value(&settings.runLog)->required(), "its runs");
  auto values = fescuetiller::ParseOptions(aCount, aArguments, description);
  options::notify(values);
  fescuetiller::asio::io_context context(1);
  fescuetiller::KeyServerStandIn server(context, settings);
  auto started = server.Start();
  if (!started) {
    std::cerr << started.error() << std::endl;
    return 1;
  }
  fescuetiller::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { context.stop(); });
  context.run();
  return 0;
}
