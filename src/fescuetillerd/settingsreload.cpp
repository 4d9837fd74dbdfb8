#include "fescuetillerd/settingsreload.h"

namespace fescuetiller {

namespace {

/** Applies the new value of a field if it differs. */
template<typename Field>
void
ApplyField(const char* aKey,
           Field NodeSettings::*aField,
           const NodeSettings& aRead,
           SettingsReload& aReload)
{
  if (aReload.settings.*aField != aRead.*aField) {
    aReload.settings.*aField = aRead.*aField;
    aReload.applied.emplace_back(aKey);
  }
}

/** Adds the key of a field that differs to those that need a restart. */
template<typename Field>
void
RequireRestart(const char* aKey,
               Field NodeSettings::*aField,
               const NodeSettings& aRead,
               SettingsReload& aReload)
{
  if (aReload.settings.*aField != aRead.*aField) {
    aReload.needRestart.emplace_back(aKey);
  }
}

} // namespace

SettingsReload
MergeReloadedSettings(const NodeSettings& aCurrent, const NodeSettings& aRead)
{
  SettingsReload reload;
  reload.settings = aCurrent;
  auto apply = [&](const char* aKey, auto aField) {
    ApplyField(aKey, aField, aRead, reload);
  };
  auto requireRestart = [&](const char* aKey, auto aField) {
    RequireRestart(aKey, aField, aRead, reload);
  };
  apply("store", &NodeSettings::storeAddress);
  apply("longest-hold", &NodeSettings::maxGrantTime);
  apply("drain-time", &NodeSettings::drainTime);
  apply("stop-time", &NodeSettings::stopTime);
  apply("retry-ratio", &NodeSettings::retryRatio);
  apply("cold-factor", &NodeSettings::coldFactor);
  apply("cold-margin", &NodeSettings::coldMargin);
  apply("evacuation-time", &NodeSettings::evacuationTime);
  apply("memory", &NodeSettings::memoryMegabytes);
  apply("descriptors", &NodeSettings::maxDescriptors);
  apply("transfer-cost", &NodeSettings::transferCost);
  requireRestart("name", &NodeSettings::name);
  requireRestart("ip", &NodeSettings::ip);
  requireRestart("zone", &NodeSettings::zone);
  requireRestart("service", &NodeSettings::service);
  requireRestart("server", &NodeSettings::server);
  requireRestart("clients", &NodeSettings::clientAddress);
  requireRestart("callers", &NodeSettings::callerAddress);
  requireRestart("peers", &NodeSettings::peerAddress);
  requireRestart("ready", &NodeSettings::readinessAddress);
  requireRestart("server-calls", &NodeSettings::serverCallAddress);
  requireRestart("metrics", &NodeSettings::metricsAddress);
  requireRestart("first-port", &NodeSettings::firstPort);
  requireRestart("last-port", &NodeSettings::lastPort);
  // The validity of lease renewals among members is derived from it.
  requireRestart("heartbeat", &NodeSettings::heartbeat);
  return reload;
}

} // namespace fescuetiller
