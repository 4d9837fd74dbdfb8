#include "fescuetillerd/ingress.h"

#include <iterator>

#include "fescuetillerd/callerapi.h"
#include "fescuetillerd/ingressrequest.h"
#include "platform/headers.h"

namespace fescuetiller {

namespace {

/** Maximum number of unused retries that are saved up. Small, because all
 * daemons together share the allowance. */
constexpr double kMaxSavedRetries = 3;

} // namespace

Ingress::Ingress(asio::io_context& aContext,
                 Executor& aExecutor,
                 IngressSettings aSettings,
                 EventLog& aLog,
                 Counters& aCounters)
  : context(aContext)
  , executor(aExecutor)
  , settings(std::move(aSettings))
  , log(aLog)
  , counters(aCounters)
  , pool(aContext)
  , view(std::make_shared<ClusterView>())
  , zoneChoice([this] { return this->RandomFraction(); })
  , random(std::random_device()())
{
  this->pool.onUnexpectedData = [this](const UnexpectedData& aData) {
    if (this->onUnexpectedData) {
      this->onUnexpectedData(aData);
    }
  };
}

double
Ingress::RandomFraction()
{
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

RetryBudget&
Ingress::RetryBudgetFor(const std::string& aService)
{
  return this->budgets
    .try_emplace(aService, this->settings.retryRatio, kMaxSavedRetries)
    .first->second;
}

void
Ingress::SetRetryRatio(double aRatio)
{
  this->settings.retryRatio = aRatio;
  for (auto& [service, budget] : this->budgets) {
    budget.SetRatio(aRatio);
  }
}

void
Ingress::SetTransferCost(std::optional<Duration> aCost)
{
  this->settings.transferCost = aCost;
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
  auto& compact = this->compactMembers;
  for (auto member = compact.begin(); member != compact.end();) {
    member = this->view->FindMember(*member) == nullptr ? compact.erase(member)
                                                        : std::next(member);
  }
}

void
Ingress::SetEvacuatedZones(std::set<std::string> aZones)
{
  this->evacuatedZones = std::move(aZones);
}

void
Ingress::SetExitTime(Time aExitAt)
{
  this->exitAt = aExitAt;
}

bool
Ingress::MayRunConcurrently(const HttpRequest& aRequest) const
{
  if (this->routes == nullptr) {
    return false;
  }
  const auto* route = this->routes->Find(
    std::string(aRequest[http::field::host]), std::string(aRequest.target()));
  return route != nullptr && route->kind != RequestKind::NonIdempotent;
}

bool
Ingress::NeedsBody(const HttpRequest& aRequest) const
{
  return this->routes != nullptr && !aRequest[headers::kRequestId].empty() &&
         this->routes->Find(std::string(aRequest[http::field::host]),
                            std::string(aRequest.target())) != nullptr;
}

bool
Ingress::NeedsCallerBody(const HttpRequest& aRequest) const
{
  return this->routes != nullptr &&
         ParseCallerRequest(aRequest, this->routes->Config()).has_value();
}

void
Ingress::OnRequest(std::shared_ptr<Exchange> aExchange)
{
  std::make_shared<IngressRequest>(*this, std::move(aExchange))->Start();
}

void
Ingress::OnCallerRequest(std::shared_ptr<Exchange> aExchange)
{
  aExchange->onResponseHeaders = AddOutcome;
  if (this->routes == nullptr) {
    this->OnRequest(
      std::move(aExchange)); // Responds with the time before a retry.
    return;
  }
  auto request = ParseCallerRequest(aExchange->request, this->routes->Config());
  if (!request) {
    bool unknownClass = request.error().code == ErrorCode::Refused;
    auto response =
      TextResponse(unknownClass ? 404 : 400, request.error().message + "\n");
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
Ingress::InFlightCount() const
{
  return this->inFlight;
}

void
Ingress::CloseIdleConnections(Time aNow)
{
  this->pool.CloseExpired(aNow);
}

} // namespace fescuetiller
