#pragma once

#include <cstdint>
#include <vector>

#include "base/base.h"

namespace fescuetiller {

/** Hash of what makes two requests the same, whoever sends them where: method,
 * host, target, caller and body. */
using RequestFingerprint = uint64_t;

/** Servers that ended while they ran a request. */
struct CrashRecord
{
  RequestFingerprint fingerprint = 0;
  /** Incremented when a server has run the request successfully, which
   * outdates what earlier generations say. */
  uint32_t generation = 0;
  /** Hashes of the incarnations that ended, in ascending order. */
  std::vector<uint64_t> servers;
  uint32_t trials = 0;        ///< Runs while the request was blocked.
  Duration age = Duration(0); ///< Time since the last change of the record.

  friend bool operator==(const CrashRecord& aLeft, const CrashRecord& aRight);
};

} // namespace fescuetiller
