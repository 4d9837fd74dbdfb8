#pragma once

#include "model/model.h"

namespace fescuetiller {

/**
 * Decides when to load the configuration from another daemon: when one has
 * announced a newer version and the store has not delivered it after a while.
 * Pure.
 */
class ConfigurationLag
{
public:
  /** Handles the version that another daemon has announced.
   * @param aAnnounced Version of the other daemon's configuration row.
   * @param aOwn Version of this daemon's row.
   * @return Whether to load the configuration from that daemon now. */
  bool OnAnnouncement(Time aNow, RowVersion aAnnounced, RowVersion aOwn);

  /** Handles the end of a load, whether it succeeded or not. */
  void OnLoadEnded();

private:
  RowVersion newest = 0; ///< Newest announced version.
  Time behindSince;      ///< Time(): this daemon has the newest version.
  Time nextLoadAt;
  int loads = 0; ///< Loads that have not ended.
};

} // namespace fescuetiller
