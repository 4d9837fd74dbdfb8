#include "scheduling/classqueue.h"

#include <algorithm>

namespace fescuetiller {

void
ClassQueue::Push(uint64_t aKeyHash, uint64_t aId, Time aArrivedAt)
{
  KeyQueue& queue = this->keys[aKeyHash];
  if (queue.entries.empty()) {
    queue.turn = this->turns.insert(this->turns.end(), aKeyHash);
  }
  queue.entries.push_back({ aId, aArrivedAt });
  this->Resize(aKeyHash, queue.entries.size() - 1, queue.entries.size());
}

uint64_t
ClassQueue::Front() const
{
  return this->keys.at(this->turns.front()).entries.front().id;
}

Time
ClassQueue::FrontArrivedAt() const
{
  return this->keys.at(this->turns.front()).entries.front().arrivedAt;
}

void
ClassQueue::PopFront()
{
  uint64_t key = this->turns.front();
  KeyQueue& queue = this->keys.at(key);
  queue.entries.pop_front();
  this->turns.splice(this->turns.end(), this->turns, queue.turn);
  this->Resize(key, queue.entries.size() + 1, queue.entries.size());
  this->EraseIfEmpty(key);
}

std::optional<uint64_t>
ClassQueue::PushOut(uint64_t aKeyHash)
{
  if (this->lengths.empty()) {
    return std::nullopt;
  }
  auto [longest, victim] = *this->lengths.rbegin();
  auto own = this->keys.find(aKeyHash);
  size_t ownLength = own == this->keys.end() ? 0 : own->second.entries.size();
  if (ownLength + 1 >= longest) {
    return std::nullopt;
  }
  KeyQueue& queue = this->keys.at(victim);
  uint64_t id = queue.entries.back().id;
  queue.entries.pop_back();
  this->Resize(victim, longest, longest - 1);
  return id;
}

bool
ClassQueue::Remove(uint64_t aKeyHash, uint64_t aId)
{
  auto found = this->keys.find(aKeyHash);
  if (found == this->keys.end()) {
    return false;
  }
  auto& entries = found->second.entries;
  auto same = [aId](const Entry& aEntry) { return aEntry.id == aId; };
  auto entry = std::find_if(entries.begin(), entries.end(), same);
  if (entry == entries.end()) {
    return false;
  }
  entries.erase(entry);
  this->Resize(aKeyHash, entries.size() + 1, entries.size());
  this->EraseIfEmpty(aKeyHash);
  return true;
}

void
ClassQueue::Resize(uint64_t aKeyHash, size_t aBefore, size_t aAfter)
{
  this->lengths.erase({ aBefore, aKeyHash });
  if (aAfter != 0) {
    this->lengths.insert({ aAfter, aKeyHash });
  }
  this->size = this->size + aAfter - aBefore;
}

void
ClassQueue::EraseIfEmpty(uint64_t aKeyHash)
{
  auto found = this->keys.find(aKeyHash);
  if (found->second.entries.empty()) {
    this->turns.erase(found->second.turn);
    this->keys.erase(found);
  }
}

size_t
ClassQueue::Size() const
{
  return this->size;
}

size_t
ClassQueue::Keys() const
{
  return this->keys.size();
}

} // namespace fescuetiller
