#include "fescuetillerd/cancelwatch.h"

#include <chrono>

namespace fescuetiller {

namespace {

constexpr std::chrono::milliseconds kInterval(20);

} // namespace

CancelWatch::CancelWatch(Cancel aCancel)
  : cancel(std::move(aCancel))
  , thread([this] { this->Run(); })
{
}

CancelWatch::~CancelWatch()
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  this->thread.join();
}

CancelWatch::Handle
CancelWatch::Watch(const std::string& aRequestId, IsGone aIsGone)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->entries.push_front({ aRequestId, std::move(aIsGone) });
  return this->entries.begin();
}

void
CancelWatch::Unwatch(Handle aHandle)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->entries.erase(aHandle);
}

std::list<std::string>
CancelWatch::TakeGone()
{
  std::list<std::string> gone;
  for (auto& entry : this->entries) {
    if (!entry.cancelled && entry.isGone()) {
      entry.cancelled = true;
      gone.push_back(entry.requestId);
    }
  }
  return gone;
}

void
CancelWatch::Run()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  while (!this->stopping) {
    this->changed.wait_for(lock, kInterval);
    std::list<std::string> gone = this->TakeGone();
    lock.unlock();
    for (const auto& requestId : gone) {
      this->cancel(requestId);
    }
    lock.lock();
  }
}

} // namespace fescuetiller
