#include "http/server.h"

#include <algorithm>

#include "http/socketstate.h"

namespace fescuetiller {

namespace {

/** Pause before connections are accepted again when there is no descriptor for
 * another one. */
constexpr Duration kAcceptPause = std::chrono::milliseconds(20);

} // namespace

HttpServer::HttpServer(asio::io_context& aContext, Handler aHandler)
  : context(aContext)
  , handler(std::move(aHandler))
  , acceptor(aContext)
  , acceptTimer(aContext)
  , memory(std::make_shared<ConnectionMemory>(aContext,
                                              MakeNodeBudgets(0, 0).traffic))
{
}

void
HttpServer::SetMemory(std::shared_ptr<ConnectionMemory> aMemory,
                      std::string aName)
{
  this->memory = std::move(aMemory);
  this->name = std::move(aName);
}

Result<void>
HttpServer::Listen(const Tcp::endpoint& aAddress)
{
  boost::system::error_code error;
  this->acceptor.open(aAddress.protocol(), error);
  if (!error) {
    this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(aAddress, error);
  }
  if (!error) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::unexpected(Error{
      ErrorCode::Unavailable, "listen", ToString(aAddress), error.message() });
  }
  this->Accept();
  return {};
}

Result<void>
HttpServer::Listen(const std::string& aAddress)
{
  if (aAddress.empty()) {
    return {};
  }
  auto address = ParseEndpoint(aAddress);
  if (!address) {
    return tl::unexpected(address.error());
  }
  return this->Listen(*address);
}

void
HttpServer::SetLimits(const SessionLimits& aLimits)
{
  bool closeAfterResponse = this->limits.closeAfterResponse;
  this->limits = aLimits;
  this->limits.closeAfterResponse = closeAfterResponse;
}

void
HttpServer::AnnounceClose()
{
  this->limits.closeAfterResponse = true;
}

bool
HttpServer::AcceptPending()
{
  boost::system::error_code error;
  this->acceptor.non_blocking(true, error);
  bool mayBeMore = !error && this->acceptor.is_open();
  while (mayBeMore) {
    Tcp::socket socket(this->context);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->StartSession(std::move(socket));
    }
    // Its client has left; others may still wait.
    mayBeMore = !error || error == asio::error::connection_aborted;
  }
  return error == asio::error::would_block;
}

void
HttpServer::StopAccepting()
{
  this->AcceptPending();
  boost::system::error_code ignored; // The socket is closed in any case.
  this->acceptor.close(ignored);
  this->limits.closeAfterResponse = true;
  auto open = this->sessions;
  for (const auto& session : open) {
    session->CloseIfIdle();
  }
}

void
HttpServer::DismissClients(const HttpResponse& aFinalResponse)
{
  this->AcceptPending();
  this->limits.closeAfterResponse = true;
  this->finalResponse = aFinalResponse;
  auto open = this->sessions;
  for (const auto& session : open) {
    session->DismissIfIdle(aFinalResponse);
  }
}

bool
HttpServer::HasDismissedClients() const
{
  return std::any_of(
    this->sessions.begin(), this->sessions.end(), [](const auto& aSession) {
      return aSession->IsDismissed();
    });
}

bool
HttpServer::HasPendingResponses() const
{
  return std::any_of(
    this->sessions.begin(), this->sessions.end(), [](const auto& aSession) {
      return aSession->IsBusy() || aSession->HasUnreadData();
    });
}

bool
HttpServer::HasPartialRequests() const
{
  return std::any_of(
    this->sessions.begin(), this->sessions.end(), [](const auto& aSession) {
      return aSession->IsReadingRequest();
    });
}

void
HttpServer::IgnoreNewConnections()
{
  DropConnectionAttempts(this->acceptor);
}

void
HttpServer::CloseConnections()
{
  auto open = this->sessions;
  for (const auto& session : open) {
    session->Close(ConnectionEnd::Stopped);
  }
}

void
HttpServer::CloseAll()
{
  boost::system::error_code ignored; // The socket is closed in any case.
  this->acceptor.close(ignored);
  this->CloseConnections();
}

void
HttpServer::CloseTimedOut(Time aNow)
{
  for (auto entry = this->sessions.begin(); entry != this->sessions.end();) {
    (*entry)->CloseIfTimedOut(aNow);
    entry =
      (*entry)->IsClosed() ? this->sessions.erase(entry) : std::next(entry);
  }
}

Tcp::endpoint
HttpServer::Address() const
{
  return this->acceptor.local_endpoint();
}

void
HttpServer::Accept()
{
  // An asynchronous accept could take a connection whose handler runs only
  // after the server has stopped, and would have to reset it.
  this->acceptor.async_wait(
    Tcp::acceptor::wait_read, [this](boost::system::error_code) {
      if (!this->acceptor.is_open()) {
        return;
      }
      if (this->AcceptPending()) {
        this->Accept();
        return;
      }
      this->acceptTimer.expires_after(kAcceptPause);
      this->acceptTimer.async_wait([this](boost::system::error_code aStopped) {
        if (!aStopped && this->acceptor.is_open()) {
          this->Accept();
        }
      });
    });
}

void
HttpServer::StartSession(Tcp::socket aSocket)
{
  auto session = std::make_shared<ServerSession>(
    std::move(aSocket), this->handler, this->rules, this->limits, this->memory);
  session->Open(this->name);
  this->sessions.insert(session);
  if (this->finalResponse) {
    session->Dismiss(*this->finalResponse);
  } else {
    session->Start();
  }
}

} // namespace fescuetiller
