#include "http/requestpipeline.h"

#include <algorithm>

namespace fescuetiller {

bool
RequestPipeline::MayRead() const
{
  return !this->stopped && !this->exclusive && this->requests < kMaxRequests &&
         this->waitingBytes < kMaxWaitingBytes;
}

bool
RequestPipeline::MayPassOn(bool aConcurrent) const
{
  return this->IsEmpty() || (aConcurrent && !this->exclusive);
}

void
RequestPipeline::OnPassedOn(bool aConcurrent)
{
  ++this->requests;
  this->exclusive = !aConcurrent;
}

void
RequestPipeline::OnResponseWaiting(size_t aBytes)
{
  this->waitingBytes += aBytes;
}

void
RequestPipeline::OnResponseWritten(size_t aWaitingBytes)
{
  this->waitingBytes -= std::min(this->waitingBytes, aWaitingBytes);
  --this->requests;
  this->exclusive = this->exclusive && !this->IsEmpty();
}

void
RequestPipeline::StopReading()
{
  this->stopped = true;
}

bool
RequestPipeline::ClosesAfterNextResponse() const
{
  return this->stopped && this->requests <= 1;
}

bool
RequestPipeline::IsStopped() const
{
  return this->stopped;
}

bool
RequestPipeline::IsExclusive() const
{
  return this->exclusive;
}

bool
RequestPipeline::IsEmpty() const
{
  return this->requests == 0;
}

} // namespace fescuetiller
