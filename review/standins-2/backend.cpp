// Stand-in of a backend server that holds keys, as PROTOCOL.md describes it:
// one request at a time on a connection, liveness reports to the daemon beside
// it, leases, fencing tokens, 421 for keys that it does not hold. It records
// when it begins and ends a request.

#include <csignal>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

using namespace review;
using nlohmann::json;

namespace {

struct Grant
{
  int first = 0;
  int last = 0;
  uint64_t fence = 0;
};

/** Keys that were released since the last acknowledged report. */
struct Freed
{
  Grant grant;
  uint64_t handover = 0;
};

struct Backend
{
  std::string service;
  std::string address;
  std::string daemon;
  std::string zone;
  std::string id;
  int64_t born = 0;
  int slots = 6;
  int workMs = 70;
  int heartbeatMs = 870;
  size_t answerBytes = 400;
  int stayMs = 4000;
  bool keyless = false;
  const Record* record = nullptr;

  std::mutex mutex;
  std::vector<Grant> grants;
  int64_t grantsUntil = 0;
  std::multiset<int> workingOn;
  std::vector<Freed> freed;
  int running = 0;
  uint64_t sequence = 0;
  uint64_t nextHandover = 1;

  /** Drops leases that have expired. The mutex is held. */
  void Expire()
  {
    if (NowMs() >= this->grantsUntil) {
      this->grants.clear();
    }
  }

  const Grant* Find(int aKey)
  {
    this->Expire();
    for (const auto& grant : this->grants) {
      if (grant.first <= aKey && aKey <= grant.last) {
        return &grant;
      }
    }
    return nullptr;
  }
};

std::string
Answer(int aStatus, const Message& aRequest, const std::string& aFields)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " -\r\nX-Request-Id: " +
         aRequest.Field("x-request-id") + "\r\n" + aFields;
}

std::string
Serve(Backend& aBackend, const Message& aRequest)
{
  const std::string empty = "Content-Length: 0\r\n\r\n";
  auto id = aRequest.Field("x-request-id");
  auto keyText = aRequest.Field("x-shard-key");
  int key = keyText.empty() ? -1 : std::atoi(keyText.c_str());
  {
    std::lock_guard<std::mutex> lock(aBackend.mutex);
    if (aRequest.Field("x-target-instance") != aBackend.id ||
        (!aBackend.keyless && aBackend.Find(key) == nullptr)) {
      return Answer(421, aRequest, "X-Not-Executed: 1\r\n" + empty);
    }
    if (aBackend.running >= aBackend.slots) {
      return Answer(503, aRequest, "X-Not-Executed: 1\r\n" + empty);
    }
    ++aBackend.running;
    aBackend.workingOn.insert(key);
  }
  aBackend.record->Write(aBackend.id + " runs " + id);
  std::this_thread::sleep_for(std::chrono::milliseconds(aBackend.workMs));
  {
    std::lock_guard<std::mutex> lock(aBackend.mutex);
    --aBackend.running;
    aBackend.workingOn.erase(aBackend.workingOn.find(key));
  }
  aBackend.record->Write(aBackend.id + " has run " + id);
  return Answer(200,
                aRequest,
                "X-Server-Signature: " + aBackend.id + "." + id +
                  "\r\nContent-Length: " +
                  std::to_string(aBackend.answerBytes) + "\r\n\r\n" +
                  std::string(aBackend.answerBytes, 'a'));
}

void
ServeConnection(Backend& aBackend, int aConnection)
{
  std::string buffer;
  Message request;
  while (ReadMessage(aConnection, buffer, request, NowMs() + 10000) ==
         ReadResult::Whole) {
    if (!SendAll(aConnection, Serve(aBackend, request))) {
      break;
    }
  }
  ::close(aConnection);
}

json
Rows(const std::vector<Grant>& aGrants)
{
  json rows = json::array();
  for (const auto& grant : aGrants) {
    rows.push_back({ grant.first, grant.last, grant.fence });
  }
  return rows;
}

/** Takes what an answer to a liveness report grants. */
void
Take(Backend& aBackend, int64_t aSentAt, const json& aAnswer)
{
  if (!aAnswer.contains("holds")) {
    return;
  }
  std::vector<Grant> granted;
  for (const auto& row : aAnswer["holds"]) {
    granted.push_back({ row[0], row[1], row[2] });
  }
  std::lock_guard<std::mutex> lock(aBackend.mutex);
  aBackend.Expire();
  for (const auto& held : aBackend.grants) {
    // Parts of ranges are released key by key in neighbouring pieces.
    int from = held.first;
    while (from <= held.last) {
      int to = held.last;
      bool kept = false;
      for (const auto& grant : granted) {
        if (grant.first <= from && from <= grant.last) {
          kept = true;
          to = std::min(held.last, grant.last);
        } else if (grant.first > from) {
          to = std::min(to, grant.first - 1);
        }
      }
      if (!kept) {
        aBackend.freed.push_back(
          { { from, to, held.fence }, aBackend.nextHandover++ });
      }
      from = to + 1;
    }
  }
  aBackend.grants = granted;
  aBackend.grantsUntil =
    aSentAt + std::atoll(aAnswer["hold_time"].get<std::string>().c_str());
  auto line = aBackend.id + " holds until " +
              std::to_string(aBackend.grantsUntil);
  for (const auto& grant : granted) {
    line += " " + std::to_string(grant.first) + "-" +
            std::to_string(grant.last) + "@" + std::to_string(grant.fence);
  }
  aBackend.record->Write(line);
}

