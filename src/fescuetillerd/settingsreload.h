#pragma once

#include <string>
#include <vector>

#include "fescuetillerd/nodesettings.h"

namespace fescuetiller {

/** Result of applying changed settings to a running daemon. */
struct SettingsReload
{
  NodeSettings settings; ///< The settings now in force.
  /** Changed keys whose new values are in force. */
  std::vector<std::string> applied;
  /** Changed keys whose new values take effect only after a restart. */
  std::vector<std::string> needRestart;
};

/** Applies the values that a running daemon can change to its current settings.
 */
SettingsReload
MergeReloadedSettings(const NodeSettings& aCurrent, const NodeSettings& aRead);

} // namespace fescuetiller
