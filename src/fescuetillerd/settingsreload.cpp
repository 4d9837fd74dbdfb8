#include "fescuetillerd/settingsreload.h"

namespace fescuetiller {

namespace {

/** Takes a field over if it differs. */
template<typename Field>
void
Take(const char* aKey,
     Field NodeSettings::*aField,
     const NodeSettings& aRead,
     SettingsReload& aReload)
{
  if (aReload.settings.*aField != aRead.*aField) {
    aReload.settings.*aField = aRead.*aField;
    aReload.applied.emplace_back(aKey);
  }
}

template<typename Field>
void
Ignore(const char* aKey,
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
  auto take = [&](const char* aKey, auto aField) {
    Take(aKey, aField, aRead, reload);
  };
  auto ignore = [&](const char* aKey, auto aField) {
    Ignore(aKey, aField, aRead, reload);
  };
  take("store", &NodeSettings::storeAddress);
  take("longest-hold", &NodeSettings::maxGrantTime);
  take("drain-time", &NodeSettings::drainTime);
  take("stop-time", &NodeSettings::stopTime);
  take("retry-ratio", &NodeSettings::retryRatio);
  ignore("name", &NodeSettings::name);
  ignore("ip", &NodeSettings::ip);
  ignore("zone", &NodeSettings::zone);
  ignore("service", &NodeSettings::service);
  ignore("server", &NodeSettings::server);
  ignore("clients", &NodeSettings::clientAddress);
  ignore("callers", &NodeSettings::callerAddress);
  ignore("peers", &NodeSettings::peerAddress);
  ignore("ready", &NodeSettings::readinessAddress);
  ignore("server-calls", &NodeSettings::serverCallAddress);
  ignore("metrics", &NodeSettings::metricsAddress);
  ignore("first-port", &NodeSettings::firstPort);
  ignore("last-port", &NodeSettings::lastPort);
  // The length of the promises among members follows from it.
  ignore("heartbeat", &NodeSettings::heartbeat);
  return reload;
}

} // namespace fescuetiller
