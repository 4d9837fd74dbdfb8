#pragma once

// Stand-ins for the cases of this review: backend servers and clients as
// threads of one program, and the project's own programs as processes. They
// follow the users' page PROTOCOL.md.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <signal.h>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

/** Seconds since the program began, on the steady clock. */
inline double
Now()
{
  using Clock = std::chrono::steady_clock;
  static const auto kStart = Clock::now();
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void
SleepUntil(double aTime)
{
  auto left = aTime - Now();
  if (left > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }
}

inline void
Sleep(double aSeconds)
{
  SleepUntil(Now() + aSeconds);
}

/** The file record.txt: what was sent, answered and run. */
class Record
{
public:
  static Record& Get()
  {
    static Record record;
    return record;
  }

  void Open(const std::string& aPath) { this->file.open(aPath); }

  /** Writes one line. @param aShow Whether it is also printed. */
  void Write(bool aShow, const std::string& aText)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f ", Now());
    this->file << time << aText << std::endl;
    if (aShow) {
      std::printf("%s%s\n", time, aText.c_str());
      std::fflush(stdout);
    }
  }

private:
  std::mutex mutex;
  std::ofstream file;
};

inline std::string
Format(const char* aFormat, ...)
{
  char text[1024];
  va_list arguments;
  va_start(arguments, aFormat);
  std::vsnprintf(text, sizeof(text), aFormat, arguments);
  va_end(arguments);
  return text;
}

/** Writes a line that only the record needs. */
inline void
Note(const std::string& aText)
{
  Record::Get().Write(false, aText);
}

/** Writes a line that is also printed. */
inline void
Say(const std::string& aText)
{
  Record::Get().Write(true, aText);
}

// ---------------------------------------------------------------- HTTP

struct Message
{
  std::string start; ///< Request line or status line.
  std::map<std::string, std::string> fields; ///< Names in lower case.
  std::string body;

  std::string Field(const std::string& aName) const
  {
    auto found = this->fields.find(aName);
    return found == this->fields.end() ? "" : found->second;
  }

  int Status() const
  {
    return this->start.size() < 12 ? 0 : std::atoi(this->start.c_str() + 9);
  }
};

