#include <iostream>
#include <list>
#include <thread>

#include "standins/pipelineaudit.h"
#include "standins/requestaudit.h"
#include "standins/standin.h"

namespace fescuetiller {

namespace {

/** Time for runs to end that clients no longer wait for. */
constexpr Duration kSettleTime = std::chrono::milliseconds(300);
constexpr Duration kStallInterval = std::chrono::milliseconds(5);

/** Measures how late the load's own thread runs. */
class StallWatch
{
public:
  explicit StallWatch(asio::io_context& aContext)
    : timer(aContext)
  {
  }

  void Start(Time aEnd)
  {
    auto due = BootClock::now() + kStallInterval;
    this->timer.expires_after(kStallInterval);
    this->timer.async_wait([this, aEnd, due](boost::system::error_code) {
      auto now = BootClock::now();
      this->longest = std::max(this->longest, now - due);
      if (now < aEnd) {
        this->Start(aEnd);
      }
    });
  }

  Duration Longest() const { return this->longest; }

private:
  asio::steady_timer timer;
  Duration longest = Duration(0);
};

std::list<PipeliningClient>
MakeClients(asio::io_context& aContext,
            const boost::program_options::variables_map& aValues,
            Time aEnd)
{
  auto nodes = aValues["node"].as<std::vector<std::string>>();
  std::list<PipeliningClient> clients;
  for (uint32_t i = 0; i < aValues["clients"].as<uint32_t>(); ++i) {
    PipeliningClientOptions options;
    options.name = aValues["name"].as<std::string>() + "-" + std::to_string(i);
    options.node = *ParseEndpoint(nodes[i % nodes.size()]);
    options.address =
      aValues["network"].as<std::string>() + "." + std::to_string(i + 1);
    // Neighbouring seeds of runs must not share their clients' seeds.
    options.seed = aValues["seed"].as<uint32_t>() * 1000 + i;
    options.end = aEnd;
    options.longBytes = aValues["long-bytes"].as<size_t>();
    clients.emplace_back(aContext, options).Start();
  }
  return clients;
}

bool
Check(const std::list<PipeliningClient>& aClients,
      const boost::program_options::variables_map& aValues)
{
  auto files = [&aValues](const char* aName) {
    return aValues[aName].as<std::vector<std::string>>();
  };
  PipelineAudit::Logs logs{ ReadRuns(files("run-log")),
                            ReadAnswerTimes(files("server-log")),
                            ReadAgesAtEnd(files("daemon-log")) };
  RequestAudit audit(aValues["name"].as<std::string>() + "-");
  PipelineAudit pipelines(
    logs,
    std::chrono::milliseconds(aValues["least-timeout-ms"].as<uint32_t>()));
  for (const auto& client : aClients) {
    std::vector<CheckedRequest> requests;
    for (const auto& request : client.Requests()) {
      requests.push_back(request.checked);
      pipelines.Add(request);
    }
    audit.Add(requests);
  }
  bool answersRight =
    audit.Report(logs.runs, aValues["least-served"].as<double>(), std::cout);
  return pipelines.Report(std::cout) && answersRight;
}

} // namespace

} // namespace fescuetiller

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  options::options_description description(
    "Clients that send further lookups before they have the first answer, and "
    "check how their connections end.");
  auto add = description.add_options();
  add("help,h", "print this text");
  add("node",
      options::value<std::vector<std::string>>()->required(),
      "a daemon's address for clients");
  add("run-log",
      options::value<std::vector<std::string>>()->required(),
      "a backend server's runs");
  add("server-log",
      options::value<std::vector<std::string>>()->required(),
      "what a backend server with faults wrote");
  add("daemon-log",
      options::value<std::vector<std::string>>()->required(),
      "the log of a daemon");
  add("network",
      options::value<std::string>()->required(),
      "the first three numbers of the clients' addresses");
  add("name",
      options::value<std::string>()->default_value("load"),
      "beginning of all requests' ids");
  add("seed", options::value<uint32_t>()->default_value(1), "for the requests");
  add("clients", options::value<uint32_t>()->default_value(24), "how many");
  add("seconds", options::value<uint32_t>()->default_value(4), "how long");
  add("long-bytes",
      options::value<size_t>()->default_value(24000),
      "size of long answers");
  add("least-timeout-ms",
      options::value<uint32_t>()->default_value(300),
      "shortest timeout of the route");
  add("least-served",
      options::value<double>()->default_value(0.4),
      "share of the requests that must be answered");
  auto values = fescuetiller::ParseOptions(aCount, aArguments, description);
  options::notify(values);
  auto end = fescuetiller::BootClock::now() +
             std::chrono::seconds(values["seconds"].as<uint32_t>());
  fescuetiller::asio::io_context context(1);
  fescuetiller::StallWatch stalls(context);
  stalls.Start(end);
  auto clients = fescuetiller::MakeClients(context, values, end);
  context.run();
  std::this_thread::sleep_for(fescuetiller::kSettleTime);
  bool passed = fescuetiller::Check(clients, values);
  std::cout << "longest stall of the clients "
            << fescuetiller::ToMilliseconds(stalls.Longest()) << " ms"
            << std::endl;
  return passed ? 0 : 1;
}
