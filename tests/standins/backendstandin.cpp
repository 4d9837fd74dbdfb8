#include <atomic>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>

#include <httplib.h>

#include "fescuetillerd/httpserver.h"
#include "standins/standin.h"
#include "wire/wire.h"

namespace fescuetiller {

namespace {

namespace options = boost::program_options;

constexpr int kStatusFenced = 409;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGaveUp = 408;
constexpr Duration kAnnounceInterval = std::chrono::milliseconds(500);
constexpr Duration kCancelCheck = std::chrono::milliseconds(2);

/** Time and answer size of one class of work. */
struct Work
{
  Duration time = std::chrono::milliseconds(5);
  size_t answerBytes = 64;
};

struct BackendOptions
{
  std::string service;
  std::string daemon;
  std::string runLog;
  uint32_t slots = 6;
  uint32_t connections = 120;
  bool checksGrant = true;
  bool crossAnswers = false;
  Duration cold = Duration(0);
  double coldFactor = 4;
  double reportedLoad = -1; ///< Below 0: the true load.
  std::map<std::string, Work> work;
};

/** Reads "class:milliseconds:bytes,...". */
std::map<std::string, Work>
ParseWork(const std::string& aText)
{
  std::map<std::string, Work> work;
  std::istringstream entries(aText);
  std::string entry;
  while (std::getline(entries, entry, ',')) {
    std::istringstream fields(entry);
    std::string name;
    std::string milliseconds;
    std::string bytes;
    std::getline(fields, name, ':');
    std::getline(fields, milliseconds, ':');
    std::getline(fields, bytes, ':');
    work[name] = { std::chrono::milliseconds(std::stoll(milliseconds)),
                   std::stoul(bytes) };
  }
  return work;
}

/** A backend server: key state, grants, slots, drain, cold start. */
class BackendStandIn
{
public:
  explicit BackendStandIn(BackendOptions aOptions)
    : settings(std::move(aOptions))
    , startedAt(BootClock::now())
    , log(settings.runLog, std::ios::app)
  {
  }

  void Install(httplib::Server& aServer)
  {
    aServer.Post("/v1/run", [this](const auto& aRequest, auto& aResponse) {
      this->Run(aRequest, aResponse);
    });
    aServer.Post("/v1/grants", [this](const auto& aRequest, auto& aResponse) {
      this->SetGrants(aRequest, aResponse);
    });
    aServer.Post("/v1/cancel", [this](const auto& aRequest, auto&) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->cancelled.insert(aRequest.get_header_value("X-Request-Id"));
    });
    aServer.Post("/v1/drain",
                 [this](const auto&, auto&) { this->draining = true; });
    aServer.Post("/v1/undrain",
                 [this](const auto&, auto&) { this->draining = false; });
    aServer.Get("/v1/health", [this](const auto&, auto& aResponse) {
      aResponse.set_content(ToJson(this->ReadHealth()), "application/json");
    });
  }

  std::string Announcement(const std::string& aAddress) const
  {
    wire::Announcement announcement;
    announcement.set_service(this->settings.service);
    announcement.set_address(aAddress);
    announcement.set_slots(this->settings.slots);
    announcement.set_connections(this->settings.connections);
    announcement.set_checks_grant(this->settings.checksGrant);
    return ToJson(announcement);
  }

private:
  wire::Health ReadHealth()
  {
    wire::Health health;
    health.set_healthy(true);
    health.set_draining(this->draining);
    health.set_running(this->running);
    double load = static_cast<double>(this->running) / this->settings.slots;
    health.set_load(
      this->settings.reportedLoad < 0 ? load : this->settings.reportedLoad);
    return health;
  }

  void SetGrants(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    wire::Grants next;
    if (!FromJson(aRequest.body, next, aRequest.remote_addr)) {
      aResponse.status = 400;
      return;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    bool older = next.incarnation() == this->grants.incarnation() &&
                 next.sequence() <= this->grants.sequence();
    if (!older) {
      this->grants = next;
    }
  }

  bool Granted(const httplib::Request& aRequest)
  {
    if (!this->settings.checksGrant) {
      return true;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    int64_t now = ToBootNanoseconds(BootClock::now());
    if (now >= this->grants.lease_until_boot_ns()) {
      return false;
    }
    std::string partition = aRequest.get_header_value("X-Partition");
    std::string epoch = aRequest.get_header_value("X-Epoch");
    std::string holder = aRequest.get_header_value("X-Incarnation");
    if (holder != ToHex(this->grants.incarnation())) {
      return false;
    }
    for (const auto& granted : this->grants.partitions()) {
      if (std::to_string(granted.partition()) == partition) {
        return std::to_string(granted.epoch()) == epoch;
      }
    }
    return false;
  }

  void Log(const char* aEvent, const httplib::Request& aRequest)
  {
    std::lock_guard<std::mutex> lock(this->logMutex);
    this->log << aEvent << " " << aRequest.get_header_value("X-Request-Id")
              << " " << aRequest.get_header_value("X-Class") << " "
              << aRequest.get_header_value("X-Key") << " "
              << aRequest.get_header_value("X-Epoch") << " "
              << ToBootNanoseconds(BootClock::now()) << std::endl;
  }

  Duration WorkTime(const Work& aWork) const
  {
    bool cold = BootClock::now() - this->startedAt < this->settings.cold;
    double factor = cold ? this->settings.coldFactor : 1;
    return std::chrono::duration_cast<Duration>(aWork.time * factor);
  }

  /** Works until the time is over. @return False when cancelled or late. */
  bool WorkFor(Duration aTime, Time aDeadline, const std::string& aRequestId)
  {
    Time end = BootClock::now() + aTime;
    while (BootClock::now() < end) {
      {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->cancelled.erase(aRequestId) != 0) {
          return false;
        }
      }
      if (BootClock::now() >= aDeadline) {
        return false;
      }
      Duration left = end - BootClock::now();
      std::this_thread::sleep_for(std::min<Duration>(left, kCancelCheck));
    }
    return true;
  }

  /** Id that an answer carries; with crossed answers every tenth carries the
   * one of the request before it. */
  std::string AnswerId(const std::string& aRequestId)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    std::string before = std::exchange(this->lastId, aRequestId);
    bool cross = this->settings.crossAnswers && ++this->answers % 10 == 0;
    return cross ? before : aRequestId;
  }

