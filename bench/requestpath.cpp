#include <algorithm>
#include <atomic>
#include <iomanip>
#include <iostream>
#include <thread>

#include <boost/program_options.hpp>
#include <httplib.h>

#include "base/base.h"

namespace fescuetiller {

namespace {

namespace options = boost::program_options;

struct LoadOptions
{
  std::string address;
  std::string service = "agenda";
  std::string requestClass = "lookup";
  std::string prefix = "c"; ///< Of request ids, another for each run.
  bool direct = false;      ///< To a backend server, past the daemons.
  size_t threads = 1;
  uint32_t requests = 5000; ///< Of each thread.
  size_t bodyBytes = 100;
};

/** One caller that sends its next request when the last one is answered. */
class ClosedLoopCaller
{
public:
  ClosedLoopCaller(const LoadOptions& aOptions, size_t aIndex)
    : settings(aOptions)
    , index(aIndex)
    , client("http://" + aOptions.address)
    , body(aOptions.bodyBytes, 'x')
  {
    this->client.set_keep_alive(true);
    this->client.set_tcp_nodelay(true);
  }

  void Run()
  {
    this->microseconds.reserve(this->settings.requests);
    for (uint32_t number = 0; number < this->settings.requests; ++number) {
      Time started = BootClock::now();
      bool done = this->SendOne(number);
      Duration taken = BootClock::now() - started;
      if (done) {
        this->microseconds.push_back(
          std::chrono::duration<double, std::micro>(taken).count());
      }
    }
  }

  const std::vector<double>& Microseconds() const { return this->microseconds; }

private:
  bool SendOne(uint32_t aNumber)
  {
    std::string id = this->settings.prefix + std::to_string(this->index) + "-" +
                     std::to_string(aNumber);
    std::string key = "key-" + std::to_string(aNumber);
    httplib::Headers headers = { { "X-Request-Id", id } };
    std::string path = "/v1/request/" + this->settings.service + "/" +
                       this->settings.requestClass + "?key=" + key;
    if (this->settings.direct) {
      path = "/v1/run";
      Time deadline = BootClock::now() + std::chrono::seconds(10);
      headers.emplace("X-Key", key);
      headers.emplace("X-Class", this->settings.requestClass);
      headers.emplace("X-Deadline-Boot-Ns",
                      std::to_string(ToBootNanoseconds(deadline)));
    } else {
      headers.emplace("X-Issue-Stamp", this->stamp);
      headers.emplace("X-Attempt", "1");
    }
    auto response =
      this->client.Post(path, headers, this->body, "application/octet-stream");
    if (!response) {
      return false;
    }
    this->stamp = response->get_header_value("X-Issue-Stamp");
    return response->status == 200;
  }

  const LoadOptions& settings;
  size_t index;
  httplib::Client client;
  std::string body;
  std::string stamp;
  std::vector<double> microseconds;
};

double
Quantile(const std::vector<double>& aSorted, double aShare)
{
  auto rank = static_cast<size_t>(aShare * static_cast<double>(aSorted.size()));
  return aSorted[std::min(rank, aSorted.size() - 1)];
}

int
RunLoad(const LoadOptions& aOptions)
{
  std::vector<std::unique_ptr<ClosedLoopCaller>> callers;
  for (size_t index = 0; index < aOptions.threads; ++index) {
    callers.push_back(std::make_unique<ClosedLoopCaller>(aOptions, index));
  }
  std::vector<std::thread> threads;
  threads.reserve(callers.size());
  Time started = BootClock::now();
  for (auto& caller : callers) {
    threads.emplace_back([&caller] { caller->Run(); });
  }
  std::vector<double> all;
  for (size_t index = 0; index < threads.size(); ++index) {
    threads[index].join();
    const auto& part = callers[index]->Microseconds();
    all.insert(all.end(), part.begin(), part.end());
  }
  std::chrono::duration<double> taken = BootClock::now() - started;
  if (all.empty()) {
    std::cout << "nothing was answered\n";
    return 1;
  }
  std::sort(all.begin(), all.end());
  std::cout << std::fixed << std::setprecision(0) << "answered " << all.size()
            << " of " << aOptions.threads * aOptions.requests << ", "
            << static_cast<double>(all.size()) / taken.count()
            << " a second, p50 " << Quantile(all, 0.5) << " us, p99 "
            << Quantile(all, 0.99) << " us\n";
  return 0;
}

} // namespace

} // namespace fescuetiller

int
main(int aCount, char** aArguments)
{
  using namespace fescuetiller; // NOLINT(google-build-using-namespace)
  LoadOptions load;
  options::options_description description("Closed-loop load on one address.");
  auto add = description.add_options();
  add("address", options::value(&load.address)->required(), "IP:port");
  add("service", options::value(&load.service), "service name");
  add("class", options::value(&load.requestClass), "class of work");
  add("prefix", options::value(&load.prefix), "of request ids");
  add("direct", options::bool_switch(&load.direct), "to a backend server");
  add("threads", options::value(&load.threads), "callers at once");
  add("requests", options::value(&load.requests), "of each caller");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << "requestpath: " << error.what() << std::endl;
    return 2;
  }
  return RunLoad(load);
}
