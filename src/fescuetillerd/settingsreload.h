#pragma once

#include <string>
#include <vector>

#include "fescuetillerd/nodesettings.h"

namespace fescuetiller {

/** What a settings file that was read again means for a running daemon. */
struct SettingsReload
{
  NodeSettings settings;            ///< In force from now on.
  std::vector<std::string> applied; ///< Keys whose new values are in force.
  std::vector<std::string> ignored; ///< Keys that only a restart can change.
};

/** Takes over the values that a running daemon can change. */
SettingsReload
MergeReloadedSettings(const NodeSettings& aCurrent, const NodeSettings& aRead);

} // namespace fescuetiller