  void Run(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    if (this->running.fetch_add(1) >= this->settings.slots) {
      --this->running;
      aResponse.status = kStatusUnavailable;
      return;
    }
    this->RunInSlot(aRequest, aResponse);
    --this->running;
  }

  void RunInSlot(const httplib::Request& aRequest, httplib::Response& aResponse)
  {
    std::string requestId = aRequest.get_header_value("X-Request-Id");
    std::string key = aRequest.get_header_value("X-Key");
    aResponse.set_header("X-Request-Id", this->AnswerId(requestId));
    if (!this->Granted(aRequest)) {
      aResponse.status = kStatusFenced;
      return;
    }
    Time deadline = FromBootNanoseconds(
      std::stoll(aRequest.get_header_value("X-Deadline-Boot-Ns")));
    if (BootClock::now() >= deadline) {
      aResponse.status = kStatusUnavailable;
      return;
    }
    auto found = this->settings.work.find(aRequest.get_header_value("X-Class"));
    Work work = found == this->settings.work.end() ? Work() : found->second;
    this->Log("start", aRequest);
    bool finished = this->WorkFor(this->WorkTime(work), deadline, requestId) &&
                    this->Granted(aRequest);
    if (!finished) {
      this->Log("abort", aRequest);
      aResponse.status = kStatusGaveUp;
      return;
    }
    this->Log("commit", aRequest);
    std::string answer = requestId + " " + key + "\n";
    answer.append(work.answerBytes, 'x');
    answer += "\nend\n";
    aResponse.set_content(answer, "application/octet-stream");
  }

  BackendOptions settings;
  Time startedAt;
  std::atomic<bool> draining{ false };
  std::atomic<uint32_t> running{ 0 };
  std::mutex mutex;
  wire::Grants grants;
  std::set<std::string> cancelled;
  std::string lastId;
  uint64_t answers = 0;
  std::mutex logMutex;
  std::ofstream log;
};

/** Announces the backend server until the process ends. */
void
AnnounceForever(const std::string& aDaemon, const std::string& aBody)
{
  httplib::Client client("http://" + aDaemon);
  client.set_connection_timeout(std::chrono::seconds(1));
  client.set_read_timeout(std::chrono::seconds(1));
  while (true) {
    client.Post("/v1/announce", aBody, "application/json");
    std::this_thread::sleep_for(kAnnounceInterval);
  }
}

} // namespace

} // namespace fescuetiller

int
main(int aCount, char** aArguments)
{
  using namespace fescuetiller; // NOLINT(google-build-using-namespace)
  BackendOptions settings;
  int checksGrant = 1;
  int64_t coldMs = 0;
  std::string work;
  options::options_description description("Stand-in of a backend server.");
  auto add = description.add_options();
  auto text = [](std::string& aTarget) {
    return options::value<std::string>(&aTarget)->required();
  };
  add("help,h", "print this text");
  add("service", text(settings.service), "service name");
  add("daemon", text(settings.daemon), "address that it announces itself to");
  add("run-log", text(settings.runLog), "file that records every run");
  add(
    "ports-file", options::value<std::string>()->required(), "port goes here");
  add("slots", options::value(&settings.slots), "requests at once");
  add("connections", options::value(&settings.connections), "connections");
  add("checks-grant", options::value(&checksGrant), "0: runs whatever comes");
  add("cross-answers",
      options::bool_switch(&settings.crossAnswers),
      "every tenth answer is marked as another request's");
  add("cold-ms", options::value(&coldMs), "how long it is slow after start");
  add("report-load", options::value(&settings.reportedLoad), "a false load");
  add("work", options::value(&work), "class:ms:bytes,...");
  auto values = ParseOptions(aCount, aArguments, description);
  settings.checksGrant = checksGrant != 0;
  settings.cold = std::chrono::milliseconds(coldMs);
  settings.work = ParseWork(work);
  BlockStopSignals();
  BackendStandIn backend(settings);
  HttpServer server(settings.connections + 4);
  backend.Install(server.Handlers());
  auto port = server.Start("127.0.0.1", 0);
  if (!port) {
    std::cerr << port.error() << std::endl;
    return 1;
  }
  WritePort(values["ports-file"].as<std::string>(), *port);
  std::string address = "127.0.0.1:" + std::to_string(*port);
  std::string body = backend.Announcement(address);
  std::thread([&settings, body] {
    AnnounceForever(settings.daemon, body);
  }).detach();
  WaitForStopSignal();
  std::_Exit(0);
}
