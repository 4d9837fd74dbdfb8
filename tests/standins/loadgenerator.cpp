#include <atomic>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <optional>
#include <sstream>
#include <thread>

#include <httplib.h>

#include "ownership/ownership.h"
#include "standins/callerlist.h"
#include "standins/runlogs.h"
#include "standins/standin.h"

namespace fescuetiller {

namespace {

namespace options = boost::program_options;

constexpr Duration kReload = std::chrono::milliseconds(100);
constexpr Duration kClientGrace = std::chrono::seconds(1);
constexpr int kStatusDone = 200;
constexpr int kMaxAttempts = 16;
constexpr Duration kSoon = std::chrono::milliseconds(50);

/** One class of the load. */
struct LoadClass
{
  std::string service;
  std::string name;
  bool idempotent = false;
  double perSecond = 0;
};

/** How one request ended, as its caller saw it. */
enum class Ending
{
  Answered,
  ToldNotRun,
  Unknown,
  CutOff,
  WrongAnswer,
};

/** One request of the load. */
struct Sample
{
  size_t classIndex = 0;
  std::string requestId;               ///< The last one.
  std::vector<std::string> requestIds; ///< Every id that it was sent under.
  std::vector<std::string> refusedIds; ///< Told as not run.
  std::string stamp;
  int sendings = 0; ///< Of the last id.
  PartitionId partition;
  Time sentAt;
  Time endedAt;
  Ending ending = Ending::Unknown;
};

/** Reads "service:class:idempotent(0|1):per-second,...". */
std::vector<LoadClass>
ParseClasses(const std::string& aText)
{
  std::vector<LoadClass> classes;
  std::istringstream entries(aText);
  std::string entry;
  while (std::getline(entries, entry, ',')) {
    std::istringstream fields(entry);
    LoadClass next;
    std::string idempotent;
    std::string rate;
    std::getline(fields, next.service, ':');
    std::getline(fields, next.name, ':');
    std::getline(fields, idempotent, ':');
    std::getline(fields, rate, ':');
    next.idempotent = idempotent == "1";
    next.perSecond = std::stod(rate);
    classes.push_back(next);
  }
  return classes;
}

struct LoadOptions
{
  std::vector<LoadClass> classes;
  std::string callers;
  std::string idPrefix; ///< Of request ids; differs between runs.
  std::string runs;
  std::string platform;
  uint32_t keys = 2000;
  uint32_t partitions = 64;
  Duration deadline = std::chrono::milliseconds(4000);
  Duration time = std::chrono::seconds(10);
  size_t workers = 24;
};

/** One caller: sends requests one after the other at its share of the rate. */
class Caller
{
public:
  Caller(const LoadOptions& aOptions, const CallerList& aList, size_t aIndex)
    : settings(aOptions)
    , list(aList)
    , index(aIndex)
    , random(static_cast<uint32_t>(aIndex + 1))
  {
  }

  void RunUntil(Time aEnd)
  {
    double total = 0;
    std::vector<double> rates;
    for (const auto& next : this->settings.classes) {
      rates.push_back(next.perSecond);
      total += next.perSecond;
    }
    std::discrete_distribution<size_t> anyClass(rates.begin(), rates.end());
    std::exponential_distribution<double> gap(
      total / static_cast<double>(this->settings.workers));
    while (BootClock::now() < aEnd) {
      std::this_thread::sleep_for(
        std::chrono::duration<double>(gap(this->random)));
      this->samples.push_back(this->SendOne(anyClass(this->random)));
    }
  }

  const std::vector<Sample>& Samples() const { return this->samples; }

private:
  Sample SendOne(size_t aClassIndex)
  {
    const LoadClass& loadClass = this->settings.classes[aClassIndex];
    std::uniform_int_distribution<uint32_t> anyKey(0, this->settings.keys - 1);
    std::string key = "key-" + std::to_string(anyKey(this->random));
    Sample sample;
    sample.classIndex = aClassIndex;
    sample.partition =
      PartitionOf(loadClass.service, key, this->settings.partitions);
    sample.sentAt = BootClock::now();
    this->DrawId(sample);
    Time deadline = sample.sentAt + this->settings.deadline;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      auto ending = this->Attempt(loadClass, key, sample, deadline);
      if (ending) {
        sample.ending = *ending;
        break;
      }
    }
    sample.endedAt = BootClock::now();
    return sample;
  }

