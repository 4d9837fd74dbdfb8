#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <nlohmann/json.hpp>

#include "fescuetillerctl/deployment.h"

namespace fescuetiller {

namespace {

/** The range that contains a key, and its owner. */
struct KeyLocation
{
  std::optional<RangeRecord> range;
  std::optional<MemberRecord> owner; ///< Empty when the owner is no member.
};

KeyLocation
FindKeyLocation(const ClusterView& aCluster,
                const std::string& aService,
                Key aKey)
{
  KeyLocation location;
  const auto* range = aCluster.FindRange(aService, aKey);
  if (range == nullptr) {
    return location;
  }
  location.range = *range;
  const auto* owner = aCluster.FindMember(range->owner);
  if (owner != nullptr) {
    location.owner = owner->record;
  }
  return location;
}

nlohmann::json
ToJson(const std::string& aService, Key aKey, const KeyLocation& aLocation)
{
  nlohmann::json report = { { "service", aService },
                            { "key", aKey },
                            { "owned", aLocation.owner.has_value() } };
  if (aLocation.range) {
    report["range"] = ToString(aLocation.range->range);
    report["epoch"] = aLocation.range->epoch;
  }
  if (aLocation.owner) {
    report["owner"] = aLocation.owner->id;
    report["zone"] = aLocation.owner->zone;
    report["address"] = aLocation.owner->address;
  }
  return report;
}

ExitCode
LocateKey(Session& aSession,
          const CommonOptions& aOptions,
          const options::variables_map& aValues)
{
  std::string service = TextOption(aValues, "service");
  Key key = 0;
  if (!boost::conversion::try_lexical_convert(TextOption(aValues, "key"),
                                              key) ||
      key > kLastKey) {
    return ReportError(aSession,
                       ExitCode::Usage,
                       "key locate needs SERVICE and KEY, a number from 0 to " +
                         std::to_string(kLastKey));
  }
  auto deployment = ReadDeployment(aSession, aOptions);
  if (!deployment) {
    return ReportError(aSession, deployment.error());
  }
  const auto* known = deployment->configuration.FindService(service);
  if (known == nullptr || !known->ownsKeys) {
    return ReportError(aSession,
                       ExitCode::Failed,
                       known == nullptr
                         ? "no service is named " + service
                         : "servers of " + service + " own no keys");
  }
  auto location = FindKeyLocation(deployment->cluster, service, key);
  if (aOptions.json) {
    aSession.out << ToJson(service, key, location).dump() << "\n";
    return ExitCode::Ok;
  }
  aSession.out << service << " key " << key << ": ";
  if (location.owner) {
    aSession.out << "owned by " << location.owner->id << " at "
                 << location.owner->address << " in " << location.owner->zone
                 << ", range " << ToString(location.range->range) << ", epoch "
                 << location.range->epoch << "\n";
  } else {
    aSession.out << "no member owns it\n";
  }
  return ExitCode::Ok;
}

} // namespace

Command
KeyLocateCommand()
{
  return { "key locate",
           "SERVICE KEY",
           "Shows which member owns a key.",
           "  fescuetillerctl key locate agenda 2231",
           { "service", "key" },
           nullptr,
           LocateKey };
}

} // namespace fescuetiller
