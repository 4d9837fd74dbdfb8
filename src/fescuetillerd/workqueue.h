#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace fescuetiller {

/** Runs blocking calls on a few threads, so that the control thread never
 * waits. */
class WorkQueue
{
public:
  using Job = std::function<void()>;

  explicit WorkQueue(size_t aThreads);
  ~WorkQueue();

  void Add(Job aJob);

  /** Drops what has not started and waits for what has. */
  void Stop();

private:
  void Work();

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Job> jobs;
  bool stopping = false;
  std::vector<std::thread> threads;
};

} // namespace fescuetiller
