#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/classtarget.h"

namespace fescuetiller {

/** One section of a class file. */
struct ClassFileEntry
{
  ClassTarget target;
  /** Revision that the change is based on, when the file states it. */
  std::optional<uint64_t> basedOn;
  int line = 0;
};

/**
 * Reads targets from sections "[class SERVICE/CLASS]" with latency_ms,
 * percentile, share, idempotent and, optionally, revision.
 */
Result<std::vector<ClassFileEntry>>
ParseClassFile(const std::string& aText, const std::string& aFile);

Result<std::vector<ClassFileEntry>>
ReadClassFile(const std::string& aFile);

} // namespace fescuetiller
