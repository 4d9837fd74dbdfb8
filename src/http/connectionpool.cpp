#include "http/connectionpool.h"

#include <algorithm>
#include <cerrno>

#include "http/socketstate.h"

namespace fescuetiller {

namespace {

/** Whether the peer neither closed the connection nor sent any data. */
bool
IsOpenAndIdle(Tcp::socket& aSocket)
{
  return PeekByte(aSocket) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

Connection::Connection(asio::io_context& aContext)
  : socket(aContext)
{
}

ConnectionPool::ConnectionPool(asio::io_context& aContext)
  : context(aContext)
{
}

std::unique_ptr<Connection>
ConnectionPool::Take(const Tcp::endpoint& aPeer, Time aNow)
{
  auto found = this->idle.find(aPeer);
  if (found == this->idle.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    if (aNow < connection->idleUntil && IsOpenAndIdle(connection->socket)) {
      connection->reused = true;
      return connection;
    }
  }
  return nullptr;
}

void
ConnectionPool::Put(const Tcp::endpoint& aPeer,
                    std::unique_ptr<Connection> aConnection)
{
  this->idle[aPeer].push_back(std::move(aConnection));
}

void
ConnectionPool::CloseIdle(const Tcp::endpoint& aPeer)
{
  this->idle.erase(aPeer);
}

void
ConnectionPool::CloseExpired(Time aNow)
{
  for (auto entry = this->idle.begin(); entry != this->idle.end();) {
    auto& connections = entry->second;
    connections.erase(std::remove_if(connections.begin(),
                                     connections.end(),
                                     [&](const auto& aConnection) {
                                       return aConnection->idleUntil <= aNow;
                                     }),
                      connections.end());
    entry = connections.empty() ? this->idle.erase(entry) : std::next(entry);
  }
}

asio::io_context&
ConnectionPool::Context()
{
  return this->context;
}

} // namespace fescuetiller
