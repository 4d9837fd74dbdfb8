#include "fescuetillerd/backendlink.h"

#include <algorithm>

#include <httplib.h>

namespace fescuetiller {

namespace {

constexpr Duration kControlTimeout = std::chrono::milliseconds(500);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kMaxIdle = std::chrono::milliseconds(1000);
constexpr Duration kShedRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(20);
constexpr Duration kLostRetryAfter = std::chrono::milliseconds(200);
constexpr Duration kGaveUpRetryAfter = std::chrono::milliseconds(10);
constexpr uint32_t kControlConnections = 4;
constexpr size_t kMaxAnswerBytes = size_t(64) * 1024 * 1024;
constexpr int kStatusOk = 200;
constexpr int kStatusGaveUp = 408;
constexpr int kStatusFenced = 409;
constexpr int kStatusUnavailable = 503;

Error
NoBackend(const std::string& aStep)
{
  return { ErrorCode::Unavailable, aStep, "backend server", "not connected" };
}

Outcome
ReadFailure(httplib::Error aError, const std::string& aPeer)
{
  std::string reason =
    "backend server " + aPeer + ": " + httplib::to_string(aError);
  // The only failure before the first byte of a request.
  if (aError == httplib::Error::Connection) {
    return NotRun(reason, kLostRetryAfter);
  }
  return UnknownOutcome(reason);
}

Outcome
ReadStatus(int aStatus, const std::string& aPeer)
{
  switch (aStatus) {
    case kStatusFenced:
      return NotOwner();
    case kStatusUnavailable:
      return NotRun("backend server sheds load", kShedRetryAfter);
    case kStatusGaveUp:
      return NotRun("backend server gave it up", kGaveUpRetryAfter);
    default:
      return UnknownOutcome("backend server " + aPeer + ": HTTP status " +
                            std::to_string(aStatus));
  }
}

/** Whether an answer belongs to a request; an answer without an id does. */
bool
Belongs(const httplib::Response& aResponse, const std::string& aRequestId)
{
  return !aResponse.has_header("X-Request-Id") ||
         aResponse.get_header_value("X-Request-Id") == aRequestId;
}

Outcome
ReadAnswer(const httplib::Response& aResponse, const std::string& aPeer)
{
  if (aResponse.status != kStatusOk) {
    return ReadStatus(aResponse.status, aPeer);
  }
  if (aResponse.body.size() > kMaxAnswerBytes) {
    return UnknownOutcome("it ran, but its answer of " +
                          std::to_string(aResponse.body.size()) +
                          " bytes is too large");
  }
  Outcome outcome;
  outcome.code = OutcomeCode::Done;
  outcome.body = aResponse.body;
  outcome.contentType = aResponse.get_header_value("Content-Type");
  return outcome;
}

httplib::Headers
RunHeaders(const Request& aRequest, const Fence& aFence, Time aDeadline)
{
  return {
    { "X-Request-Id", aRequest.requestId },
    { "X-Class", aRequest.requestClass },
    { "X-Key", PercentEncode(aRequest.key) },
    { "X-Attempt", std::to_string(aRequest.attempt) },
    { "X-Partition", std::to_string(aFence.partition.index) },
    { "X-Epoch", std::to_string(aFence.epoch) },
    { "X-Incarnation", ToHex(aFence.incarnation) },
    { "X-Deadline-Boot-Ns", std::to_string(ToBootNanoseconds(aDeadline)) },
  };
}

} // namespace

BackendLink::BackendLink() = default;

BackendLink::~BackendLink() = default;

void
BackendLink::Connect(const std::string& aAddress,
                     uint32_t aConnections,
                     bool aChecksGrant)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->checksGrant = aChecksGrant;
  this->limit = std::max(aConnections, kControlConnections + 1);
  if (this->address == aAddress) {
    return;
  }
  this->address = aAddress;
  this->idle.clear();
  this->open = 0;
  ++this->generation;
}

void
BackendLink::Disconnect()
{
  this->Connect("", 0, true);
}

std::string
BackendLink::Address() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->address;
}

uint32_t
BackendLink::OpenConnections() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->open;
}

void
BackendLink::DropStale(Time aNow)
{
  while (!this->idle.empty() && aNow - this->idle.front().since > kMaxIdle) {
    this->idle.pop_front();
    --this->open;
  }
}

