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

/** Lists a field that differs among those that need a restart. */
template<typename Field>
void
RejectField(const char* aKey,
            Field NodeSettings::*aField,
            const NodeSettings& aRead,
            SettingsReload& aReload)
{
  if (aReload.settings.*aField != aRead.*aField) {
    aReload.ignored.emplace_back(aKey);
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
  auto reject = [&](const char* aKey, auto aField) {
    RejectField(aKey, aField, aRead, reload);
  };
  apply("store", &NodeSettings::storeAddress);
  apply("longest-hold", &NodeSettings::maxGrantTime);
  apply("drain-time", &NodeSettings::drainTime);
  apply("stop-time", &NodeSettings::stopTime);
  apply("retry-ratio", &NodeSettings::retryRatio);
  reject("name", &NodeSettings::name);
  reject("ip", &NodeSettings::ip);
  reject("zone", &NodeSettings::zone);
  reject("service", &NodeSettings::service);
  reject("server", &NodeSettings::server);
  reject("clients", &NodeSettings::clientAddress);
  reject("callers", &NodeSettings::callerAddress);
  reject("peers", &NodeSettings::peerAddress);
  reject("ready", &NodeSettings::readinessAddress);
  reject("server-calls", &NodeSettings::serverCallAddress);
  reject("metrics", &NodeSettings::metricsAddress);
  reject("first-port", &NodeSettings::firstPort);
  reject("last-port", &NodeSettings::lastPort);
  // The validity of lease renewals among members is derived from it.
  reject("heartbeat", &NodeSettings::heartbeat);
  return reload;
}

} // namespace fescuetiller
