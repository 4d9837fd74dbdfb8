#include <cstdlib>
#include <deque>
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
/** Where the milliseconds are posted for which it becomes cold; 0: warm. */
constexpr const char* kColdPath = "/standin/cold";
/** How often it is decided whether the machine is slow. */
constexpr Duration kNoiseInterval = milliseconds(400);
/** How much longer work takes on a slow machine, in percent. */
constexpr int64_t kSlowPercent = 300;
constexpr int64_t kUsualPercent = 100;

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
  int64_t coldMs = 0;      ///< How long it is cold after its start.
  double coldBound = 0;    ///< Most requests in a second while cold; 0: any.
  bool coldCrash = false;  ///< Whether it ends above that; else it logs it.
  std::string arrivalLog;  ///< File that all arrivals are appended to, if set.
  std::string healthPath;  ///< Path of the status check, if set.
  bool statesLoad = false; ///< Whether its responses state its load.
  double slowShare = 0;    ///< Share of the time in which its machine is slow.
  std::string faults;      ///< See AnswerFaults::Parse.
  uint32_t seed = 1;       ///< For the faults and the time that requests take.
};

/**
 * A backend server that owns keys, as the platform's protocol describes it. It
 * logs each request that it runs: boot time in nanoseconds, incarnation, key,
 * fencing token, request id. Work goes on when its caller leaves. The log of
 * arrivals has a line for each request, status checks included, but none that
 * was not meant for it: boot time in nanoseconds, "cold" or "warm", request id.
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
    , noiseTimer(aContext)
  {
    this->BecomeCold(this->options.coldMs);
    if (!this->options.arrivalLog.empty()) {
      this->arrivalLog.open(this->options.arrivalLog, std::ios::app);
    }
    if (this->options.slowShare > 0) {
      this->ChangeSpeed();
    }
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
    if (this->options.statesLoad) {
      aResponse.set(headers::kLoad, this->LoadText());
    }
    aRespond(std::move(aResponse));
  }

  std::string LoadText() const
  {
    auto text = std::to_string(this->running) + ",0," +
                std::to_string(this->options.slots);
    if (this->options.slowShare > 0) {
      text += "," + std::to_string(this->speedPercent);
    }
    return text;
  }

  void BecomeCold(int64_t aMilliseconds)
  {
    this->coldUntil = BootClock::now() + milliseconds(aMilliseconds);
    this->coldArrivals.clear();
  }

  int64_t RemainingColdMs() const
  {
    return std::max<int64_t>(
      0, ToMilliseconds(this->coldUntil - BootClock::now()));
  }

  /** Decides at random whether the machine is slow for the next interval. */
  void ChangeSpeed()
  {
    bool slow =
      std::bernoulli_distribution(this->options.slowShare)(this->random);
    this->speedPercent = slow ? kSlowPercent : kUsualPercent;
    this->noiseTimer.expires_after(kNoiseInterval);
    this->noiseTimer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        this->ChangeSpeed();
      }
    });
  }

  /** Logs an arrival, and checks what a cold server tolerates. */
  void CountArrival(const HttpRequest& aRequest)
  {
    auto now = BootClock::now();
    bool isCold = now < this->coldUntil;
    if (this->arrivalLog.is_open()) {
      this->arrivalLog << ToBootNanoseconds(now) << ' '
                       << (isCold ? "cold" : "warm") << ' '
                       << aRequest[headers::kRequestId] << std::endl;
    }
    if (!isCold || this->options.coldBound <= 0) {
      return;
    }
    auto& arrivals = this->coldArrivals;
    arrivals.push_back(now);
    while (arrivals.front() <= now - std::chrono::seconds(1)) {
      arrivals.pop_front();
    }
    if (static_cast<double>(arrivals.size()) > this->options.coldBound) {
      std::cout << "BROKEN " << arrivals.size()
                << " requests in a second while cold" << std::endl;
      if (this->options.coldCrash) {
        std::_Exit(EXIT_FAILURE);
      }
    }
  }

  void RespondToStatusCheck(const HttpRequest& aRequest,
                            const FaultyServer::Respond& aRespond)
  {
    auto response = TextResponse(200, "");
    response.set(headers::kRequestId, aRequest[headers::kRequestId]);
    response.set(headers::kColdTime, std::to_string(this->RemainingColdMs()));
    response.set(headers::kLoad, this->LoadText());
    this->Respond(aRespond, std::move(response));
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
    if (aRequest.target() == kColdPath) {
      int64_t time = 0;
      boost::conversion::try_lexical_convert(aRequest.body(), time);
      this->BecomeCold(time);
      aRespond(TextResponse(200, ""));
      return;
    }
    if (!this->options.healthPath.empty() &&
        aRequest.target() == this->options.healthPath) {
      this->CountArrival(aRequest);
      this->RespondToStatusCheck(aRequest, aRespond);
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
    this->CountArrival(aRequest);
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
    auto workMs = std::uniform_int_distribution<int64_t>(
      this->options.leastWorkMs, this->options.mostWorkMs)(this->random);
    boost::conversion::try_lexical_convert(
      std::string(aRequest[kWorkTimeField]), workMs);
    auto work = std::make_shared<asio::steady_timer>(this->context);
    work->expires_after(
      milliseconds(workMs * this->speedPercent / kUsualPercent));
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
                  { "cold", std::to_string(this->RemainingColdMs()) + "ms" },
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
  Time coldUntil;
  std::deque<Time> coldArrivals; ///< In the last second, while cold.
  std::ofstream arrivalLog;
  asio::steady_timer noiseTimer;
  int64_t speedPercent = kUsualPercent; ///< Time that work takes.
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
  add("cold-ms",
      options::value(&settings.coldMs),
      "how long it is cold after its start");
  add("cold-bound",
      options::value(&settings.coldBound),
      "most requests in a second that it tolerates while cold");
  add("cold-crash",
      options::bool_switch(&settings.coldCrash),
      "end above that; else it is logged");
  add("arrival-log",
      options::value(&settings.arrivalLog),
      "file for the log of arrivals");
  add("health-path",
      options::value(&settings.healthPath),
      "path of the status check");
  add("states-load",
      options::bool_switch(&settings.statesLoad),
      "state the load in all responses");
  add("slow-share",
      options::value(&settings.slowShare),
      "share of the time in which its machine is slow, as it then states");
  add("slots", options::value(&settings.slots), "requests that run at once");
  add("heartbeat-ms", options::value<int64_t>(), "interval of heartbeats");
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
  if (values.count("heartbeat-ms") != 0) {
    settings.heartbeat =
      std::chrono::milliseconds(values["heartbeat-ms"].as<int64_t>());
  }
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