inline sockaddr_in
ToAddress(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

/** A connection, with blocking calls that end at a time. */
class Connection
{
public:
  explicit Connection(int aSocket = -1)
    : socket(aSocket)
  {
  }
  ~Connection() { this->Close(); }
  Connection(const Connection&) = delete;

  bool Connect(const std::string& aIp, int aPort, double aUntil)
  {
    this->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    auto address = ToAddress(aIp, aPort);
    if (::connect(this->socket,
                  reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0) {
      return true;
    }
    if (errno != EINPROGRESS || !this->Wait(POLLOUT, aUntil)) {
      return false;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(this->socket, SOL_SOCKET, SO_ERROR, &error, &size);
    return error == 0;
  }

  bool Write(const std::string& aBytes, double aUntil)
  {
    size_t written = 0;
    while (written < aBytes.size()) {
      auto count = ::send(this->socket,
                          aBytes.data() + written,
                          aBytes.size() - written,
                          MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count > 0) {
        written += static_cast<size_t>(count);
      } else if (count == 0 || errno != EAGAIN ||
                 !this->Wait(POLLOUT, aUntil)) {
        return false;
      }
    }
    return true;
  }

  /** Reads a message whose body has a stated length, or is in chunks. */
  bool Read(Message& aMessage, double aUntil)
  {
    size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!this->Fill(aUntil)) {
        return false;
      }
    }
    std::istringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    aMessage = Message();
    aMessage.start = Trim(line);
    while (std::getline(head, line)) {
      auto colon = line.find(':');
      auto name = line.substr(0, colon);
      for (auto& character : name) {
        character = static_cast<char>(std::tolower(character));
      }
      if (colon != std::string::npos) {
        aMessage.fields[name] = Trim(line.substr(colon + 1));
      }
    }
    if (aMessage.Field("transfer-encoding") == "chunked") {
      return this->ReadChunks(aMessage, aUntil);
    }
    auto length = aMessage.Field("content-length");
    return this->Take(
      aMessage.body, length.empty() ? 0 : std::stoul(length), aUntil);
  }

  /** Whether the peer has closed or reset the connection. */
  bool IsClosedByPeer()
  {
    char byte = 0;
    auto count = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
  }

  bool Wait(short aEvents, double aUntil)
  {
    pollfd entry{ this->socket, aEvents, 0 };
    auto left = std::max(0.0, aUntil - Now());
    return ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) > 0;
  }

  void Close()
  {
    if (this->socket >= 0) {
      ::close(this->socket);
    }
    this->socket = -1;
  }

  /** Ends both directions, for another thread that uses the connection. */
  void Shutdown() { ::shutdown(this->socket, SHUT_RDWR); }

private:
  static std::string Trim(const std::string& aText)
  {
    auto first = aText.find_first_not_of(" \r\n\t");
    auto last = aText.find_last_not_of(" \r\n\t");
    return first == std::string::npos ? ""
                                      : aText.substr(first, last - first + 1);
  }

  bool Fill(double aUntil)
  {
    char bytes[16384];
    if (!this->Wait(POLLIN, aUntil)) {
      return false;
    }
    auto count = ::recv(this->socket, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count <= 0) {
      return count < 0 && errno == EAGAIN;
    }
    this->buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }

  bool Take(std::string& aTarget, size_t aSize, double aUntil)
  {
    while (this->buffer.size() < aSize) {
      if (!this->Fill(aUntil)) {
        return false;
      }
    }
    aTarget += this->buffer.substr(0, aSize);
    this->buffer.erase(0, aSize);
    return true;
  }

  bool ReadChunks(Message& aMessage, double aUntil)
  {
    for (;;) {
      size_t end = 0;
      while ((end = this->buffer.find("\r\n")) == std::string::npos) {
        if (!this->Fill(aUntil)) {
          return false;
        }
      }
      auto size = std::stoul(this->buffer.substr(0, end), nullptr, 16);
      this->buffer.erase(0, end + 2);
      std::string rest;
      if (!this->Take(aMessage.body, size, aUntil) ||
          !this->Take(rest, 2, aUntil)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  int socket;
  std::string buffer;
};

/** Sends a request over a new connection. @return The response, if it came. */
inline std::optional<Message>
Call(const std::string& aIp,
     int aPort,
     const std::string& aStart,
     const std::string& aFields,
     const std::string& aBody,
     double aTimeout)
{
  auto until = Now() + aTimeout;
  Connection connection;
  Message response;
  auto text = aStart + " HTTP/1.1\r\nHost: " + aIp + "\r\n" + aFields +
              "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
              aBody;
  if (!connection.Connect(aIp, aPort, until) ||
      !connection.Write(text, until) || !connection.Read(response, until)) {
    return std::nullopt;
  }
  return response;
}

// ------------------------------------------------------------ processes

/** Programs that this one started; all of them end with it. */
class Processes
{
public:
  ~Processes()
  {
    for (auto pid : this->running) {
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
  }

  pid_t Start(const std::vector<std::string>& aWords,
              const std::string& aVariable,
              const std::string& aValue,
              const std::string& aLog)
  {
    std::vector<char*> words;
    for (const auto& word : aWords) {
      words.push_back(const_cast<char*>(word.c_str()));
    }
    words.push_back(nullptr);
    auto pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      int log = ::open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      for (int file = 3; file < 1024; ++file) {
        ::close(file);
      }
      if (!aVariable.empty()) {
        ::setenv(aVariable.c_str(), aValue.c_str(), 1);
      }
      ::execv(words[0], words.data());
      ::_exit(127);
    }
    this->running.insert(pid);
    return pid;
  }

  /** Sends a signal and waits until the process has ended. */
  void End(pid_t aPid, int aSignal)
  {
    ::kill(aPid, aSignal);
    ::waitpid(aPid, nullptr, 0);
    this->running.erase(aPid);
  }

  bool HasEnded(pid_t aPid)
  {
    bool ended = ::waitpid(aPid, nullptr, WNOHANG) == aPid;
    if (ended) {
      this->running.erase(aPid);
    }
    return ended;
  }

private:
  std::set<pid_t> running;
};

// ------------------------------------------------------ backend servers

constexpr int kClientsPort = 7301;
constexpr int kPeersPort = 7302;
constexpr int kReadyPort = 7303;
constexpr int kAdminPort = 7304;
constexpr int kServerPort = 7305;

/** Keys that a backend server holds. */
struct Hold
{
  int first = 0;
  int last = 0;
  uint64_t fence = 0;
  std::string handover;
  double until = 0;
};

struct ServerOptions
{
  std::string name; ///< For the record only.
  std::string id;
  std::string service;
  std::string ip;
  std::string zone;
  bool ownsKeys = false;
  int slots = 6;
  double workSeconds = 0.06;
  double heartbeat = 0.87;
};

/** One lifetime of a backend server. */
class Server
{
public:
  explicit Server(ServerOptions aOptions)
    : options(std::move(aOptions))
  {
  }
  ~Server() { this->Exit(); }

  bool Start()
  {
    this->listener = ::socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = ToAddress(this->options.ip, kServerPort);
    if (::bind(this->listener,
               reinterpret_cast<sockaddr*>(&address),
               sizeof(address)) != 0 ||
        ::listen(this->listener, 128) != 0) {
      return false;
    }
    this->up = true;
    this->threads.emplace_back([this] { this->AcceptConnections(); });
    this->threads.emplace_back([this] { this->SendHeartbeats(); });
    return true;
  }

  /** The network holds up the next heartbeat; see DeliverHeldUp. */
  void HoldUpNextHeartbeat() { this->holdUpNext = true; }
  bool HasHeldUp()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return !this->heldUp.empty();
  }

  /** Delivers the heartbeat that was held up. Nobody waits for the response. */
  void DeliverHeldUp()
  {
    Say(this->options.name + " a heartbeat arrives " +
        Format("%.1f s late: ", Now() - this->heldUpAt) + this->heldUp);
    auto response = Call(this->options.ip,
                         kAdminPort,
                         "POST /v1/instances/" + this->options.id +
                           "/heartbeat",
                         "Content-Type: application/json\r\n",
                         this->heldUp,
                         2);
    Say(this->options.name + " the late heartbeat got " +
        (response ? response->start + " " + response->body : "no response"));
  }

  void BeginDraining()
  {
    Say(this->options.name + " reports draining from now on");
    this->draining = true;
  }

  bool IsDrainingAcknowledged() const { return this->drainingAckAt > 0; }
  double DrainingAckAt() const { return this->drainingAckAt; }

  /** Announces the exit. @return When that was acknowledged; 0: it was not. */
  double Deregister()
  {
    this->beating = false;
    auto response = Call(this->options.ip,
                         kAdminPort,
                         "POST /v1/instances/" + this->options.id +
                           "/deregister",
                         "",
                         "",
                         1);
    bool acknowledged = response && response->Status() == 200;
    Say(this->options.name + " deregisters: " +
        (response ? response->start : "no response"));
    return acknowledged ? Now() : 0;
  }

  /** The process ends: nothing is held, all connections are closed. */
  void Exit()
  {
    if (!this->up.exchange(false)) {
      return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    ::close(this->listener);
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      for (auto& connection : this->connections) {
        connection->Shutdown();
      }
    }
    for (auto& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
    Say(this->options.name + " has ended");
  }

  bool IsUp() const { return this->up; }
  const std::string& Name() const { return this->options.name; }

  /** Whether it holds a key, or still works on it. */
  bool Holds(int aKey)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->up && (this->FindHold(aKey) != nullptr ||
                        this->runningKeys.count(aKey) > 0);
  }

  int HeldKeys()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    int keys = 0;
    for (const auto& hold : this->holds) {
      keys += hold.until > Now() ? hold.last - hold.first + 1 : 0;
    }
    return keys;
  }

  /** Called for each request that it begins to work on. */
  std::function<void(const std::string& aId, int aKey)> onRun;
  /** The same, with the size of its body. */
  std::function<void(const std::string& aId, size_t aBytes)> onRunBody;

private:
  const Hold* FindHold(int aKey) const
  {
    for (const auto& hold : this->holds) {
      if (hold.first <= aKey && aKey <= hold.last && hold.until > Now()) {
        return &hold;
      }
    }
    return nullptr;
  }

  void AcceptConnections()
  {
    while (this->up) {
      int accepted = ::accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
      if (accepted < 0) {
        if (!this->up) {
          return;
        }
        Sleep(0.01);
        continue;
      }
      auto connection = std::make_shared<Connection>(accepted);
      std::lock_guard<std::mutex> lock(this->mutex);
      this->connections.push_back(connection);
      this->threads.emplace_back([this, connection] {
        Message request;
        while (this->up && connection->Read(request, Now() + 10) &&
               this->Handle(*connection, request)) {
        }
        std::lock_guard<std::mutex> end(this->mutex);
        this->connections.remove(connection);
      });
    }
  }

  bool Reject(Connection& aConnection, const Message& aRequest, int aStatus)
  {
    Note(this->options.name + Format(" rejects with %d ", aStatus) +
         aRequest.Field("x-request-id"));
    return aConnection.Write(
      Format("HTTP/1.1 %d No\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\n",
             aStatus,
             this->options.id.c_str()) +
        "X-Request-Id: " + aRequest.Field("x-request-id") +
        "\r\nContent-Length: 0\r\n\r\n",
      Now() + 1);
  }

  bool Handle(Connection& aConnection, const Message& aRequest)
  {
    auto requestId = aRequest.Field("x-request-id");
    auto target = aRequest.Field("x-target-instance");
    auto left = aRequest.Field("x-timeout-ms");
    auto keyText = aRequest.Field("x-shard-key");
    int key = keyText.empty() ? -1 : std::atoi(keyText.c_str());
    auto until = Now() + (left.empty() ? 1.0 : std::atof(left.c_str()) / 1000);
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      bool isMine = target.empty() || target == this->options.id;
      if (!isMine ||
          (this->options.ownsKeys && this->FindHold(key) == nullptr)) {
        return this->Reject(aConnection, aRequest, 421);
      }
      if (this->running >= this->options.slots) {
        return this->Reject(aConnection, aRequest, 503);
      }
      ++this->running;
      this->runningKeys.insert(key);
      Note(this->options.name + " runs " + requestId +
           (key < 0 ? "" : " key " + keyText));
    }
    if (this->onRun) {
      this->onRun(requestId, key);
    }
    if (this->onRunBody) {
      this->onRunBody(requestId, aRequest.body.size());
    }
    auto end = Now() + this->options.workSeconds;
    bool dropped = false;
    while (Now() < end && !dropped) {
      Sleep(0.005);
      dropped = !this->up || aConnection.IsClosedByPeer() || Now() > until;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    --this->running;
    this->runningKeys.erase(this->runningKeys.find(key));
    bool expired = this->options.ownsKeys && this->FindHold(key) == nullptr;
    if (!this->up) {
      return false;
    }
    auto status = Now() > until ? 504 : expired ? 500 : 200;
    std::string body = "done " + requestId;
    Note(this->options.name + Format(" answers %d ", status) + requestId);
    return aConnection.Write(
      Format("HTTP/1.1 %d Done\r\nX-Server-Signature: %s.%s\r\n"
             "X-Server-Load: %d,0,%d\r\nX-Request-Id: %s\r\n"
             "Keep-Alive: timeout=10\r\nContent-Length: %zu\r\n\r\n",
             status,
             this->options.id.c_str(),
             requestId.c_str(),
             this->running,
             this->options.slots,
             requestId.c_str(),
             body.size()) +
        body,
      Now() + 1);
  }

  std::string HeartbeatBody()
  {
    json body = { { "service", this->options.service },
                  { "address",
                    this->options.ip + ":" + std::to_string(kServerPort) },
                  { "zone", this->options.zone },
                  { "version", "v1" },
                  { "slots", this->options.slots },
                  { "state", this->draining ? "draining" : "ready" },
                  { "cold", "0ms" },
                  { "seq", ++this->sequence } };
    if (this->options.ownsKeys) {
      body["holds"] = json::array();
      for (const auto& hold : this->holds) {
        if (hold.until > Now()) {
          body["holds"].push_back({ hold.first, hold.last, hold.fence });
        }
      }
      body["freed"] = json::array();
      for (const auto& freed : this->freed) {
        body["freed"].push_back({ freed.first, freed.last, freed.handover });
      }
    }
    return body.dump();
  }

  void SendHeartbeats()
  {
    while (this->up) {
      double pause = this->options.heartbeat;
      if (this->beating && this->SendHeartbeat()) {
        pause = 0.1; // Until all is released and reported.
      }
      for (auto end = Now() + pause; this->up && Now() < end;) {
        Sleep(0.01);
      }
    }
  }

  /** @return Whether another heartbeat follows soon. */
  bool SendHeartbeat()
  {
    std::string body;
    size_t reported = 0;
    bool reportsDraining = this->draining;
    auto sentAt = Now();
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      body = this->HeartbeatBody();
      reported = this->freed.size();
      if (this->holdUpNext) {
        this->holdUpNext = false;
        this->heldUp = body;
        this->heldUpAt = sentAt;
      }
    }
    if (body == this->heldUp) {
      Say(this->options.name + " heartbeat is held up: " + body);
      Sleep(1); // It waits for an acknowledgement.
      return false;
    }
    auto response = Call(this->options.ip,
                         kAdminPort,
                         "POST /v1/instances/" + this->options.id +
                           "/heartbeat",
                         "Content-Type: application/json\r\n",
                         body,
                         1);
    Note(this->options.name + " heartbeat " + body + " -> " +
         (response ? response->start + " " + response->body : "none"));
    if (!response || response->Status() != 200 || !this->up) {
      return false;
    }
    if (reportsDraining && this->drainingAckAt == 0) {
      this->drainingAckAt = Now();
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    this->freed.erase(this->freed.begin(),
                      this->freed.begin() +
                        static_cast<std::ptrdiff_t>(reported));
    auto reply = json::parse(response->body, nullptr, false);
    if (reply.is_object() && reply.contains("holds")) {
      this->ApplyGrants(reply, sentAt);
    }
    return !this->freed.empty();
  }

  void ApplyGrants(const json& aReply, double aSentAt)
  {
    auto time = aReply.at("hold_time").get<std::string>();
    double seconds = std::stod(time);
    if (time.size() > 2 && time.substr(time.size() - 2) == "ms") {
      seconds /= 1000;
    }
    std::vector<Hold> granted;
    for (const auto& row : aReply.at("holds")) {
      Hold hold{ row.at(0).get<int>(),
                 row.at(1).get<int>(),
                 row.at(2).get<uint64_t>(),
                 row.at(3).get<std::string>(),
                 aSentAt + seconds };
      if (hold.until > Now()) {
        granted.push_back(hold);
      }
    }
    for (const auto& hold : this->holds) {
      if (hold.until <= Now()) {
        continue; // An expired lease is not reported as freed.
      }
      for (auto [first, last] : Without(hold, granted)) {
        this->freed.push_back({ first, last, hold.fence, NewToken(), 0 });
      }
    }
    this->holds = std::move(granted);
  }

  /** The parts of a range that none of the others contains. */
  static std::vector<std::pair<int, int>> Without(
    const Hold& aHold,
    const std::vector<Hold>& aOthers)
  {
    std::vector<std::pair<int, int>> rest{ { aHold.first, aHold.last } };
    for (const auto& other : aOthers) {
      std::vector<std::pair<int, int>> next;
      for (auto [first, last] : rest) {
        if (other.last < first || last < other.first) {
          next.emplace_back(first, last);
          continue;
        }
        if (first < other.first) {
          next.emplace_back(first, other.first - 1);
        }
        if (other.last < last) {
          next.emplace_back(other.last + 1, last);
        }
      }
      rest = next;
    }
    return rest;
  }

  static std::string NewToken()
  {
    static std::atomic<unsigned> number{ 0 };
    return Format("5c0e7a21%08x", ++number);
  }

  ServerOptions options;
  int listener = -1;
  std::atomic<bool> up{ false };
  std::atomic<bool> draining{ false };
  std::atomic<bool> beating{ true };
  std::atomic<bool> holdUpNext{ false };
  std::atomic<double> drainingAckAt{ 0 };
  std::mutex mutex;
  std::list<std::thread> threads;
  std::list<std::shared_ptr<Connection>> connections;
  std::vector<Hold> holds;
  std::vector<Hold> freed;
  std::multiset<int> runningKeys;
  int running = 0;
  uint64_t sequence = 0;
  std::string heldUp;
  double heldUpAt = 0;
};

// ----------------------------------------------------------- deployment

/** The store and the daemons of a small deployment, as processes. */
class Deployment
{
public:
  /** @param aServices The service of each machine. */
  explicit Deployment(std::vector<std::string> aServices)
    : services(std::move(aServices))
  {
    auto name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->folder = ::mkdtemp(name.data());
    std::random_device random;
    do { // A loopback network that nobody else uses.
      this->network = Format("127.%u.%u", 16 + random() % 200, random() % 250);
    } while (!this->IsFree());
  }

  ~Deployment()
  {
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::system(("rm -rf " + this->folder).c_str());
    }
  }

  std::string Ip(size_t aMachine) const
  {
    return this->network + "." + std::to_string(aMachine + 1);
  }

  std::string Zone(size_t aMachine) const
  {
    return std::string("zone-") + static_cast<char>('a' + aMachine % 3);
  }

  const std::string& Service(size_t aMachine) const
  {
    return this->services[aMachine];
  }

  size_t Size() const { return this->services.size(); }
  const std::string& Folder() const { return this->folder; }

  bool StartStore(const std::string& aProgram, const json& aConfiguration)
  {
    auto ports = this->folder + "/store";
    this->processes.Start({ aProgram, "--ports-file", ports },
                          "",
                          "",
                          this->folder + "/store.log");
    for (int tries = 0; tries < 100 && this->storePort == 0; ++tries) {
      Sleep(0.05);
      std::ifstream file(ports);
      std::string text((std::istreambuf_iterator<char>(file)),
                       std::istreambuf_iterator<char>());
      auto digits = text.find_first_of("0123456789");
      if (digits != std::string::npos) {
        this->storePort = std::stoi(text.substr(digits));
      }
    }
    auto response = this->storePort == 0
                      ? std::nullopt
                      : Call("127.0.0.1",
                             this->storePort,
                             "POST /standin/config",
                             "",
                             aConfiguration.dump(),
                             2);
    return response && response->Status() == 200;
  }

  void StartDaemon(size_t aMachine)
  {
    auto settings = this->folder + Format("/node-%zu.conf", aMachine + 1);
    std::ofstream file(settings);
    auto ip = this->Ip(aMachine);
    file << "[node]\nname = node-" << aMachine + 1 << "\nip = " << ip
         << "\nzone = " << this->Zone(aMachine)
         << "\nservice = " << this->services[aMachine] << "\nserver = " << ip
         << ":" << kServerPort << "\n[listen]\nclients = " << ip << ":"
         << kClientsPort << "\npeers = " << ip << ":" << kPeersPort
         << "\nready = " << ip << ":" << kReadyPort << "\nserver-calls = " << ip
         << ":" << kAdminPort << "\nmetrics = " << ip
         << ":9464\nfirst-port = 7380\nlast-port = 7395\n[platform]\nstore = "
         << "127.0.0.1:" << this->storePort
         << "\n[bounds]\nheartbeat = 870ms\nlongest-hold = 10000ms\n"
            "drain-time = 2000ms\nstop-time = 6s\nretry-ratio = 0.2\n"
            "[limits]\nmemory = 260\ndescriptors = 4100\n";
    file.close();
    this->daemons[aMachine] = this->processes.Start(
      { "target/src/fescuetillerd", "--settings-from",
        "FESCUETILLER_NODE_FILE" },
      "FESCUETILLER_NODE_FILE",
      settings,
      this->folder + Format("/node-%zu.log", aMachine + 1));
    Say(Format("daemon %zu starts", aMachine + 1));
  }

  /** Sends a signal to a daemon and waits for its end. */
  void EndDaemon(size_t aMachine, int aSignal)
  {
    Say(Format("daemon %zu gets signal %d", aMachine + 1, aSignal));
    this->processes.End(this->daemons[aMachine], aSignal);
    Say(Format("daemon %zu has ended", aMachine + 1));
  }

  bool IsReady(size_t aMachine) const
  {
    auto response =
      Call(this->Ip(aMachine), kReadyPort, "GET /v1/ready", "", "", 1);
    return response && response->Status() == 200;
  }

  pid_t Daemon(size_t aMachine) { return this->daemons[aMachine]; }
  Processes& Programs() { return this->processes; }

private:
  bool IsFree() const
  {
    for (size_t machine = 0; machine < this->services.size(); ++machine) {
      int probe = ::socket(AF_INET, SOCK_STREAM, 0);
      auto address = ToAddress(this->Ip(machine), kAdminPort);
      bool free = ::bind(probe,
                         reinterpret_cast<sockaddr*>(&address),
                         sizeof(address)) == 0;
      ::close(probe);
      if (!free) {
        return false;
      }
    }
    return true;
  }

  std::vector<std::string> services;
  std::string folder;
  std::string network;
  int storePort = 0;
  Processes processes;
  std::map<size_t, pid_t> daemons;
};

