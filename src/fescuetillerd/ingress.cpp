#include "fescuetillerd/ingress.h"

#include "fescuetillerd/callerapi.h"
#include "fescuetillerd/ingressrequest.h"

namespace fescuetiller {

namespace {

/** Retries that may be saved up: a few, since all daemons together share the
 * allowance. */
constexpr double kMostSavedRetries = 3;

} // namespace

Ingress::Ingress(asio::io_context& aContext,
                 Executor& aExecutor,
                 IngressIdentity aIdentity,
                 EventLog& aLog,
                 Counters& aCounters)
  : context(aContext)
  , executor(aExecutor)
  , identity(std::move(aIdentity))
  , log(aLog)
  , counters(aCounters)
  , pool(aContext)
  , view(std::make_shared<ClusterView>())
{
}

RetryBudget&
Ingress::BudgetOf(const std::string& aService)
{
  return this->budgets
    .try_emplace(aService, this->identity.retryShare, kMostSavedRetries)
    .first->second;
}

void
Ingress::SetRetryShare(double aShare)
{
  this->identity.retryShare = aShare;
  for (auto& [service, budget] : this->budgets) {
    budget.SetRatio(aShare);
  }
}

void
Ingress::SetConfiguration(std::shared_ptr<const Configuration> aConfiguration)
{
  this->routes = std::make_shared<RouteTable>(std::move(aConfiguration));
}

void
Ingress::SetView(std::shared_ptr<const ClusterView> aView, MemberId aSelf)
{
  this->view = std::move(aView);
  this->self = std::move(aSelf);
}

void
Ingress::OnRequest(std::shared_ptr<Exchange> aExchange)
{
  std::make_shared<IngressRequest>(*this, std::move(aExchange))->Begin();
}

void
Ingress::OnCallerRequest(std::shared_ptr<Exchange> aExchange)
{
  aExchange->onResponseHeaders = AddOutcome;
  if (this->routes == nullptr) {
    this->OnRequest(std::move(aExchange)); // It tells when to come back.
    return;
  }
  auto request = ParseCallerRequest(aExchange->request, this->routes->Config());
  if (!request) {
    bool unknown = request.error().code == ErrorCode::Refused;
    auto response =
      TextResponse(unknown ? 404 : 400, request.error().message + "\n");
    AddOutcome(response, "refused");
    aExchange->Respond(std::move(response));
    return;
  }
  aExchange->request = std::move(*request);
  this->OnRequest(std::move(aExchange));
}

std::map<MemberId, PeerLoad>
Ingress::PeerLoads() const
{
  std::map<MemberId, PeerLoad> loads;
  for (const auto& [id, report] : this->peers.Reports(BootClock::now())) {
    loads[id] = { report.load, report.nextHeartbeat };
  }
  return loads;
}

size_t
Ingress::InFlight() const
{
  return this->inFlight;
}

void
Ingress::Sweep(Time aNow)
{
  this->pool.CloseExpired(aNow);
}

} // namespace fescuetiller
