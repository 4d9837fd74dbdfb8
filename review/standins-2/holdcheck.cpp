// Reads the record of a case and prints for how many milliseconds in all two
// backend servers have held the same key at the most, and which. A server holds what the
// last answer to its reports has granted, until that is replaced or expires.

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <vector>

namespace {

struct Hold
{
  std::string server;
  int64_t from = 0;
  int64_t until = 0;
  int first = 0;
  int last = 0;
  unsigned long long fence = 0;
};

} // namespace

int
main(int, char** aArguments)
{
  std::ifstream record(aArguments[1]);
  std::map<std::string, std::vector<Hold>> current;
  std::vector<Hold> all;
  auto replace = [&](const std::string& aServer, int64_t aNow) {
    for (auto& hold : current[aServer]) {
      hold.until = std::min(hold.until, aNow);
      all.push_back(hold);
    }
    current[aServer].clear();
  };
  std::string line;
  while (std::getline(record, line)) {
    std::istringstream words(line);
    int64_t now = 0;
    std::string server;
    std::string verb;
    std::string word;
    int64_t until = 0;
    words >> now >> server >> verb;
    if (verb != "holds") {
      continue;
    }
    words >> word >> until;
    replace(server, now);
    while (words >> word) {
      Hold hold;
      hold.server = server;
      hold.from = now;
      hold.until = until;
      if (std::sscanf(word.c_str(),
                      "%d-%d@%llu",
                      &hold.first,
                      &hold.last,
                      &hold.fence) == 3) {
        current[server].push_back(hold);
      }
    }
  }
  for (auto& [server, holds] : current) {
    replace(server, INT64_MAX);
  }
  // Answers follow each other at each report, so the times of two servers are
  // added up for a key at which they overlap.
  auto together = [&](const std::string& aOne, const std::string& aOther, int aKey) {
    int64_t sum = 0;
    for (const auto& one : all) {
      for (const auto& other : all) {
        if (one.server == aOne && other.server == aOther && one.first <= aKey &&
            aKey <= one.last && other.first <= aKey && aKey <= other.last) {
          sum += std::max<int64_t>(0,
                                   std::min(one.until, other.until) -
                                     std::max(one.from, other.from));
        }
      }
    }
    return sum;
  };
  int64_t longest = 0;
  std::string which = "none";
  for (const auto& one : all) {
    for (const auto& other : all) {
      auto key = std::max(one.first, other.first);
      if (one.server >= other.server || key > std::min(one.last, other.last) ||
          std::min(one.until, other.until) <= std::max(one.from, other.from)) {
        continue;
      }
      auto time = together(one.server, other.server, key);
      if (time > longest) {
        longest = time;
        which = one.server + " (token " + std::to_string(one.fence) +
                ") and " + other.server + " (token " +
                std::to_string(other.fence) + "), key " + std::to_string(key);
      }
    }
  }
  std::cout << longest << " " << which << std::endl;
}
