#include <iostream>
#include <list>
#include <thread>

#include "standins/checkingclient.h"
#include "standins/requestaudit.h"
#include "standins/standin.h"

namespace {

/** Time for runs to end that clients no longer wait for. */
constexpr std::chrono::milliseconds kSettleTime(1000);

} // namespace

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  options::options_description description(
    "Clients that check each answer of daemons, and what servers ran.");
  auto add = description.add_options();
  add("help,h", "print this text");
  add("node",
      options::value<std::vector<std::string>>()->required(),
      "a daemon's address for clients");
  add("run-log",
      options::value<std::vector<std::string>>()->required(),
      "a backend server's runs");
  add("name",
      options::value<std::string>()->default_value("load"),
      "beginning of all requests' ids");
  add("seed", options::value<uint32_t>()->default_value(1), "for the requests");
  add("clients", options::value<uint32_t>()->default_value(24), "how many");
  add("old-clients",
      options::value<uint32_t>()->default_value(0),
      "further ones that speak HTTP/1.0");
  add("uploads", options::bool_switch(), "send long bookings, too");
  add("seconds", options::value<uint32_t>()->default_value(8), "how long");
  add("least-served",
      options::value<double>()->default_value(0.2),
      "share of the requests that must be answered");
  auto values = fescuetiller::ParseOptions(aCount, aArguments, description);
  auto name = values["name"].as<std::string>() + "-";
  auto newClients = values["clients"].as<uint32_t>();
  auto allClients = newClients + values["old-clients"].as<uint32_t>();
  auto end = fescuetiller::BootClock::now() +
             std::chrono::seconds(values["seconds"].as<uint32_t>());
  std::list<fescuetiller::CheckingClient> clients;
  std::list<std::thread> threads;
  for (uint32_t i = 0; i < allClients; ++i) {
    fescuetiller::CheckingClientOptions settings;
    settings.name = name + std::to_string(i);
    settings.nodes = values["node"].as<std::vector<std::string>>();
    // Neighbouring seeds of runs must not share their clients' seeds.
    settings.seed = values["seed"].as<uint32_t>() * 1000 + i;
    settings.old = i >= newClients;
    settings.uploads = values["uploads"].as<bool>();
    auto& client = clients.emplace_back(settings);
    threads.emplace_back([&client, end] { client.Run(end); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  std::this_thread::sleep_for(kSettleTime);
  fescuetiller::RequestAudit audit(name);
  for (const auto& client : clients) {
    audit.Add(client.Requests());
  }
  auto runs =
    fescuetiller::ReadRuns(values["run-log"].as<std::vector<std::string>>());
  return audit.Report(runs, values["least-served"].as<double>(), std::cout) ? 0
                                                                            : 1;
}
