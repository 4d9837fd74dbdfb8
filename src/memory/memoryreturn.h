#pragma once

#include <cstddef>

#include "base/base.h"

namespace fescuetiller {

/** Decides when free memory is returned to the system: after connections have
 * released much of it, and rarely, since all free blocks are visited. Reads no
 * clock; not thread-safe. */
class MemoryReturn
{
public:
  /** Called at regular intervals. @param aHeld What connections hold now.
   * @param aPeak Most that they have held since the start of the process or the
   * last call. @return Whether to return free memory now. */
  bool OnMeasured(Time aNow, size_t aHeld, size_t aPeak);

private:
  size_t peak = 0; ///< Since memory was returned.
  Time nextAt;
};

} // namespace fescuetiller
