#pragma once

namespace fescuetiller {

/** Exit codes of fescuetillerctl. */
enum class ExitCode
{
  Ok = 0,
  Failed = 1,   ///< Nothing was changed, or nothing could be read.
  Usage = 2,    ///< Wrong arguments or settings.
  Conflict = 3, ///< Another change came first; nothing was changed.
  Unknown = 4,  ///< The change may have been made; the outcome is not known.
};

} // namespace fescuetiller
