#include "fescuetillerd/drainstate.h"

#include <glog/logging.h>

namespace fescuetiller {

DrainState::DrainState(std::string aName, Changed aChanged)
  : name(std::move(aName))
  , changed(std::move(aChanged))
{
  this->current.name = this->name;
}

void
DrainState::Apply(const std::vector<Row>& aRows)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& row : aRows) {
    if (!(row.key == DrainKey(this->name))) {
      continue;
    }
    auto drain = ParseDrain(row);
    if (!drain || drain->version <= this->current.version) {
      continue;
    }
    bool turned = drain->drain != this->current.drain;
    this->current = *drain;
    if (turned) {
      LOG(INFO) << "drain " << this->name << ": " << Describe(*drain)
                << " since revision " << drain->revision << " by "
                << drain->changedBy;
      this->changed(drain->drain);
    }
  }
}

Drain
DrainState::Current() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->current;
}

} // namespace fescuetiller
