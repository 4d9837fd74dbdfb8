#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "http/http.h"
#include "platform/platform.h"
#include "standins/standin.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kInterval = milliseconds(4);
constexpr Duration kDeadline = milliseconds(800);

/** What a client was told of a request. */
enum class Told
{
  Nothing,
  Answered,
  NotRun,
  Unknown,
  Wrong, ///< An answer that isn't the request's own.
};

struct Run
{
  int64_t startedAt = 0;
  std::string life;
  Key key = 0;
  Fence fence = 0;
  std::string request;
};

std::vector<Run>
ReadRuns(const std::vector<std::string>& aFiles)
{
  std::vector<Run> runs;
  for (const auto& file : aFiles) {
    std::ifstream input(file);
    std::string line;
    while (std::getline(input, line)) {
      std::istringstream text(line);
      Run run;
      if (text >> run.startedAt >> run.life >> run.key >> run.fence >>
          run.request) {
        runs.push_back(run);
      }
    }
  }
  std::sort(runs.begin(), runs.end(), [](const Run& aLeft, const Run& aRight) {
    return aLeft.startedAt < aRight.startedAt;
  });
  return runs;
}

} // namespace

/** Clients that send bookings and lookups for random keys to all daemons, and
 * compare what they were told with what the backend servers ran. */
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

  void Start() { this->Next(); }

  /** Prints the outcome. @return Whether every promise was kept. */
  bool Check(const std::vector<std::string>& aRunFiles, double aLeastServed)
  {
    std::map<Told, int> counts;
    for (const auto& [id, told] : this->told) {
      ++counts[told];
    }
    auto runs = ReadRuns(aRunFiles);
    int broken = counts[Told::Wrong];
    auto complain = [&](const std::string& aText) {
      ++broken;
      std::cout << "BROKEN " << aText << std::endl;
    };
    std::map<std::string, int> runsOf;
    std::map<Key, std::pair<Fence, std::string>> holders;
    for (const auto& run : runs) {
      ++runsOf[run.request];
      auto& [fence, life] = holders[run.key];
      if (run.fence < fence || (run.fence == fence && run.life != life)) {
        complain("key " + std::to_string(run.key) + " ran at " + run.life +
                 " under fence " + std::to_string(run.fence) + " after " +
                 life + " under " + std::to_string(fence));
      }
      fence = run.fence;
      life = run.life;
    }
    for (const auto& [id, told] : this->told) {
      int count = runsOf[id];
      if (id[0] == 'b' && count > 1) {
        complain("booking " + id + " ran " + std::to_string(count) + " times");
      }
      if (told == Told::NotRun && count > 0) {
        complain(id + " was said not to have run");
      }
      if (told == Told::Answered && count == 0) {
        complain(id + " was answered and has not run");
      }
    }
    auto sent = static_cast<double>(this->told.size());
    double served = counts[Told::Answered] / std::max(1.0, sent);
    std::cout << "sent " << this->told.size() << ", answered "
              << counts[Told::Answered] << ", not run " << counts[Told::NotRun]
              << ", unknown " << counts[Told::Unknown] << ", wrong "
              << counts[Told::Wrong] << ", broken " << broken << std::endl;
    if (served < aLeastServed) {
      std::cout << "BROKEN served " << served << ", least " << aLeastServed
                << std::endl;
    }
    return broken == 0 && served >= aLeastServed;
  }

private:
  void Next()
  {
    if (BootClock::now() >= this->end) {
      return;
    }
    this->Send();
    this->timer.expires_after(kInterval);
    this->timer.async_wait([this](boost::system::error_code aError) {
      if (!aError) {
        this->Next();
      }
    });
  }

  void Send()
  {
    bool booking = this->random() % 3 == 0;
    auto id = (booking ? "b" : "l") + std::to_string(this->told.size());
    auto& outcome = this->told[id];
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
          [&outcome, id](const Result<HttpResponse>& aAnswer) {
            outcome = Judge(id, aAnswer);
          });
  }

  static Told Judge(const std::string& aId, const Result<HttpResponse>& aAnswer)
  {
    if (!aAnswer) {
      return aAnswer.error().code == ErrorCode::Unavailable ? Told::NotRun
                                                            : Told::Unknown;
    }
    if (aAnswer->result_int() == 200) {
      std::string signature((*aAnswer)[headers::kSignature]);
      bool own = aAnswer->body() == "answer to " + aId &&
                 signature.substr(signature.find(':') + 1) == aId;
      return own ? Told::Answered : Told::Wrong;
    }
    return aAnswer->result_int() == 503 ? Told::NotRun : Told::Unknown;
  }

  asio::io_context& context;
  std::vector<std::string> nodes;
  ConnectionPool pool;
  asio::steady_timer timer;
  Time end;
  std::mt19937 random{ std::random_device()() };
  std::map<std::string, Told> told;
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
  bool kept = load.Check(values["run-log"].as<std::vector<std::string>>(),
                         values["least-served"].as<double>());
  return kept ? 0 : 1;
}
