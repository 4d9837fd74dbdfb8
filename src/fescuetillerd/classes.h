#pragma once

#include <mutex>

#include "config/config.h"

namespace fescuetiller {

/** Class targets shared by the control and traffic threads. Thread-safe. */
class Classes
{
public:
  /** @return Whether any row was newer than what was known. */
  bool Apply(const std::vector<Row>& aRows);

  std::optional<ClassTarget> Find(const std::string& aService,
                                  const std::string& aName) const;

  std::vector<ClassTarget> All() const;

private:
  mutable std::mutex mutex;
  ClassTable table;
};

} // namespace fescuetiller
