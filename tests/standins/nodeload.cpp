#include <iostream>
#include <random>

#include "http/http.h"
#include "platform/platform.h"
#include "standins/runlog.h"
#include "standins/standin.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kInterval = milliseconds(4);
constexpr Duration kDeadline = milliseconds(800);

/** Outcome of a request, as its client sees it. */
enum class Outcome
{
  None,          ///< No response yet.
  Answered,      ///< The response of the backend server arrived.
  NotRun,        ///< Refused, or not sent; the request must not have run.
  Unknown,       ///< The request may have run.
  WrongResponse, ///< The response belongs to another request.
};

} // namespace

/** Sends bookings and lookups for random keys to all daemons and compares the
 * responses with the requests that the backend servers ran. */
class NodeLoad
{
public:
  NodeLoad(asio::io_context& aContext,
           std::vector<std::string> aNodes,
           Duration aTime)
    : context(aContext)
    , nodes(std::move(aNodes))
    , pool(aContext)
    , timer(aContext)
    , end(BootClock::now() + aTime)
  {
  }

  void Start() { this->SendPeriodically(); }

  /**
   * Checks that the runs agree with the responses and prints a summary.
   * No booking runs twice, a refused request does not run, an answered request
   * has run, and the fencing token of a key grows with each change of its
   * server.
   * @param aLeastServed Share of the requests that must be answered.
   * @return Whether all checks passed.
   */
  bool CheckRuns(const std::vector<std::string>& aRunFiles, double aLeastServed)
  {
    std::map<Outcome, int> counts;
    for (const auto& [id, outcome] : this->outcomes) {
      ++counts[outcome];
    }
    auto runs = ReadRuns(aRunFiles);
    int violations = counts[Outcome::WrongResponse];
    auto reportViolation = [&](const std::string& aText) {
      ++violations;
      std::cout << "BROKEN " << aText << std::endl;
    };
    std::map<std::string, int> runsOf;
    std::map<Key, std::pair<Fence, std::string>> latestRuns;
    for (const auto& run : runs) {
      ++runsOf[run.request];
      auto& [fence, incarnation] = latestRuns[run.key];
      if (run.fence < fence ||
          (run.fence == fence && run.incarnation != incarnation)) {
        reportViolation("key " + std::to_string(run.key) + " ran at " +
                        run.incarnation + " under fence " +
                        std::to_string(run.fence) + " after " + incarnation +
                        " under " + std::to_string(fence));
      }
      fence = run.fence;
      incarnation = run.incarnation;
    }
    for (const auto& [id, outcome] : this->outcomes) {
      int count = runsOf[id];
      if (id[0] == 'b' && count > 1) {
        reportViolation("booking " + id + " ran " + std::to_string(count) +
                        " times");
      }
      if (outcome == Outcome::NotRun && count > 0) {
        reportViolation(id + " was reported as not run, but has run");
      }
      if (outcome == Outcome::Answered && count == 0) {
        reportViolation(id + " was answered, but has not run");
      }
    }
    auto sent = static_cast<double>(this->outcomes.size());
    double served = counts[Outcome::Answered] / std::max(1.0, sent);
    std::cout << "sent " << this->outcomes.size() << ", answered "
              << counts[Outcome::Answered] << ", not run "
              << counts[Outcome::NotRun] << ", unknown "
              << counts[Outcome::Unknown] << ", wrong "
              << counts[Outcome::WrongResponse] << ", broken " << violations
              << std::endl;
    if (served < aLeastServed) {
      std::cout << "BROKEN served " << served << ", least " << aLeastServed
                << std::endl;
    }
    return violations == 0 && served >= aLeastServed;
  }

private:
  void SendPeriodically()
  {
    if (BootClock::now() >= this->end) {
      return;
    }
    this->Send();
    this->timer.expires_after(kInterval);
    this->timer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        this->SendPeriodically();
      }
    });
  }

  void Send()
  {
    bool booking = this->random() % 3 == 0;
    auto id = (booking ? "b" : "l") + std::to_string(this->outcomes.size());
    auto& outcome = this->outcomes[id];
    HttpRequest request(booking ? http::verb::post : http::verb::get,
                        (booking ? "/book/" : "/look/") + id,
                        11);
    request.set(http::field::host, "a.example");
    request.set(headers::kRequestId, id);
    request.set(headers::kKey, std::to_string(this->random() % (kLastKey + 1)));
    request.set(headers::kTimeLeft, std::to_string(ToMilliseconds(kDeadline)));
    if (booking) {
      request.body() = "booking";
    }
    request.prepare_payload();
    CallOptions callOptions;
    callOptions.timeout = kDeadline + seconds(1);
    const auto& node = this->nodes[this->random() % this->nodes.size()];
    Fetch(this->pool,
          *ParseEndpoint(node),
          request,
          callOptions,
          [&outcome, id](const Result<HttpResponse>& aResult) {
            outcome = ClassifyResponse(id, aResult);
          });
  }

  static Outcome ClassifyResponse(const std::string& aId,
                                  const Result<HttpResponse>& aResult)
  {
    if (!aResult) {
      return aResult.error().code == ErrorCode::Unavailable ? Outcome::NotRun
                                                            : Outcome::Unknown;
    }
    if (aResult->result_int() == 200) {
      std::string signature((*aResult)[headers::kSignature]);
      bool own = aResult->body() == "answer to " + aId &&
                 signature.substr(signature.find(':') + 1) == aId;
      return own ? Outcome::Answered : Outcome::WrongResponse;
    }
    return aResult->result_int() == 503 ? Outcome::NotRun : Outcome::Unknown;
  }

  asio::io_context& context;
  std::vector<std::string> nodes;
  ConnectionPool pool;
  asio::steady_timer timer;
  Time end;
  std::mt19937 random{ std::random_device()() };
  std::map<std::string, Outcome> outcomes;
};

} // namespace fescuetiller

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  options::options_description description(
    "Load on daemons, and a check of what their backend servers ran.");
  auto add = description.add_options();
  add("help,h", "print this text");
  add("node",
      options::value<std::vector<std::string>>()->required(),
      "a daemon's address for clients");
  add("run-log",
      options::value<std::vector<std::string>>()->required(),
      "a backend server's runs");
  add("seconds", options::value<uint32_t>()->default_value(10), "how long");
  add("least-served",
      options::value<double>()->default_value(0.9),
      "share of the requests that must be answered");
  auto values = fescuetiller::ParseOptions(aCount, aArguments, description);
  fescuetiller::asio::io_context context(1);
  fescuetiller::NodeLoad load(
    context,
    values["node"].as<std::vector<std::string>>(),
    std::chrono::seconds(values["seconds"].as<uint32_t>()));
  load.Start();
  context.run();
  bool passed = load.CheckRuns(values["run-log"].as<std::vector<std::string>>(),
                               values["least-served"].as<double>());
  return passed ? 0 : 1;
}
