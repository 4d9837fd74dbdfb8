// A backend server without keys deregisters, its daemon acknowledges that and is
// then restarted, and a heartbeat sent before that arrives late. Checks DRAIN: no
// request reaches the server later than the drain time after the acknowledgement.

#include "kit.h"

using namespace review;

namespace {

constexpr size_t kMachines = 3;
constexpr size_t kLeaving = 1; ///< The machine whose server leaves.
constexpr double kDrainTime = 2; ///< bounds.drain-timeout
constexpr double kContact = 3;   ///< bounds.contact
/** The server goes on for this time after the acknowledgement. */
constexpr double kStays = 7.5;

bool
WaitFor(double aSeconds, const std::function<bool()>& aCondition)
{
  auto until = Now() + aSeconds;
  while (!aCondition()) {
    if (Now() > until) {
      return false;
    }
    Sleep(0.02);
  }
  return true;
}

struct Run
{
  std::string id;
  double at = 0;
};

int
RunCase(const std::string& aStoreProgram)
{
  Deployment deployment(std::vector<std::string>(kMachines, "dossier"));
  if (!deployment.StartStore(aStoreProgram, Configuration())) {
    Say("the store does not start");
    return kNotRun;
  }
  std::mutex mutex;
  std::vector<Run> runs; ///< On the server that leaves.
  std::vector<std::unique_ptr<Server>> servers;
  for (size_t machine = 0; machine < kMachines; ++machine) {
    deployment.StartDaemon(machine);
    ServerOptions options;
    options.name = Format("server %zu", machine + 1);
    options.id = Format("i-%08zx", machine + 1);
    options.service = "dossier";
    options.ip = deployment.Ip(machine);
    options.zone = deployment.Zone(machine);
    options.workSeconds = 0.1;
    servers.push_back(std::make_unique<Server>(options));
    if (machine == kLeaving) {
      servers.back()->onRun = [&](const std::string& aId, int) {
        std::lock_guard<std::mutex> lock(mutex);
        runs.push_back({ aId, Now() });
      };
    }
    if (!servers.back()->Start()) {
      return kNotRun;
    }
  }
  auto isServing = [&](size_t aMachine) {
    return Request(deployment.Ip(aMachine), "GET", "/pack/1", "first", -1)
             .status == 200;
  };
  for (size_t machine = 0; machine < kMachines; ++machine) {
    if (!WaitFor(15, [&] { return isServing(machine); })) {
      Say("the service is not served");
      return kNotRun;
    }
  }
  // Clients on all machines.
  std::atomic<bool> stopping{ false };
  std::vector<Outcome> outcomes;
  std::vector<std::thread> clients;
  for (size_t machine = 0; machine < kMachines; ++machine) {
    for (int number = 0; number < 6; ++number) {
      clients.emplace_back([&, machine, number] {
        for (int count = 0; !stopping; ++count) {
          bool isSafe = count % 2 == 0;
          auto outcome = Request(deployment.Ip(machine),
                                 isSafe ? "GET" : "DELETE",
                                 isSafe ? "/pack/1" : "/log/1",
                                 Format("%s%zu-%d-%d",
                                        isSafe ? "safe" : "unsafe",
                                        machine + 1,
                                        number,
                                        count),
                                 -1);
          if (outcome.status != 200) {
            Sleep(0.1); // Its daemon is being restarted.
          }
          std::lock_guard<std::mutex> lock(mutex);
          outcomes.push_back(outcome);
        }
      });
    }
  }
  auto end = [&](int aResult) {
    stopping = true;
    for (auto& client : clients) {
      client.join();
    }
    for (auto& server : servers) {
      server->Exit();
    }
    return aResult;
  };
  Sleep(4); // All machines are in touch.

  auto& leaving = *servers[kLeaving];
  leaving.HoldUpNextHeartbeat();
  if (!WaitFor(3, [&] { return leaving.HasHeldUp(); })) {
    return end(kNotRun);
  }
  if (!HasTrouble()) {
    leaving.DeliverHeldUp(); // Without the disruption, it is on time.
  }
  auto acknowledgedAt = leaving.Deregister();
  if (acknowledgedAt == 0) {
    Say("no acknowledgement");
    return end(kNotRun);
  }
  // The daemon is stopped and started again on its own.
  deployment.EndDaemon(kLeaving, SIGTERM);
  deployment.StartDaemon(kLeaving);
  auto startedAt = Now();
  if (!WaitFor(2, [&] { return deployment.IsReady(kLeaving); })) {
    Say("the daemon is not ready again");
    return end(kNotRun);
  }
  auto inTouchAt = startedAt + kContact;
  SleepUntil(inTouchAt + 0.2);
  if (HasTrouble()) {
    leaving.DeliverHeldUp();
  }
  SleepUntil(acknowledgedAt + kStays);
  leaving.Exit();
  auto exitedAt = Now();
  Sleep(1.5);
  end(kHeld);

  auto notBefore = std::max(acknowledgedAt + kDrainTime, inTouchAt);
  std::set<std::string> late;
  for (const auto& run : runs) {
    if (run.at > notBefore) {
      late.insert(run.id);
    }
  }
  int lost = 0;
  for (const auto& outcome : outcomes) {
    bool isLost = late.count(outcome.id) > 0 && outcome.status != 200;
    if (isLost) {
      Say("request " + outcome.id + " ran there and got " +
          Format("%d", outcome.status));
    }
    lost += isLost;
  }
  Say(Format("the leaving was acknowledged at %.3f, the server ended at %.3f",
             acknowledgedAt,
             exitedAt));
  Say(Format("%zu of %zu requests were answered",
             static_cast<size_t>(
               std::count_if(outcomes.begin(),
                             outcomes.end(),
                             [](const Outcome& aOutcome) {
                               return aOutcome.status == 200;
                             })),
             outcomes.size()));
  Say(Format("requests that reached the server over %.0f s after that, by "
             "machines in touch: %zu; %d of them were lost with it",
             kDrainTime,
             late.size(),
             lost));
  return late.empty() ? kHeld : kBroken;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return kNotRun;
  }
  Now();
  Record::Get().Open(aArguments[2]);
  auto result = RunCase(aArguments[1]);
  Say(result == kHeld     ? "DRAIN held"
      : result == kBroken ? "DRAIN broken"
                          : "the case could not run");
  return result;
}