  /** A new id, issued now: nothing was sent under it yet. */
  void DrawId(Sample& aSample)
  {
    aSample.requestId = this->settings.idPrefix + "w" +
                        std::to_string(this->index) + "-" +
                        std::to_string(this->ids++);
    aSample.requestIds.push_back(aSample.requestId);
    aSample.stamp = this->stamp;
    aSample.sendings = 0;
  }

  void Connect()
  {
    this->address = this->list.Pick(this->random, this->address);
    this->client = std::make_unique<httplib::Client>("http://" + this->address);
    this->client->set_keep_alive(true);
    this->client->set_tcp_nodelay(true);
    this->client->set_connection_timeout(std::chrono::milliseconds(500));
  }

  /** @return Nothing when the request may be sent again. */
  std::optional<Ending> Attempt(const LoadClass& aClass,
                                const std::string& aKey,
                                Sample& aSample,
                                Time aDeadline)
  {
    Duration left = aDeadline - BootClock::now();
    if (left < std::chrono::milliseconds(1)) {
      return Ending::Unknown;
    }
    if (!this->client) {
      this->Connect();
    }
    this->client->set_read_timeout(left + kClientGrace);
    bool answerBegan = false;
    httplib::Request request;
    request.method = "POST";
    request.path =
      "/v1/request/" + aClass.service + "/" + aClass.name + "?key=" + aKey;
    request.headers = { { "X-Request-Id", aSample.requestId },
                        { "X-Issue-Stamp", aSample.stamp },
                        { "X-Attempt", std::to_string(++aSample.sendings) },
                        { "X-Deadline-Ms",
                          std::to_string(ToMilliseconds(left)) } };
    request.body = "body of " + aSample.requestId;
    request.response_handler = [&](const httplib::Response&) {
      answerBegan = true;
      return true;
    };
    auto response = this->client->send(request);
    if (response) {
      this->stamp = response->get_header_value("X-Issue-Stamp");
      return this->Answered(*response, aSample, aKey);
    }
    this->client.reset();
    if (answerBegan) {
      return Ending::CutOff;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return std::nullopt;
  }

  /** @return Nothing when a new id may be tried at once. */
  std::optional<Ending> Answered(const httplib::Response& aResponse,
                                 Sample& aSample,
                                 const std::string& aKey)
  {
    Ending ending = Judge(aResponse, aSample.requestId, aKey);
    if (ending != Ending::ToldNotRun) {
      return ending;
    }
    aSample.refusedIds.push_back(aSample.requestId);
    std::string wait = aResponse.get_header_value("X-Retry-After-Ms");
    Duration pause =
      std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait));
    if (pause > kSoon) {
      return ending;
    }
    std::this_thread::sleep_for(pause);
    this->DrawId(aSample);
    return std::nullopt;
  }

  static Ending Judge(const httplib::Response& aResponse,
                      const std::string& aRequestId,
                      const std::string& aKey)
  {
    if (aResponse.status == kStatusDone) {
      std::string head = aRequestId + " " + aKey + "\n";
      if (aResponse.body.rfind(head, 0) != 0) {
        return Ending::WrongAnswer;
      }
      std::string tail = "\nend\n";
      size_t size = aResponse.body.size();
      bool whole =
        size > tail.size() &&
        aResponse.body.compare(size - tail.size(), tail.size(), tail) == 0;
      return whole ? Ending::Answered : Ending::CutOff;
    }
    bool notRun = aResponse.get_header_value("X-Outcome") == "not-run";
    return notRun ? Ending::ToldNotRun : Ending::Unknown;
  }

  const LoadOptions& settings;
  const CallerList& list;
  size_t index;
  std::mt19937 random;
  std::string address;
  std::string stamp;
  uint64_t ids = 0;
  std::unique_ptr<httplib::Client> client;
  std::vector<Sample> samples;
};

