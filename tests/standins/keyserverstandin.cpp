#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>

#include <boost/algorithm/string/join.hpp>
#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <nlohmann/json.hpp>

#include "http/http.h"
#include "platform/platform.h"
#include "standins/answerbody.h"
#include "standins/faultyserver.h"
#include "standins/standin.h"

namespace fescuetiller {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/** Interval of heartbeats while there are freed ranges to report. */
constexpr Duration kFastHeartbeat = milliseconds(100);
constexpr Duration kResponseTimeout = milliseconds(1000);
/** Where the faults of all further answers are posted. */
constexpr const char* kFaultsPath = "/standin/faults";

} // namespace

/** Settings of a stand-in of a backend server. */
struct KeyServerOptions
{
  std::string service;
  std::string daemon;  ///< Address that heartbeats are sent to.
  std::string address; ///< Where it listens for requests.
  uint32_t slots = 6;  ///< Requests that run at the same time.
  /** Range of the time that a request takes. */
  int64_t leastWorkMs = 10;
  int64_t mostWorkMs = 10;
  Duration heartbeat = milliseconds(300); ///< Interval of heartbeats.
  std::string runLog;             ///< File that all runs are appended to.
  std::string requestLimit = "5"; ///< See ToggleRequestLimit; per second.
  /** Requests with this body end the process when their work is done; empty:
   * none do. */
  std::string fatalBody;
  std::string faults; ///< See AnswerFaults::Parse.
  uint32_t seed = 1;  ///< For the faults and the time that requests take.
};

/**
 * A backend server that owns keys, as the platform's protocol describes it. It
 * logs each request that it runs: boot time in nanoseconds, incarnation, key,
 * fencing token, request id.
 */
class KeyServerStandIn
{
public:
  KeyServerStandIn(asio::io_context& aContext, KeyServerOptions aOptions)
    : context(aContext)
    , options(std::move(aOptions))
    , server(
        aContext,
        [this](const HttpRequest& aRequest, FaultyServer::Respond aRespond) {
          this->HandleRequest(aRequest, std::move(aRespond));
        })
    , pool(aContext)
    , timer(aContext)
    , runLog(options.runLog, std::ios::app)
    , id("i-" + std::to_string(ToBootNanoseconds(BootClock::now())))
    , random(options.seed)
  {
    this->server.SetSeed(this->options.seed);
  }

  Result<void> Start()
  {
    auto address = ParseEndpoint(this->options.address);
    if (!address) {
      return tl::unexpected(address.error());
    }
    auto faults = AnswerFaults::Parse(this->options.faults);
    if (!faults) {
      return tl::unexpected(faults.error());
    }
    this->server.SetFaults(*faults);
    auto listening = this->server.Listen(*address);
    if (listening) {
      this->SendHeartbeat();
    }
    return listening;
  }

  /** States the request limit in all further responses, or no longer does. */
  void ToggleRequestLimit() { this->statesLimit = !this->statesLimit; }

  /** States in all further responses that it is about to shut down. */
  void StateLeaving() { this->statesLeaving = true; }

private:
  /** A range that the daemon has granted to this server. */
  struct Grant
  {
    KeyRange range;
    Fence fence = 0;
    Time expiry;
  };

  /** Returns nullptr when no valid grant contains the key. */
  const Grant* FindGrant(Key aKey) const
  {
    for (const auto& each : this->grants) {
      if (each.range.Contains(aKey) && each.expiry > BootClock::now()) {
        return &each;
      }
    }
    return nullptr;
  }

  void Reject(const HttpRequest& aRequest,
              const FaultyServer::Respond& aRespond,
              unsigned aStatus)
  {
    auto response = TextResponse(aStatus, "");
    response.set(headers::kNotExecuted, "1");
    response.set(headers::kRequestId, aRequest[headers::kRequestId]);
    this->Respond(aRespond, std::move(response));
  }

  void Respond(const FaultyServer::Respond& aRespond, HttpResponse aResponse)
  {
    if (this->statesLimit) {
      aResponse.set(headers::kRequestLimit, this->options.requestLimit);
    }
    if (this->statesLeaving) {
      aResponse.set(headers::kLeaving, headers::kIsLeaving);
    }
    aRespond(std::move(aResponse));
  }

  void SetFaults(const HttpRequest& aRequest,
                 const FaultyServer::Respond& aRespond)
  {
    auto faults = AnswerFaults::Parse(aRequest.body());
    if (!faults) {
      aRespond(TextResponse(400, ToString(faults.error()) + "\n"));
      return;
    }
    aRespond(TextResponse(200, ""));
    this->server.SetFaults(*faults);
  }

