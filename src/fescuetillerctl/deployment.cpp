#include "fescuetillerctl/deployment.h"

#include "platform/platform.h"

namespace fescuetiller {

namespace {

Result<Configuration>
ReadConfiguration(const StoreCalls& aStore)
{
  auto row = ReadRow(aStore, ConfigurationKey());
  if (!row) {
    return tl::unexpected(row.error());
  }
  if (!*row) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "read configuration",
                                 "store",
                                 "the operator has written none yet" });
  }
  return ParseConfiguration((*row)->value);
}

} // namespace

Result<StoreCalls>
OpenStore(Session& aSession, const CommonOptions& aOptions)
{
  if (aOptions.store.empty()) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid,
             "open store",
             "--store",
             "the option is missing, and FESCUETILLER_STORE is not set" });
  }
  return aSession.openStore(aOptions.store, aOptions.timeout);
}

Result<Deployment>
ReadDeployment(const StoreCalls& aStore)
{
  auto configuration = ReadConfiguration(aStore);
  if (!configuration) {
    return tl::unexpected(configuration.error());
  }
  Deployment deployment;
  deployment.configuration = std::move(*configuration);
  for (const auto& [name, service] : deployment.configuration.services) {
    auto rows = aStore.read(kClusterTable, name);
    if (!rows) {
      return tl::unexpected(rows.error());
    }
    rows->rows = FromStored(std::move(rows->rows), EraOf(rows->version));
    deployment.cluster.Replace(name, *rows);
  }
  return deployment;
}

Result<Deployment>
ReadDeployment(Session& aSession, const CommonOptions& aOptions)
{
  auto store = OpenStore(aSession, aOptions);
  if (!store) {
    return tl::unexpected(store.error());
  }
  return ReadDeployment(*store);
}

Result<MemberRecord>
FindMember(const Deployment& aDeployment, const std::string& aName)
{
  std::vector<MemberRecord> found;
  for (const auto& [id, member] : aDeployment.cluster.AllMembers()) {
    if (id == aName || member.record.address == aName) {
      found.push_back(member.record);
    }
  }
  if (found.size() == 1) {
    return found[0];
  }
  return tl::unexpected(
    Error{ ErrorCode::Refused,
           "find member",
           aName,
           found.empty() ? "no member has this id or address"
                         : "several members have this address; give the id" });
}

} // namespace fescuetiller
