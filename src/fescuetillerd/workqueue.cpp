#include "fescuetillerd/workqueue.h"

namespace fescuetiller {

WorkQueue::WorkQueue(size_t aThreads)
{
  for (size_t index = 0; index < aThreads; ++index) {
    this->threads.emplace_back([this] { this->Work(); });
  }
}

WorkQueue::~WorkQueue()
{
  this->Stop();
}

void
WorkQueue::Add(Job aJob)
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->jobs.push_back(std::move(aJob));
  }
  this->changed.notify_one();
}

void
WorkQueue::Stop()
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
  }
  this->changed.notify_all();
  for (auto& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
WorkQueue::Work()
{
  while (true) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(
      lock, [this] { return this->stopping || !this->jobs.empty(); });
    if (this->stopping) {
      return;
    }
    Job job = std::move(this->jobs.front());
    this->jobs.pop_front();
    lock.unlock();
    job();
  }
}

} // namespace fescuetiller
