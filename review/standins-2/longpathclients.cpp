// A crowd of clients. Each keeps a connection and sends requests one after the
// other, the next one when it has the answer to the one before. Their paths are
// long, but inside the limit for headers; no route matches them. With --slashes 0
// the paths are as long and have a slash at the beginning only.

#include <atomic>
#include <thread>
#include <vector>

#include "http.h"

using namespace review;

int
main(int aCount, char** aArguments)
{
  auto option = [&](const char* aName, const char* aDefault = nullptr) {
    return Option(aCount, aArguments, aName, aDefault);
  };
  Record record(option("--record"));
  auto address = option("--address");
  bool slashes = option("--slashes") == "1";
  auto length = static_cast<size_t>(std::atoll(option("--length").c_str()));
  int count = std::atoi(option("--clients").c_str());
  auto until = NowMs() + std::atoll(option("--seconds").c_str()) * 1000;
  std::string path(length, slashes ? '/' : 'a');
  path[0] = '/';
  auto request = "GET " + path + " HTTP/1.1\r\nHost: " + option("--host") +
                 "\r\nX-Request-Id: long\r\nX-Timeout-Ms: 800\r\n\r\n";
  std::atomic<int> answered{ 0 };
  std::atomic<int> other{ 0 };
  std::vector<std::thread> threads;
  for (int client = 0; client < count; ++client) {
    threads.emplace_back([&] {
      int connection = Connect(address, 20000);
      std::string buffer;
      Message answer;
      while (connection >= 0 && NowMs() < until) {
        if (!SendAll(connection, request) ||
            ReadMessage(connection, buffer, answer, NowMs() + 20000) !=
              ReadResult::Whole) {
          break;
        }
        ++(answer.Status() == 404 ? answered : other);
      }
      ::close(connection);
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  record.Write("long paths: " + std::to_string(answered) +
               " requests answered 404, " + std::to_string(other) +
               " otherwise");
}
