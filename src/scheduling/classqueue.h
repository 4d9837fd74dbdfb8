#pragma once

#include <deque>
#include <list>
#include <optional>
#include <set>
#include <unordered_map>

#include "scheduling/queuedrequest.h"

namespace fescuetiller {

/**
 * Waiting requests of one class. Keys take turns, each key's own requests stay
 * in order, so a hot key delays only itself. Each call takes at most
 * logarithmic time.
 */
class ClassQueue
{
public:
  void Push(uint64_t aKeyHash, uint64_t aId, Time aArrivedAt);

  /** Request of the key whose turn it is. The queue must not be empty. */
  uint64_t Front() const;
  Time FrontArrivedAt() const;
  void PopFront();

  /** Removes the newest request of the key with the most waiting.
   * Nothing when the key given would not have fewer than that key. */
  std::optional<uint64_t> PushOut(uint64_t aKeyHash);

  /** Removes a request wherever it waits; linear in its key's requests. */
  bool Remove(uint64_t aKeyHash, uint64_t aId);

  size_t Size() const;
  size_t Keys() const;

private:
  struct Entry
  {
    uint64_t id = 0;
    Time arrivedAt;
  };
  struct KeyQueue
  {
    std::deque<Entry> entries;
    std::list<uint64_t>::iterator turn;
  };

  void Resize(uint64_t aKeyHash, size_t aBefore, size_t aAfter);
  void EraseIfEmpty(uint64_t aKeyHash);

  std::unordered_map<uint64_t, KeyQueue> keys;
  std::list<uint64_t> turns;
  std::set<std::pair<size_t, uint64_t>> lengths;
  size_t size = 0;
};

} // namespace fescuetiller
