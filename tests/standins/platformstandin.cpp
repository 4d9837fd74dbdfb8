#include <atomic>
#include <iostream>
#include <random>
#include <thread>

#include <httplib.h>

#include "fescuetillerd/httpserver.h"
#include "standins/memorytablestore.h"
#include "standins/standin.h"
#include "wire/wire.h"

namespace fescuetiller {

namespace {

namespace options = boost::program_options;

constexpr size_t kThreads = 64;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusNotFound = 404;

/** The platform: table service, object store and fault switches over HTTP. */
class PlatformStandIn
{
public:
  void Install(httplib::Server& aServer)
  {
    aServer.Post("/v1/transact", [this](const auto& aRequest, auto& aResponse) {
      this->Transact(aRequest, aResponse);
    });
    aServer.Post("/v1/read", [this](const auto& aRequest, auto& aResponse) {
      this->Read(aRequest, aResponse);
    });
    aServer.Put(R"(/v1/objects/(.+))",
                [this](const auto& aRequest, auto& aResponse) {
                  this->PutObject(aRequest, aResponse);
                });
    aServer.Get(R"(/v1/objects/(.+))",
                [this](const auto& aRequest, auto& aResponse) {
                  this->GetObject(aRequest, aResponse);
                });
    aServer.Post("/faults", [this](const auto& aRequest, auto& aResponse) {
      this->SetFaults(aRequest, aResponse);
    });
    aServer.Get("/counters", [this](const auto&, auto& aResponse) {
      aResponse.set_content("writes=" + std::to_string(this->writes) +
                              "\nreads=" + std::to_string(this->reads) + "\n",
                            "text/plain");
    });
  }

private:
  wire::FaultSwitches Faults()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->faults;
  }

  bool Refuse(httplib::Response& aResponse)
  {
    auto switches = this->Faults();
    std::this_thread::sleep_for(
      std::chrono::milliseconds(switches.latency_ms()));
    if (switches.outage()) {
      aResponse.status = kStatusUnavailable;
    }
    return switches.outage();
  }

  bool LoseAnswer()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    std::uniform_real_distribution<double> share(0, 1);
    return share(this->random) < this->faults.lose_answer_share();
  }

  void Transact(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    wire::TransactRequest request;
    if (this->Refuse(aResponse) || !Parse(aRequest, request, aResponse)) {
      return;
    }
    ++this->writes;
    auto result = this->store.Transact(FromWire(request));
    if (this->LoseAnswer()) {
      aResponse.status = 500;
      return;
    }
    wire::TransactResponse response;
    response.set_committed(result->committed);
    response.set_revision(result->revision);
    for (const auto& row : result->conflicts) {
      *response.add_conflicts() = ToWire(row);
    }
    aResponse.set_content(ToJson(response), "application/json");
  }

  void Read(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    wire::ReadRequest request;
    if (this->Refuse(aResponse) || !Parse(aRequest, request, aResponse)) {
      return;
    }
    ++this->reads;
    std::vector<RowKey> keys;
    for (const auto& key : request.keys()) {
      keys.push_back({ request.table(), key });
    }
    auto result =
      keys.empty()
        ? this->store.ReadChanges(request.table(), request.since_revision())
        : this->store.ReadRows(keys);
    wire::ReadResponse response;
    response.set_revision(result->revision);
    for (const auto& row : result->rows) {
      *response.add_rows() = ToWire(row);
    }
    aResponse.set_content(ToJson(response), "application/json");
  }

  void PutObject(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    if (this->Refuse(aResponse)) {
      return;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    this->objects[aRequest.matches[1]] = aRequest.body;
  }

  void GetObject(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    if (this->Refuse(aResponse)) {
      return;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    auto found = this->objects.find(aRequest.matches[1]);
    if (found == this->objects.end()) {
      aResponse.status = kStatusNotFound;
      return;
    }
    aResponse.set_content(found->second, "application/octet-stream");
  }

  void SetFaults(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    wire::FaultSwitches switches;
    if (Parse(aRequest, switches, aResponse)) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->faults = switches;
    }
  }

  static bool Parse(const httplib::Request& aRequest,
                    google::protobuf::Message& aMessage,
                    httplib::Response& aResponse)
  {
    auto parsed = FromJson(aRequest.body, aMessage, aRequest.remote_addr);
    if (!parsed) {
      aResponse.status = 400;
      aResponse.set_content(ToString(parsed.error()) + "\n", "text/plain");
    }
    return parsed.has_value();
  }

  std::mutex mutex;
  MemoryTableStore store;
  wire::FaultSwitches faults;
  std::mt19937 random{ 1 };
  std::map<std::string, std::string> objects;
  std::atomic<uint64_t> writes{ 0 };
  std::atomic<uint64_t> reads{ 0 };
};

} // namespace

} // namespace fescuetiller

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  options::options_description description("Stand-in of the platform.");
  auto add = description.add_options();
  add("help,h", "print this text");
  add("port", options::value<uint16_t>()->default_value(0), "0: any free port");
  add("ports-file",
      options::value<std::string>()->required(),
      "where the port is written");
  auto values = fescuetiller::ParseOptions(aCount, aArguments, description);
  fescuetiller::BlockStopSignals();
  fescuetiller::PlatformStandIn platform;
  fescuetiller::HttpServer server(fescuetiller::kThreads);
  platform.Install(server.Handlers());
  auto port = server.Start("127.0.0.1", values["port"].as<uint16_t>());
  if (!port) {
    std::cerr << port.error() << std::endl;
    return 1;
  }
  fescuetiller::WritePort(values["ports-file"].as<std::string>(), *port);
  fescuetiller::WaitForStopSignal();
  return 0;
}