std::optional<BackendLink::Connection>
BackendLink::Take(Use aUse)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->DropStale(BootClock::now());
  if (!this->idle.empty()) {
    Connection connection = std::move(this->idle.back().connection);
    this->idle.pop_back();
    return connection;
  }
  uint32_t kept = aUse == Use::Request ? kControlConnections : 0;
  if (this->open + kept >= this->limit) {
    return std::nullopt;
  }
  ++this->open;
  auto client = std::make_unique<httplib::Client>("http://" + this->address);
  client->set_keep_alive(true);
  client->set_tcp_nodelay(true);
  client->set_connection_timeout(kConnectTimeout);
  return Connection{ this->address, this->generation, std::move(client) };
}

void
BackendLink::Return(Connection aConnection)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->generation == aConnection.generation) {
    this->idle.push_back({ std::move(aConnection), BootClock::now() });
  }
}

void
BackendLink::Close(Connection aConnection)
{
  aConnection.client.reset();
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->generation == aConnection.generation) {
    --this->open;
  }
}

Time
BackendLink::DispatchDeadline(const Request& aRequest,
                              const Fence& aFence) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->checksGrant ? aRequest.deadline
                           : std::min(aRequest.deadline, aFence.leaseUntil);
}

Outcome
BackendLink::Run(const Request& aRequest, const Fence& aFence)
{
  if (this->Address().empty()) {
    return NotRun("no backend server", kLostRetryAfter);
  }
  Time now = BootClock::now();
  if (now >= aRequest.deadline) {
    return NotRun("deadline passed", kGaveUpRetryAfter);
  }
  // The thread may have been stopped since it got its fence.
  if (now >= aFence.leaseUntil) {
    return NotOwner();
  }
  Time deadline = this->DispatchDeadline(aRequest, aFence);
  auto connection = this->Take(Use::Request);
  if (!connection) {
    return NotRun("every connection is in use", kBusyRetryAfter);
  }
  connection->client->set_read_timeout(aRequest.deadline - now);
  connection->client->set_write_timeout(aRequest.deadline - now);
  auto response =
    connection->client->Post("/v1/run",
                             RunHeaders(aRequest, aFence, deadline),
                             aRequest.body,
                             "application/octet-stream");
  std::string peer = connection->peer;
  if (!response) {
    this->Close(std::move(*connection));
    return ReadFailure(response.error(), peer);
  }
  if (!Belongs(*response, aRequest.requestId)) {
    this->Close(std::move(*connection));
    return UnknownOutcome("backend server " + peer +
                          ": answer to another request");
  }
  this->Return(std::move(*connection));
  return ReadAnswer(*response, peer);
}

Result<std::string>
BackendLink::Control(const std::string& aStep, const ControlCall& aCall)
{
  if (this->Address().empty()) {
    return tl::unexpected(NoBackend(aStep));
  }
  auto connection = this->Take(Use::Control);
  if (!connection) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 aStep,
                                 "backend server",
                                 "every connection is in use" });
  }
  connection->client->set_read_timeout(kControlTimeout);
  auto response = aCall(*connection->client);
  std::string peer = connection->peer;
  if (!response) {
    this->Close(std::move(*connection));
    return tl::unexpected(Error{
      ErrorCode::Unknown, aStep, peer, httplib::to_string(response.error()) });
  }
  this->Return(std::move(*connection));
  if (response->status != kStatusOk) {
    return tl::unexpected(
      Error{ ErrorCode::Refused,
             aStep,
             peer,
             "HTTP status " + std::to_string(response->status) });
  }
  return response->body;
}

void
BackendLink::Cancel(const std::string& aRequestId)
{
  this->Control("cancel", [&aRequestId](httplib::Client& aClient) {
    httplib::Headers headers = { { "X-Request-Id", aRequestId } };
    return aClient.Post("/v1/cancel", headers, "", "text/plain");
  });
}

Result<void>
BackendLink::SendGrants(const wire::Grants& aGrants)
{
  auto sent =
    this->Control("send grants", [&aGrants](httplib::Client& aClient) {
      return aClient.Post("/v1/grants", ToJson(aGrants), "application/json");
    });
  if (!sent) {
    return tl::unexpected(sent.error());
  }
  return {};
}

Result<wire::Health>
BackendLink::ReadHealth()
{
  auto body = this->Control("read health", [](httplib::Client& aClient) {
    return aClient.Get("/v1/health");
  });
  if (!body) {
    return tl::unexpected(body.error());
  }
  wire::Health health;
  auto parsed = FromJson(*body, health, this->Address());
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  return health;
}

} // namespace fescuetiller
