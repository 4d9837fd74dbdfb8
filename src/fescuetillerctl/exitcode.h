#pragma once

namespace fescuetiller {

/** Exit codes of fescuetillerctl. */
enum class ExitCode
{
  Ok = 0,
  Failed = 1,     ///< Nothing was changed, or nothing could be read.
  Usage = 2,      ///< Wrong arguments, settings or class files.
  Conflict = 3,   ///< Another change came first; nothing was changed.
  Unknown = 4,    ///< The change may have been made; it can't be settled.
  NotInForce = 5, ///< Made and recorded, but not in force everywhere yet.
};

} // namespace fescuetiller