/** Sends one liveness report. @return Whether the next one is due soon. */
bool
Report(Backend& aBackend)
{
  json body = { { "service", aBackend.service },
                { "address", aBackend.address },
                { "zone", aBackend.zone },
                { "version", "v1" },
                { "slots", aBackend.slots },
                { "state", "ready" },
                { "cold", "0ms" },
                { "born", aBackend.born } };
  std::vector<Freed> freed;
  {
    std::lock_guard<std::mutex> lock(aBackend.mutex);
    aBackend.Expire();
    body["seq"] = ++aBackend.sequence;
    auto holds = aBackend.grants;
    freed = aBackend.freed;
    std::vector<Freed> stillWorking;
    json freedRows = json::array();
    for (const auto& range : freed) {
      bool busy = false;
      for (int key : aBackend.workingOn) {
        busy = busy || (range.grant.first <= key && key <= range.grant.last);
      }
      if (busy) {
        stillWorking.push_back(range);
      } else {
        char handover[32];
        std::snprintf(handover,
                      sizeof(handover),
                      "%016llx",
                      static_cast<unsigned long long>(range.handover));
        freedRows.push_back({ range.grant.first, range.grant.last, handover });
      }
    }
    for (const auto& range : stillWorking) {
      holds.push_back(range.grant);
    }
    body["holds"] = Rows(holds);
    body["freed"] = freedRows;
    aBackend.freed = stillWorking;
  }
  auto text = body.dump();
  auto sentAt = NowMs();
  auto answer = Call(aBackend.daemon,
                     "POST /v1/instances/" + aBackend.id +
                       "/heartbeat HTTP/1.1\r\nHost: " + aBackend.daemon +
                       "\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(text.size()) + "\r\n\r\n" + text,
                     1000);
  if (!answer || answer->Status() != 200) {
    std::lock_guard<std::mutex> lock(aBackend.mutex);
    aBackend.freed = freed; // Not acknowledged.
    return false;
  }
  auto parsed = json::parse(answer->body, nullptr, false);
  if (!parsed.is_discarded()) {
    Take(aBackend, sentAt, parsed);
  }
  std::lock_guard<std::mutex> lock(aBackend.mutex);
  return !aBackend.freed.empty();
}

/** Waits for the order to leave, and leaves. */
void
LeaveOnSignal(Backend& aBackend, const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
  aBackend.record->Write(aBackend.id + " sends its deregistration");
  std::string body = json{ { "born", aBackend.born } }.dump();
  auto answer = Call(aBackend.daemon,
                     "POST /v1/instances/" + aBackend.id +
                       "/deregister HTTP/1.1\r\nHost: " + aBackend.daemon +
                       "\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body,
                     1000);
  aBackend.record->Write(
    aBackend.id + (answer && answer->Status() / 100 == 2
                     ? " is acknowledged as leaving"
                     : " gets no acknowledgement"));
  std::this_thread::sleep_for(std::chrono::milliseconds(aBackend.stayMs));
  aBackend.record->Write(aBackend.id + " exits");
  std::_Exit(0);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  auto option = [&](const char* aName, const char* aDefault = nullptr) {
    return Option(aCount, aArguments, aName, aDefault);
  };
  Record record(option("--record"));
  Backend backend;
  backend.record = &record;
  backend.service = option("--service");
  backend.address = option("--address");
  backend.daemon = option("--daemon");
  backend.zone = option("--zone");
  backend.workMs = std::atoi(option("--work-ms", "70").c_str());
  backend.heartbeatMs = std::atoi(option("--heartbeat-ms", "870").c_str());
  backend.stayMs = std::atoi(option("--stay-ms", "4000").c_str());
  backend.keyless = option("--keyless", "0") == "1";
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  backend.born = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
  char id[32];
  std::snprintf(id,
                sizeof(id),
                "i-%08x",
                static_cast<unsigned>(
                  std::hash<std::string>()(backend.address +
                                           std::to_string(backend.born))));
  backend.id = id;
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = ParseAddress(backend.address);
  if (::bind(
        listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0 ||
      ::listen(listener, 128) != 0) {
    std::perror("listen");
    return 2;
  }
  record.Write(backend.id + " starts at " + backend.address);
  std::thread([&] { LeaveOnSignal(backend, signals); }).detach();
  std::thread([&] {
    for (;;) {
      bool soon = Report(backend);
      std::this_thread::sleep_for(
        std::chrono::milliseconds(soon ? 100 : backend.heartbeatMs));
    }
  }).detach();
  for (;;) {
    int connection = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection >= 0) {
      SetTimeouts(connection, 10000);
      std::thread([&, connection] {
        ServeConnection(backend, connection);
      }).detach();
    }
  }
}
