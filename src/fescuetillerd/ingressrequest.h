#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "fescuetillerd/ingress.h"

namespace fescuetiller {

/** One client's request, from its route to its answer. */
class IngressRequest
  : public ResponseReceiver
  , public std::enable_shared_from_this<IngressRequest>
{
public:
  IngressRequest(Ingress& aIngress, std::shared_ptr<Exchange> aExchange);
  ~IngressRequest() override;

  void Begin();

  void OnWhole(HttpResponse aResponse) override;
  void OnHead(ResponseHead aHead) override;
  void OnPiece(asio::const_buffer aPiece, std::function<void()> aNext) override;
  void OnEnd() override;
  void OnFailure(const CallFailure& aFailure) override;

private:
  /** What comes next once a member did not answer. */
  struct Setback
  {
    std::string reason;
    Duration retryAfter = Duration(0);
    bool mayHaveRun = false;
    bool reachedServer = false; ///< A backend server turned it away.
    std::string owner;          ///< Where the keys went, if known.

    /** It was sent nowhere, or not read there. */
    static Setback NotSent(const std::string& aReason);
    static Setback Unknown(const std::string& aReason);
  };

  bool ReadRequest();
  void Send();
  std::string ChooseMember(std::string& aReason);
  void SendTo(const std::string& aMember);
  void OnSetback(const Setback& aSetback);
  bool RetryElsewhere(const Setback& aSetback);
  bool Repeat(const Setback& aSetback);
  void WaitAndSend(Duration aWait);
  void EndCall();
  void OnClientGone();
  void GiveUp(const Setback& aSetback);
  void Reply(unsigned aStatus, const std::string& aReason, Duration aRetry);
  void TellOutcome(http::fields& aFields, const std::string& aOutcome);
  Event Describe(Time aNow,
                 const std::string& aOutcome,
                 const std::string& aReason) const;
  void Log(const std::string& aOutcome, const std::string& aReason);
  Duration Left() const;
  std::optional<ExecutionReport> TakeNote(http::fields& aFields);

  Ingress& ingress;
  std::shared_ptr<Exchange> exchange;
  std::string requestId;
  Route route;
  Dispatch dispatch;
  std::optional<Key> key;
  Time startedAt;
  Time deadline;
  std::string member; ///< Where it is now.
  Time sentAt;        ///< When it was sent there.
  std::set<std::string> tried;
  std::shared_ptr<UpstreamCall> remote;
  std::shared_ptr<Cancellable> local;
  asio::steady_timer timer;
  uint32_t arrivals = 0; ///< At backend servers, as far as is known.
  bool mayHaveRun = false;
  uint32_t hops = 0;
  std::string lastReason;
  Duration leastRetry = Duration::max();
  bool ended = false;
};

} // namespace fescuetiller