/** Totals of one class. */
struct ClassTotals
{
  size_t sent = 0;
  std::map<Ending, size_t> endings;
  size_t lost = 0;
  size_t doubled = 0;
  size_t ranThoughNotRun = 0;
  std::vector<double> latenciesMs;
};

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  auto rank = static_cast<size_t>(
    std::ceil(aShare * static_cast<double>(aValues.size())));
  return aValues[std::max<size_t>(rank, 1) - 1];
}

RunCount
CountRuns(const RunLogs& aLogs, const std::vector<std::string>& aRequestIds)
{
  RunCount total;
  for (const auto& requestId : aRequestIds) {
    auto found = aLogs.byRequest.find(requestId);
    if (found != aLogs.byRequest.end()) {
      total.started += found->second.started;
      total.committed += found->second.committed;
    }
  }
  return total;
}

std::vector<ClassTotals>
Total(const LoadOptions& aOptions,
      const std::vector<Sample>& aSamples,
      const RunLogs& aLogs)
{
  std::vector<ClassTotals> totals(aOptions.classes.size());
  for (const auto& sample : aSamples) {
    ClassTotals& total = totals[sample.classIndex];
    bool idempotent = aOptions.classes[sample.classIndex].idempotent;
    RunCount runs = CountRuns(aLogs, sample.requestIds);
    ++total.sent;
    ++total.endings[sample.ending];
    if (sample.ending == Ending::Answered) {
      total.latenciesMs.push_back(std::chrono::duration<double, std::milli>(
                                    sample.endedAt - sample.sentAt)
                                    .count());
      int committed = CountRuns(aLogs, { sample.requestId }).committed;
      total.lost += committed == 0 ? 1 : 0;
    }
    if (!idempotent) {
      int committed = CountRuns(aLogs, sample.refusedIds).committed;
      total.ranThoughNotRun += committed > 0 ? 1 : 0;
    }
    total.doubled += !idempotent && runs.committed > 1 ? 1 : 0;
  }
  return totals;
}

/** Longest time that a partition went without an answer once one failed. */
double
LongestUnavailableMs(std::vector<Sample> aSamples)
{
  std::sort(aSamples.begin(),
            aSamples.end(),
            [](const Sample& aLeft, const Sample& aRight) {
              return aLeft.sentAt < aRight.sentAt;
            });
  std::map<PartitionId, Time> failingSince;
  Duration longest(0);
  for (const auto& sample : aSamples) {
    if (sample.ending != Ending::Answered) {
      failingSince.emplace(sample.partition, sample.sentAt);
      continue;
    }
    Duration waited = sample.endedAt - sample.sentAt;
    auto failing = failingSince.find(sample.partition);
    if (failing != failingSince.end()) {
      waited = sample.endedAt - failing->second;
      failingSince.erase(failing);
    }
    longest = std::max(longest, waited);
  }
  return std::chrono::duration<double, std::milli>(longest).count();
}

void
PrintClasses(const LoadOptions& aOptions,
             const std::vector<ClassTotals>& aTotals)
{
  std::cout << std::left << std::setw(24) << "class" << std::right;
  for (const char* head : { "sent",
                            "answered",
                            "not run",
                            "unknown",
                            "lost",
                            "doubled",
                            "cut off",
                            "wrong",
                            "p50 ms",
                            "p99 ms" }) {
    std::cout << std::setw(10) << head;
  }
  std::cout << "\n" << std::fixed << std::setprecision(1);
  for (size_t index = 0; index < aTotals.size(); ++index) {
    const LoadClass& loadClass = aOptions.classes[index];
    ClassTotals total = aTotals[index];
    std::cout << std::left << std::setw(24)
              << loadClass.service + "/" + loadClass.name << std::right
              << std::setw(10) << total.sent;
    std::cout << std::setw(10) << total.endings[Ending::Answered]
              << std::setw(10) << total.endings[Ending::ToldNotRun]
              << std::setw(10) << total.endings[Ending::Unknown]
              << std::setw(10) << total.lost << std::setw(10) << total.doubled
              << std::setw(10) << total.endings[Ending::CutOff] << std::setw(10)
              << total.endings[Ending::WrongAnswer] + total.ranThoughNotRun
              << std::setw(10) << Quantile(total.latenciesMs, 0.5)
              << std::setw(10) << Quantile(total.latenciesMs, 0.99) << "\n";
  }
}

