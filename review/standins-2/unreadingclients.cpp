// Clients that send many requests ahead on their connections and read the
// answers slowly, and at some point not at all. The requests are legal: a short
// body, announced with "Expect: 100-continue", at a path without a route.
// With --reads 1 they read all answers as these come.
//
// Prints "quiet" with the time of the last byte that any of them sent or read
// once nothing moves any more, and then keeps the connections open.

#include <vector>

#include "http.h"

using namespace review;

namespace {

/** Requests of one write. */
constexpr int kBatch = 200;
constexpr size_t kReadBytes = 65536;
/** After this time without progress, a connection is quiet. */
constexpr int64_t kQuietMs = 400;

struct Client
{
  int connection = -1;
  std::string pending;
  int64_t requests = 0;
  int64_t movedAt = 0;
  size_t mayRead = 0;
};

} // namespace

int
main(int aCount, char** aArguments)
{
  auto option = [&](const char* aName, const char* aDefault = nullptr) {
    return Option(aCount, aArguments, aName, aDefault);
  };
  Record record(option("--record"));
  auto address = option("--address");
  auto probe = option("--probe"); // Request of an ordinary client.
  bool reads = option("--reads", "0") == "1";
  int count = std::atoi(option("--clients").c_str());
  int rounds = std::atoi(option("--rounds").c_str());
  size_t share = static_cast<size_t>(std::atoll(option("--read-bytes").c_str()));
  int64_t most = std::atoll(option("--requests").c_str());
  int64_t holdMs = std::atoll(option("--hold-seconds").c_str()) * 1000;

  std::string one = "POST /none/ HTTP/1.1\r\nHost: none.example\r\n"
                    "Expect: 100-continue\r\nContent-Length: 1\r\n\r\na";
  std::string batch;
  for (int index = 0; index < kBatch; ++index) {
    batch += one;
  }
  std::vector<Client> clients(static_cast<size_t>(count));
  for (auto& client : clients) {
    client.connection = Connect(address, 2000, 4096);
    if (client.connection < 0) {
      record.Write("unreading client: no connection");
      return 2;
    }
    ::fcntl(client.connection, F_SETFL, O_NONBLOCK);
    client.movedAt = NowMs();
  }
  std::vector<char> bytes(kReadBytes);
  int round = 0;
  int64_t lastMove = NowMs();
  for (;;) {
    bool done = true;
    bool quiet = true;
    for (auto& client : clients) {
      if (client.pending.empty() && client.requests < most) {
        client.pending = batch;
        client.requests += kBatch;
      }
      if (!client.pending.empty()) {
        auto sent = ::send(client.connection,
                           client.pending.data(),
                           client.pending.size(),
                           MSG_NOSIGNAL);
        if (sent > 0) {
          client.pending.erase(0, static_cast<size_t>(sent));
          client.movedAt = NowMs();
        }
      }
      if (reads || client.mayRead > 0) {
        auto got = ::recv(client.connection, bytes.data(), bytes.size(), 0);
        if (got > 0) {
          client.mayRead -= std::min(client.mayRead, static_cast<size_t>(got));
          client.movedAt = NowMs();
        }
      }
      lastMove = std::max(lastMove, client.movedAt);
      done = done && client.requests >= most && client.pending.empty();
      quiet = quiet && NowMs() - client.movedAt > kQuietMs;
    }
    if (!quiet) {
      pollfd none{ -1, 0, 0 };
      ::poll(&none, 1, 1);
      continue;
    }
    if ((reads && done) || round == rounds) {
      break;
    }
    // Ordinary clients are asked whether they are served; if so, these clients
    // read a part of their answers and go on.
    if (!reads && !Call(address, probe, 1500)) {
      break;
    }
    ++round;
    for (auto& client : clients) {
      client.mayRead = share;
      client.movedAt = NowMs();
    }
  }
  int64_t requests = 0;
  for (const auto& client : clients) {
    requests += client.requests;
  }
  record.Write("unreading clients: quiet since " + std::to_string(lastMove) +
               " after " + std::to_string(requests) + " requests on " +
               std::to_string(count) + " connections and " +
               std::to_string(round) + " rounds of reading");
  std::printf("quiet %lld\n", static_cast<long long>(lastMove));
  std::fflush(stdout);
  pollfd none{ -1, 0, 0 };
  ::poll(&none, 1, static_cast<int>(holdMs));
  for (auto& client : clients) {
    ::close(client.connection);
  }
  record.Write("unreading clients: gone");
}
