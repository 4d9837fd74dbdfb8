#include "fescuetillerd/inbox.h"

#include <utility>

namespace fescuetiller {

void
Inbox::Put(Input aInput)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->inputs.push_back(std::move(aInput));
}

std::vector<Input>
Inbox::TakeAll()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return std::exchange(this->inputs, {});
}

} // namespace fescuetiller
