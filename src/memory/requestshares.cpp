#include "memory/requestshares.h"

#include <algorithm>
#include <numeric>

namespace fescuetiller {

namespace {

template<class Counts, class Key>
size_t
CountOf(const Counts& aCounts, const Key& aKey)
{
  auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

template<class Counts, class Key>
void
Decrement(Counts& aCounts, const Key& aKey)
{
  auto found = aCounts.find(aKey);
  if (found != aCounts.end() && --found->second == 0) {
    aCounts.erase(found);
  }
}

} // namespace

RequestShares::RequestShares(size_t aSpace)
  : space(aSpace)
{
}

void
RequestShares::OnStarted(uint64_t aConnection, const std::string& aAddress)
{
  ++this->byConnection[aConnection];
  ++this->byAddress[aAddress];
}

void
RequestShares::OnEnded(uint64_t aConnection, const std::string& aAddress)
{
  if (CountOf(this->byConnection, aConnection) > 0) {
    Decrement(this->byConnection, aConnection);
    Decrement(this->byAddress, aAddress);
  }
}

bool
RequestShares::MayRunBeside(uint64_t aConnection,
                            const std::string& aAddress) const
{
  auto own = CountOf(this->byConnection, aConnection);
  if (own == 0) {
    return true;
  }
  // The space is divided by the connections and addresses that use it now.
  return own < std::max<size_t>(1, this->space / this->byConnection.size()) &&
         CountOf(this->byAddress, aAddress) <
           this->space / std::max<size_t>(1, this->byAddress.size());
}

size_t
RequestShares::RunningCount() const
{
  return std::accumulate(
    this->byConnection.begin(),
    this->byConnection.end(),
    size_t(0),
    [](size_t aSum, const auto& aEntry) { return aSum + aEntry.second; });
}

} // namespace fescuetiller
