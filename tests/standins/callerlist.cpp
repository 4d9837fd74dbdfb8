#include "standins/callerlist.h"

#include <algorithm>
#include <fstream>

namespace fescuetiller {

CallerList::CallerList(std::string aFile)
  : file(std::move(aFile))
{
  this->Reload();
}

void
CallerList::Reload()
{
  std::ifstream stream(this->file);
  std::vector<std::string> read;
  std::string line;
  while (std::getline(stream, line)) {
    if (!line.empty()) {
      read.push_back(line);
    }
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  this->addresses = std::move(read);
}

std::string
CallerList::Pick(std::mt19937& aRandom, const std::string& aExcept) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> candidates;
  std::copy_if(
    this->addresses.begin(),
    this->addresses.end(),
    std::back_inserter(candidates),
    [&](const std::string& aAddress) { return aAddress != aExcept; });
  if (candidates.empty()) {
    return "";
  }
  std::uniform_int_distribution<size_t> any(0, candidates.size() - 1);
  return candidates[any(aRandom)];
}

} // namespace fescuetiller
