#include "scheduling/classqueue.h"

#include <algorithm>

namespace fescuetiller {

void
ClassQueue::Push(uint64_t aKeyHash,
                 uint64_t aId,
                 Time aArrivedAt,
                 Duration aDelay)
{
  auto& queue = this->keys[aKeyHash];
  Time place = aArrivedAt + aDelay;
  if (!queue.empty()) {
    place = std::max(place, queue.back().place);
  }
  Entry entry{ place, aId, aKeyHash, aArrivedAt };
  queue.push_back(entry);
  this->order.insert(entry);
  this->Resize(aKeyHash, queue.size() - 1, queue.size());
}

uint64_t
ClassQueue::Front() const
{
  return this->order.begin()->id;
}

Time
ClassQueue::FrontArrivedAt() const
{
  return this->order.begin()->arrivedAt;
}

void
ClassQueue::PopFront()
{
  this->Remove(this->order.begin()->keyHash, this->order.begin()->id);
}

std::optional<uint64_t>
ClassQueue::PushOut(uint64_t aKeyHash)
{
  if (this->lengths.empty()) {
    return std::nullopt;
  }
  auto [longest, victim] = *this->lengths.rbegin();
  if (this->SizeOf(aKeyHash) + 1 >= longest) {
    return std::nullopt;
  }
  auto& queue = this->keys.at(victim);
  Entry newest = queue.back();
  queue.pop_back();
  this->order.erase(newest);
  this->Resize(victim, longest, longest - 1);
  return newest.id;
}

bool
ClassQueue::Remove(uint64_t aKeyHash, uint64_t aId)
{
  auto found = this->keys.find(aKeyHash);
  if (found == this->keys.end()) {
    return false;
  }
  auto& queue = found->second;
  auto same = [aId](const Entry& aEntry) { return aEntry.id == aId; };
  auto entry = std::find_if(queue.begin(), queue.end(), same);
  if (entry == queue.end()) {
    return false;
  }
  this->order.erase(*entry);
  queue.erase(entry);
  this->Resize(aKeyHash, queue.size() + 1, queue.size());
  return true;
}

void
ClassQueue::Resize(uint64_t aKeyHash, size_t aBefore, size_t aAfter)
{
  this->lengths.erase({ aBefore, aKeyHash });
  if (aAfter == 0) {
    this->keys.erase(aKeyHash);
  } else {
    this->lengths.insert({ aAfter, aKeyHash });
  }
}

size_t
ClassQueue::Size() const
{
  return this->order.size();
}

size_t
ClassQueue::SizeOf(uint64_t aKeyHash) const
{
  auto found = this->keys.find(aKeyHash);
  return found == this->keys.end() ? 0 : found->second.size();
}

} // namespace fescuetiller
