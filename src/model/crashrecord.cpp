#include "model/crashrecord.h"

#include <tuple>

namespace fescuetiller {

bool
operator==(const CrashRecord& aLeft, const CrashRecord& aRight)
{
  auto tie = [](const CrashRecord& aRecord) {
    return std::tie(aRecord.fingerprint,
                    aRecord.generation,
                    aRecord.servers,
                    aRecord.trials,
                    aRecord.age);
  };
  return tie(aLeft) == tie(aRight);
}

} // namespace fescuetiller
