#include "fescuetillerd/backendlink.h"

#include <algorithm>

#include <httplib.h>

namespace fescuetiller {

namespace {

constexpr Duration kControlTimeout = std::chrono::milliseconds(500);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr int kStatusOk = 200;
constexpr int kStatusFenced = 409;
constexpr int kStatusUnavailable = 503;

Error
NoBackend(const std::string& aStep)
{
  return { ErrorCode::Unavailable, aStep, "backend server", "not connected" };
}

Outcome
ReadAnswer(const httplib::Result& aResponse, const std::string& aPeer)
{
  if (!aResponse) {
    bool notSent = aResponse.error() == httplib::Error::Connection;
    std::string reason =
      "backend server " + aPeer + ": " + httplib::to_string(aResponse.error());
    return notSent ? NotRun(reason, Duration(0)) : UnknownOutcome(reason);
  }
  if (aResponse->status == kStatusFenced) {
    return NotOwner();
  }
  if (aResponse->status == kStatusUnavailable) {
    return NotRun("backend server sheds load", std::chrono::milliseconds(100));
  }
  if (aResponse->status != kStatusOk) {
    return UnknownOutcome("backend server " + aPeer + ": HTTP status " +
                          std::to_string(aResponse->status));
  }
  Outcome outcome;
  outcome.code = OutcomeCode::Done;
  outcome.body = aResponse->body;
  outcome.contentType = aResponse->get_header_value("Content-Type");
  return outcome;
}

} // namespace

void
BackendLink::Connect(const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->address != aAddress) {
    this->idle.clear();
  }
  this->address = aAddress;
}

void
BackendLink::Disconnect()
{
  this->Connect("");
}

std::string
BackendLink::Address() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->address;
}

BackendLink::Connection
BackendLink::Take(const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->idle.empty() && this->address == aAddress) {
    Connection connection = std::move(this->idle.back());
    this->idle.pop_back();
    return connection;
  }
  auto connection = std::make_unique<httplib::Client>("http://" + aAddress);
  connection->set_keep_alive(true);
  connection->set_tcp_nodelay(true);
  connection->set_connection_timeout(kConnectTimeout);
  return connection;
}

void
BackendLink::Return(const std::string& aAddress, Connection aConnection)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->address == aAddress) {
    this->idle.push_back(std::move(aConnection));
  }
}

Outcome
BackendLink::Run(const Request& aRequest, const Fence& aFence)
{
  std::string peer = this->Address();
  if (peer.empty()) {
    return NotRun("no backend server", std::chrono::milliseconds(200));
  }
  Time now = BootClock::now();
  if (now >= aRequest.deadline) {
    return NotRun("deadline passed", Duration(0));
  }
  Connection connection = this->Take(peer);
  connection->set_read_timeout(aRequest.deadline - now);
  httplib::Headers headers = {
    { "X-Request-Id", aRequest.requestId },
    { "X-Class", aRequest.requestClass },
    { "X-Key", aRequest.key },
    { "X-Partition", std::to_string(aFence.partition.index) },
    { "X-Epoch", std::to_string(aFence.epoch) },
    { "X-Incarnation", ToHex(aFence.incarnation) },
    { "X-Deadline-Boot-Ns",
      std::to_string(ToBootNanoseconds(aRequest.deadline)) },
  };
  auto response = connection->Post(
    "/v1/run", headers, aRequest.body, "application/octet-stream");
  Outcome outcome = ReadAnswer(response, peer);
  if (response) {
    this->Return(peer, std::move(connection));
  }
  return outcome;
}

Result<void>
BackendLink::SendGrants(const wire::Grants& aGrants)
{
  std::string peer = this->Address();
  if (peer.empty()) {
    return tl::unexpected(NoBackend("send grants"));
  }
  Connection connection = this->Take(peer);
  connection->set_read_timeout(kControlTimeout);
  auto response =
    connection->Post("/v1/grants", ToJson(aGrants), "application/json");
  if (!response || response->status != kStatusOk) {
    std::string text = response
                         ? "HTTP status " + std::to_string(response->status)
                         : httplib::to_string(response.error());
    return tl::unexpected(
      Error{ ErrorCode::Unknown, "send grants", peer, text });
  }
  this->Return(peer, std::move(connection));
  return {};
}

Result<wire::Health>
BackendLink::ReadHealth()
{
  std::string peer = this->Address();
  if (peer.empty()) {
    return tl::unexpected(NoBackend("read health"));
  }
  Connection connection = this->Take(peer);
  connection->set_read_timeout(kControlTimeout);
  auto response = connection->Get("/v1/health");
  if (!response || response->status != kStatusOk) {
    std::string text = response
                         ? "HTTP status " + std::to_string(response->status)
                         : httplib::to_string(response.error());
    return tl::unexpected(
      Error{ ErrorCode::Unavailable, "read health", peer, text });
  }
  this->Return(peer, std::move(connection));
  wire::Health health;
  auto parsed = FromJson(response->body, health, peer);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  return health;
}

} // namespace fescuetiller
