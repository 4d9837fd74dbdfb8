#pragma once

#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace fescuetiller {

/** Daemons that callers may use, one address a line in a file that the demo
 * rewrites as daemons come and go. Thread-safe. */
class CallerList
{
public:
  explicit CallerList(std::string aFile);

  void Reload();

  /** Any daemon but aExcept; empty when there is none. */
  std::string Pick(std::mt19937& aRandom, const std::string& aExcept) const;

private:
  std::string file;
  mutable std::mutex mutex;
  std::vector<std::string> addresses;
};

} // namespace fescuetiller
