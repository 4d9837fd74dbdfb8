#pragma once

#include <deque>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#include "scheduling/queuedrequest.h"

namespace fescuetiller {

/**
 * Waiting requests of one class in the order of arrival. A request of a key
 * that already has requests waiting is placed later, so that a hot key delays
 * itself more than its neighbours; each key's own requests stay in order.
 * Each call but Remove takes logarithmic time.
 */
class ClassQueue
{
public:
  /** @param aDelay How much later than its arrival it takes its place. */
  void Push(uint64_t aKeyHash, uint64_t aId, Time aArrivedAt, Duration aDelay);

  /** The queue must not be empty. */
  uint64_t Front() const;
  Time FrontArrivedAt() const;
  void PopFront();

  /** Removes the newest request of the key with the most waiting.
   * Nothing when the key given would not have fewer than that key. */
  std::optional<uint64_t> PushOut(uint64_t aKeyHash);

  /** Removes a request wherever it waits; linear in its key's requests. */
  bool Remove(uint64_t aKeyHash, uint64_t aId);

  size_t Size() const;
  size_t SizeOf(uint64_t aKeyHash) const;

private:
  struct Entry
  {
    Time place;
    uint64_t id = 0;
    uint64_t keyHash = 0;
    Time arrivedAt;

    friend bool operator<(const Entry& aLeft, const Entry& aRight)
    {
      return std::tie(aLeft.place, aLeft.id) <
             std::tie(aRight.place, aRight.id);
    }
  };

  void Resize(uint64_t aKeyHash, size_t aBefore, size_t aAfter);

  std::set<Entry> order;
  std::unordered_map<uint64_t, std::deque<Entry>> keys;
  std::set<std::pair<size_t, uint64_t>> lengths;
};

} // namespace fescuetiller
