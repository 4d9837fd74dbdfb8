#pragma once

#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace fescuetiller {

/** Notices that whoever waits for a request has gone, and cancels the request
 * once. Thread-safe. */
class CancelWatch
{
public:
  using IsGone = std::function<bool()>;
  using Cancel = std::function<void(const std::string& aRequestId)>;

  /** One watched request. */
  struct Entry
  {
    std::string requestId;
    IsGone isGone;
    bool cancelled = false;
  };

  using Handle = std::list<Entry>::iterator;

  explicit CancelWatch(Cancel aCancel);
  ~CancelWatch();

  Handle Watch(const std::string& aRequestId, IsGone aIsGone);
  void Unwatch(Handle aHandle);

private:
  void Run();
  std::list<std::string> TakeGone();

  Cancel cancel;
  std::mutex mutex;
  std::condition_variable changed;
  std::list<Entry> entries;
  bool stopping = false;
  std::thread thread;
};

} // namespace fescuetiller
