#include "fescuetillerd/uplink.h"

#include <algorithm>

#include "fescuetillerd/pacedresponse.h"

namespace fescuetiller {

namespace {

/** Bound of the response bodies that wait for the link. Beyond it, servers wait
 * until their responses are sent. */
constexpr size_t kMaxBufferedBytes = 4 * 1024 * 1024;
/** How long after its deadline a response is kept. The other daemon closes the
 * connection before. */
constexpr Duration kExpiryMargin = std::chrono::seconds(1);

} // namespace

Uplink::Uplink(asio::io_context& aContext, EventLog& aLog)
  : log(aLog)
  , timer(aContext)
{
}

std::shared_ptr<PacedResponse>
Uplink::Expect(const std::shared_ptr<Exchange>& aExchange,
               const std::string& aClass,
               Time aDeadline)
{
  auto id = this->nextId++;
  this->load.Expect(id, aClass);
  return std::make_shared<PacedResponse>(*this, aExchange, id, aDeadline);
}

void
Uplink::DropExpired(Time aNow)
{
  auto responses = this->sending; // Aborting may end others.
  for (const auto& response : responses) {
    if (!response->IsOver() && aNow > response->deadline + kExpiryMargin) {
      this->log.Write({ "response-dropped",
                        { { "request", response->requestId },
                          { "reason", "not read by its deadline" } } });
      response->OnFailure({});
    }
  }
  this->SendNext();
}

LinkEstimate
Uplink::Estimate(const std::string& aClass) const
{
  return this->load.Estimate(BootClock::now(), aClass);
}

bool
Uplink::MayBuffer() const
{
  return this->bufferedBytes < kMaxBufferedBytes;
}

void
Uplink::OnStarted(const std::shared_ptr<PacedResponse>& aResponse)
{
  this->sending.push_back(aResponse);
}

void
Uplink::ResumeReading()
{
  auto responses = this->sending; // Reading may end a response.
  for (const auto& response : responses) {
    if (response->next != nullptr && this->MayBuffer()) {
      std::exchange(response->next, nullptr)();
    }
  }
}

void
Uplink::Measure(Time aNow)
{
  for (auto entry = this->inFlight.begin(); entry != this->inFlight.end();) {
    auto bytes = entry->second->BytesInFlight();
    if (bytes) {
      this->load.OnMeasured(aNow, entry->first, *bytes);
    }
    if (bytes.value_or(0) == 0) {
      this->load.OnIdle(entry->first);
      entry = this->inFlight.erase(entry);
    } else {
      ++entry;
    }
  }
  this->load.OnRoundMeasured(aNow);
}

void
Uplink::SendNext()
{
  auto now = BootClock::now();
  this->Measure(now);
  bool waiting = false;
  auto responses = this->sending; // Sending may end a response.
  for (const auto& response : responses) {
    if (!response->CanSend()) {
      continue;
    }
    if (response->MaySendAtOnce()) {
      response->SendChunk();
      continue;
    }
    waiting = waiting || !this->load.MaySend(now);
    if (waiting) {
      continue;
    }
    response->SendChunk();
    auto exchange = response->exchange;
    this->inFlight[exchange->ConnectionId()] = std::move(exchange);
    this->Measure(now);
  }
  this->sending.erase(
    std::remove_if(this->sending.begin(),
                   this->sending.end(),
                   [](const auto& aResponse) { return aResponse->IsOver(); }),
    this->sending.end());
  if (waiting) {
    this->MeasureAgain();
  }
}

void
Uplink::MeasureAgain()
{
  if (this->timerArmed) {
    return;
  }
  this->timerArmed = true;
  this->timer.expires_after(this->load.UntilNextMeasurement(BootClock::now()));
  this->timer.async_wait([this](boost::system::error_code aError) {
    this->timerArmed = false;
    if (!aError) {
      this->SendNext();
    }
  });
}

} // namespace fescuetiller