void
PrintMeasures(const LoadOptions& aOptions,
              const std::vector<Sample>& aSamples,
              const RunLogs& aLogs)
{
  std::map<std::string, std::pair<int, int>> mostAndSum;
  std::map<std::string, int> servers;
  for (const auto& [file, commits] : aLogs.commitsByFile) {
    std::string service = file.substr(0, file.rfind('-'));
    mostAndSum[service].first = std::max(mostAndSum[service].first, commits);
    mostAndSum[service].second += commits;
    ++servers[service];
  }
  for (const auto& [service, counts] : mostAndSum) {
    double mean = static_cast<double>(counts.second) /
                  static_cast<double>(servers[service]);
    std::cout << "imbalance " << service << ": busiest server "
              << std::setprecision(2)
              << static_cast<double>(counts.first) / mean
              << " times the mean\n";
  }
  HttpTableStore store(aOptions.platform, std::chrono::seconds(2));
  auto rows = store.ReadChanges(kAssignmentTable, 0);
  uint64_t changes = 0;
  if (rows) {
    for (const auto& row : rows->rows) {
      auto assignment = ParseAssignment(row);
      changes += assignment ? assignment->epoch - 1 : 0;
    }
    std::cout << "churn: " << changes << " changes of owner over "
              << rows->rows.size() << " partitions\n";
  }
  std::cout << "unavailable time: longest of any partition "
            << std::setprecision(0) << LongestUnavailableMs(aSamples)
            << " ms\n";
}

/** @return Whether nothing was lost, doubled or answered wrongly. */
bool
Holds(const std::vector<ClassTotals>& aTotals)
{
  for (ClassTotals total : aTotals) {
    bool wrong = total.lost > 0 || total.doubled > 0 ||
                 total.ranThoughNotRun > 0 ||
                 total.endings[Ending::WrongAnswer] > 0;
    if (wrong || total.endings[Ending::Answered] == 0) {
      return false;
    }
  }
  return true;
}

int
RunLoad(const LoadOptions& aOptions)
{
  CallerList list(aOptions.callers);
  Time end = BootClock::now() + aOptions.time;
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
  for (size_t index = 0; index < aOptions.workers; ++index) {
    callers.push_back(std::make_unique<Caller>(aOptions, list, index));
    threads.emplace_back(
      [caller = callers.back().get(), end] { caller->RunUntil(end); });
  }
  while (BootClock::now() < end) {
    list.Reload();
    std::this_thread::sleep_for(kReload);
  }
  std::vector<Sample> samples;
  for (size_t index = 0; index < callers.size(); ++index) {
    threads[index].join();
    const auto& part = callers[index]->Samples();
    samples.insert(samples.end(), part.begin(), part.end());
  }
  RunLogs logs = ReadRunLogs(aOptions.runs);
  auto totals = Total(aOptions, samples, logs);
  PrintClasses(aOptions, totals);
  PrintMeasures(aOptions, samples, logs);
  return Holds(totals) ? 0 : 1;
}

} // namespace

} // namespace fescuetiller

int
main(int aCount, char** aArguments)
{
  using namespace fescuetiller; // NOLINT(google-build-using-namespace)
  LoadOptions load;
  std::string classes;
  int64_t seconds = 10;
  options::options_description description("Bounded load of callers.");
  auto add = description.add_options();
  auto text = [](std::string& aTarget) {
    return options::value<std::string>(&aTarget)->required();
  };
  add("help,h", "print this text");
  add("classes", text(classes), "service:class:idempotent:per-second,...");
  add("callers", text(load.callers), "file of daemons' caller addresses");
  add("runs", text(load.runs), "folder of the backend servers' run logs");
  add("platform", text(load.platform), "address of the platform");
  add("seconds", options::value(&seconds), "how long to send");
  add("partitions", options::value(&load.partitions), "of each service");
  add("id-prefix", options::value(&load.idPrefix), "of request ids");
  add("workers", options::value(&load.workers), "callers at once");
  ParseOptions(aCount, aArguments, description);
  load.classes = ParseClasses(classes);
  load.time = std::chrono::seconds(seconds);
  return RunLoad(load);
}