  void HandleRequest(const HttpRequest& aRequest,
                     FaultyServer::Respond aRespond)
  {
    if (aRequest.target() == kFaultsPath) {
      this->SetFaults(aRequest, aRespond);
      return;
    }
    Key key = 0;
    const Grant* grant = nullptr;
    if (boost::conversion::try_lexical_convert(
          std::string(aRequest[headers::kKey]), key)) {
      grant = this->FindGrant(key);
    }
    if (aRequest[headers::kTargetServer] != this->id || grant == nullptr) {
      this->Reject(aRequest, aRespond, 421);
      return;
    }
    if (this->running >= this->options.slots) {
      this->Reject(aRequest, aRespond, 503);
      return;
    }
    ++this->running;
    std::string requestId(aRequest[headers::kRequestId]);
    this->runLog << ToBootNanoseconds(BootClock::now()) << ' ' << this->id
                 << ' ' << key << ' ' << grant->fence << ' ' << requestId
                 << std::endl;
    size_t bodyBytes = 0; // Stays so without the header field.
    boost::conversion::try_lexical_convert(
      std::string(aRequest[kBodyBytesField]), bodyBytes);
    bool isFatal = !this->options.fatalBody.empty() &&
                   aRequest.body() == this->options.fatalBody;
    auto work = std::make_shared<asio::steady_timer>(this->context);
    work->expires_after(milliseconds(std::uniform_int_distribution<int64_t>(
      this->options.leastWorkMs, this->options.mostWorkMs)(this->random)));
    work->async_wait([this,
                      respond = std::move(aRespond),
                      work,
                      requestId,
                      bodyBytes,
                      isFatal](boost::system::error_code) {
      if (isFatal) {
        std::_Exit(EXIT_FAILURE);
      }
      --this->running;
      auto response = TextResponse(200, AnswerBody(requestId, bodyBytes));
      response.set(headers::kRequestId, requestId);
      response.set(headers::kSignature, this->id + ":" + requestId);
      this->Respond(respond, std::move(response));
    });
  }

  void SendHeartbeat()
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
    for (const auto& each : this->grants) {
      if (each.expiry > BootClock::now()) {
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
    callOptions.timeout = kResponseTimeout;
    auto sentAt = BootClock::now();
    Fetch(this->pool,
          *ParseEndpoint(this->options.daemon),
          request,
          callOptions,
          [this, sentAt](const Result<HttpResponse>& aResult) {
            if (aResult && aResult->result_int() == 200) {
              this->ApplyHeartbeatResponse(sentAt,
                                           json::parse(aResult->body()));
            }
            this->ScheduleHeartbeat(
              this->freed.empty() ? this->options.heartbeat : kFastHeartbeat);
          });
  }

  void ScheduleHeartbeat(Duration aPause)
  {
    this->timer.expires_after(aPause);
    this->timer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        this->SendHeartbeat();
      }
    });
  }

  void ApplyHeartbeatResponse(Time aSentAt, const json& aResponse)
  {
    if (!aResponse.contains("holds")) {
      return;
    }
    auto expiry =
      aSentAt +
      *ParseDuration(aResponse.at("hold_time").get<std::string>(), "hold");
    std::vector<Grant> granted;
    for (const auto& row : aResponse.at("holds")) {
      granted.push_back({ { row.at(0).get<Key>(), row.at(1).get<Key>() },
                          row.at(2).get<Fence>(),
                          expiry });
    }
    for (const auto& each : this->grants) {
      std::vector<KeyRange> released{ each.range };
      for (const auto& other : granted) {
        released = Subtract(released, other.range);
      }
      this->freed.insert(this->freed.end(), released.begin(), released.end());
    }
    this->grants = std::move(granted);
  }

  asio::io_context& context;
  KeyServerOptions options;
  FaultyServer server;
  ConnectionPool pool;
  asio::steady_timer timer;
  std::ofstream runLog;
  std::string id;
  std::mt19937 random;
  std::vector<Grant> grants;
  std::vector<KeyRange> freed;
  uint64_t sequence = 0;
  uint32_t running = 0;
  bool statesLimit = false;
  bool statesLeaving = false;
};

/** Calls aHandler whenever the process gets a signal. */
void
OnSignal(asio::signal_set& aSignals, std::function<void()> aHandler)
{
  aSignals.async_wait([&aSignals, handler = std::move(aHandler)](
                        boost::system::error_code aError, int) {
    if (!aError) {
      handler();
      OnSignal(aSignals, handler);
    }
  });
}

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
  add("service",
      options::value(&settings.service)->required(),
      "name of its service");
  add("daemon",
      options::value(&settings.daemon)->required(),
      "address of the daemon");
  add("address",
      options::value(&settings.address)->required(),
      "address to listen on");
  add("run-log",
      options::value(&settings.runLog)->required(),
      "file for the log of runs");
  add("request-limit",
      options::value(&settings.requestLimit),
      "requests per second that it states as its limit after SIGUSR1");
  add("fatal-body",
      options::value(&settings.fatalBody),
      "requests with this body end the process");
  add("fault",
      options::value<std::vector<std::string>>(),
      "NAME:SHARE, a fault of its answers; may be given several times");
  add("seed", options::value(&settings.seed), "for the faults");
  add("least-work-ms",
      options::value(&settings.leastWorkMs),
      "shortest time that a request takes");
  add("most-work-ms",
      options::value(&settings.mostWorkMs),
      "longest time that a request takes");
  auto values = fescuetiller::ParseOptions(aCount, aArguments, description);
  options::notify(values);
  if (values.count("fault") != 0) {
    settings.faults = boost::algorithm::join(
      values["fault"].as<std::vector<std::string>>(), ",");
  }
  fescuetiller::asio::io_context context(1);
  fescuetiller::KeyServerStandIn server(context, settings);
  auto started = server.Start();
  if (!started) {
    std::cerr << started.error() << std::endl;
    return 1;
  }
  fescuetiller::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { context.stop(); });
  fescuetiller::asio::signal_set limitSignals(context, SIGUSR1);
  fescuetiller::OnSignal(limitSignals, [&] { server.ToggleRequestLimit(); });
  fescuetiller::asio::signal_set leavingSignals(context, SIGUSR2);
  fescuetiller::OnSignal(leavingSignals, [&] { server.StateLeaving(); });
  context.run();
  return 0;
}
