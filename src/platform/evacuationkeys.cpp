#include "platform/evacuationkeys.h"

#include <string_view>

#include "platform/configurationcodec.h"

namespace fescuetiller {

namespace {

constexpr std::string_view kPrefix = "evacuate/";

} // namespace

StoreKey
EvacuationKey(const std::string& aZone)
{
  auto key = ConfigurationKey();
  key.key = std::string(kPrefix) + aZone;
  return key;
}

std::optional<std::string>
ParseEvacuationKey(const StoreKey& aKey)
{
  auto configuration = ConfigurationKey();
  if (aKey.table != configuration.table || aKey.part != configuration.part ||
      aKey.key.compare(0, kPrefix.size(), kPrefix) != 0) {
    return std::nullopt;
  }
  return aKey.key.substr(kPrefix.size());
}

} // namespace fescuetiller
