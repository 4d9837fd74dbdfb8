#include "fescuetillerd/classes.h"

namespace fescuetiller {

bool
Classes::Apply(const std::vector<Row>& aRows)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  bool changed = false;
  for (const auto& row : aRows) {
    changed = this->table.Apply(row) || changed;
  }
  return changed;
}

std::optional<ClassTarget>
Classes::Find(const std::string& aService, const std::string& aName) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.Find(aService, aName);
}

std::vector<ClassTarget>
Classes::All() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->table.All();
}

} // namespace fescuetiller
