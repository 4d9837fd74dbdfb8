#pragma once

#include <functional>
#include <mutex>

#include "config/config.h"

namespace fescuetiller {

/** Whether operators want this daemon drained, by the newest row seen; an
 * older one never replaces a newer one. Thread-safe. */
class DrainState
{
public:
  /** Called when the wish changes. */
  using Changed = std::function<void(bool)>;

  DrainState(std::string aName, Changed aChanged);

  /** Rows of other tables and of other members are passed over. */
  void Apply(const std::vector<Row>& aRows);

  Drain Current() const;

private:
  std::string name;
  Changed changed;
  mutable std::mutex mutex;
  Drain current;
};

} // namespace fescuetiller
