// Ordinary clients of one machine. Each keeps a connection, sends a request,
// reads the answer, pauses and goes on. They record each request and how it
// ended, and behave as PROTOCOL.md says: an attempt that got no answer in time
// is given up, and the next one takes a new connection.

#include <atomic>
#include <thread>
#include <vector>

#include "http.h"

using namespace review;

namespace {

struct Load
{
  std::string address;
  std::string name;
  std::string host;
  std::string path;
  std::string method;
  int timeoutMs = 1000;
  int pauseMs = 20;
  int64_t untilMs = 0;
  const Record* record = nullptr;
};

void
RunClient(const Load& aLoad, int aClient)
{
  int connection = -1;
  std::string buffer;
  unsigned state = static_cast<unsigned>(aClient) * 2654435761U + 17;
  for (int number = 0; NowMs() < aLoad.untilMs; ++number) {
    auto id = aLoad.name + "-" + std::to_string(aClient) + "-" +
              std::to_string(number);
    if (connection < 0) {
      buffer.clear();
      connection = Connect(aLoad.address, 1000);
    }
    if (connection < 0) {
      aLoad.record->Write(id + " no connection");
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
      continue;
    }
    state = state * 1664525U + 1013904223U;
    std::string body = aLoad.method == "POST" ? "0123456789abcdef" : "";
    auto request = aLoad.method + " " + aLoad.path + id +
                   " HTTP/1.1\r\nHost: " + aLoad.host +
                   "\r\nX-Request-Id: " + id +
                   "\r\nX-Timeout-Ms: " + std::to_string(aLoad.timeoutMs) +
                   "\r\nX-Shard-Key: " + std::to_string(state >> 16) +
                   (body.empty() ? ""
                                 : "\r\nContent-Length: " +
                                     std::to_string(body.size())) +
                   "\r\n\r\n" + body;
    auto sentAt = NowMs();
    aLoad.record->Write(id + " sent");
    Message answer;
    auto result = ReadResult::Closed;
    if (SendAll(connection, request)) {
      // Half a second more than the time that the route allows.
      result =
        ReadMessage(connection, buffer, answer, sentAt + aLoad.timeoutMs + 500);
    }
    auto taken = std::to_string(NowMs() - sentAt) + " ms";
    if (result == ReadResult::Whole) {
      aLoad.record->Write(id + " answered " + std::to_string(answer.Status()) +
                          " after " + taken);
      if (answer.Field("x-request-id") != id) {
        aLoad.record->Write(id + " got an answer without its id");
      }
    } else {
      aLoad.record->Write(
        id + (result == ReadResult::Closed ? " connection closed after "
                                           : " unanswered after ") +
        taken);
    }
    if (result != ReadResult::Whole || answer.Field("connection") == "close") {
      ::close(connection);
      connection = -1;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(aLoad.pauseMs));
  }
}

} // namespace

int
main(int aCount, char** aArguments)
{
  auto option = [&](const char* aName, const char* aDefault = nullptr) {
    return Option(aCount, aArguments, aName, aDefault);
  };
  Record record(option("--record"));
  Load load;
  load.record = &record;
  load.address = option("--address");
  load.name = option("--name");
  load.host = option("--host");
  load.path = option("--path");
  load.method = option("--method");
  load.timeoutMs = std::atoi(option("--timeout-ms").c_str());
  load.pauseMs = std::atoi(option("--pause-ms", "20").c_str());
  load.untilMs = NowMs() + std::atoll(option("--seconds").c_str()) * 1000;
  int count = std::atoi(option("--clients").c_str());
  std::vector<std::thread> threads;
  for (int client = 0; client < count; ++client) {
    threads.emplace_back([&, client] { RunClient(load, client); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}
