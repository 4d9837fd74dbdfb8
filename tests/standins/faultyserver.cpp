#include "standins/faultyserver.h"

#include <iostream>

#include "standins/faultysession.h"

namespace fescuetiller {

FaultyServer::FaultyServer(asio::io_context& aContext, Handler aHandler)
  : context(aContext)
  , handler(std::move(aHandler))
  , acceptor(aContext)
{
}

Result<void>
FaultyServer::Listen(const Tcp::endpoint& aAddress)
{
  try {
    this->acceptor = Tcp::acceptor(this->context, aAddress);
  } catch (const boost::system::system_error& error) {
    return tl::unexpected(Error{
      ErrorCode::Unavailable, "listen", ToString(aAddress), error.what() });
  }
  this->Accept();
  return {};
}

void
FaultyServer::SetFaults(AnswerFaults aFaults)
{
  this->faults = std::move(aFaults);
  this->faults.SetSeed(this->seed);
  ++this->faultsVersion;
}

void
FaultyServer::SetSeed(uint32_t aSeed)
{
  this->seed = aSeed;
  this->random.seed(aSeed);
  this->faults.SetSeed(aSeed);
}

void
FaultyServer::Accept()
{
  this->acceptor.async_accept(
    this->context,
    [this](boost::system::error_code aError, Tcp::socket aSocket) {
      if (!aError) {
        std::make_shared<FaultySession>(
          *this, std::move(aSocket), ++this->connections)
          ->Start();
      }
      this->Accept();
    });
}

void
FaultyServer::Log(uint64_t aConnection,
                  const std::string& aText,
                  const std::string& aRequestId) const
{
  if (!this->faults.IsEmpty()) {
    std::cout << ToBootNanoseconds(BootClock::now()) << " connection "
              << aConnection << ' ' << aText << ' ' << aRequestId << std::endl;
  }
}

} // namespace fescuetiller