/** The configuration that the wire examples of the small sites show. */
inline json
Configuration()
{
  auto route = [](const char* aPrefix,
                  const char* aKind,
                  const char* aService,
                  int aPriority) {
    return json{ { "host", "a.example" },       { "prefix", aPrefix },
                 { "kind", aKind },             { "timeout", "1000ms" },
                 { "target-latency", "250ms" }, { "priority", aPriority },
                 { "service", aService },       { "attempts", 2 } };
  };
  auto service = [](bool aOwnsKeys) {
    json fields = { { "health-check", "/health" },
                    { "max-connections", 120 },
                    { "protocol", "h1" },
                    { "tls", false } };
    if (aOwnsKeys) {
      fields["sharded"] = true;
      fields["warm"] = "5s";
      fields["grants"] = "heartbeat";
    }
    return fields;
  };
  return { { "version", "r7" },
           { "routes",
             { { "look", route("/look/", "safe", "agenda", 2) },
               { "book", route("/book/", "unsafe", "agenda", 1) },
               { "pack", route("/pack/", "safe", "dossier", 2) },
               { "log", route("/log/", "unsafe", "dossier", 2) } } },
           { "services",
             { { "agenda", service(true) }, { "dossier", service(false) } } },
           { "limits",
             { { "max-header-bytes", 16384 },
               { "max-body-bytes", 67108864 },
               { "header-timeout", "3000ms" },
               { "idle-timeout", "15000ms" } } } };
}

