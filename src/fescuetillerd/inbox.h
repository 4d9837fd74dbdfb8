#pragma once

#include <mutex>
#include <vector>

#include "ownership/ownership.h"

namespace fescuetiller {

/** Inputs from other threads to the control thread. Thread-safe. */
class Inbox
{
public:
  void Put(Input aInput);
  std::vector<Input> TakeAll();

private:
  std::mutex mutex;
  std::vector<Input> inputs;
};

} // namespace fescuetiller