/** What became of one request of a client. */
struct Outcome
{
  std::string id;
  double sentAt = 0;
  double endedAt = 0;
  int status = 0; ///< 0: the connection ended without a response.
  std::string body;
};

/** Sends one request as a client of a machine, over a new connection. */
inline Outcome
Request(const std::string& aIp,
        const std::string& aMethod,
        const std::string& aPath,
        const std::string& aId,
        int aKey,
        int aTimeoutMs = 1000,
        const std::string& aBody = "")
{
  Outcome outcome;
  outcome.id = aId;
  outcome.sentAt = Now();
  auto until = Now() + aTimeoutMs / 1000.0;
  auto text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: a.example\r\n" +
              "X-Request-Id: " + aId +
              "\r\nX-Timeout-Ms: " + std::to_string(aTimeoutMs) + "\r\n" +
              (aKey < 0 ? "" : "X-Shard-Key: " + std::to_string(aKey) + "\r\n") +
              "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
              aBody;
  Connection connection;
  Message response;
  if (connection.Connect(aIp, kClientsPort, until) &&
      connection.Write(text, until) && connection.Read(response, until + 0.2)) {
    outcome.status = response.Status();
    outcome.body = response.body;
  }
  outcome.endedAt = Now();
  Note("client " + aMethod + " " + aPath + " " + aId + " at " + aIp +
       (aKey < 0 ? "" : " key " + std::to_string(aKey)) +
       Format(" sent %.3f -> %d ", outcome.sentAt, outcome.status) +
       (outcome.status == 200 ? "" : response.body.substr(0, 60)));
  return outcome;
}

/** Whether the disruption of the case takes place. */
inline bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

} // namespace review
