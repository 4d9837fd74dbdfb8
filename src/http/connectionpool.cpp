#include "http/connectionpool.h"

#include <algorithm>
#include <cerrno>

#include "base/ids.h"
#include "http/socketstate.h"

namespace fescuetiller {

namespace {

/** Most bytes that wait to be parsed: a head, or the extension of a chunk or
 * the trailers, which are parsed at once, and what was read with them. A read
 * of more fails. */
constexpr size_t kMaxBufferBytes = 96 * 1024;

/** State of a connection that is not in use. */
enum class IdleState
{
  Usable,
  Closed,
  HasData, ///< The peer sent something that no request waits for.
};

IdleState
CheckIdle(Tcp::socket& aSocket)
{
  auto count = PeekByte(aSocket);
  if (count > 0) {
    return IdleState::HasData;
  }
  bool open = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return open ? IdleState::Usable : IdleState::Closed;
}

} // namespace

const char*
ToString(UnexpectedData::Kind aKind)
{
  switch (aKind) {
    case UnexpectedData::Kind::OtherId:
      return "other-id";
    case UnexpectedData::Kind::NoId:
      return "no-id";
    case UnexpectedData::Kind::TwoHeads:
      return "two-heads";
    case UnexpectedData::Kind::AfterResponse:
      return "after-response";
    case UnexpectedData::Kind::WhileIdle:
      return "while-idle";
    case UnexpectedData::Kind::Malformed:
      return "malformed";
  }
  return "unknown";
}

Connection::Connection(asio::io_context& aContext)
  : socket(aContext)
  , buffer(kMaxBufferBytes)
{
}

ConnectionPool::ConnectionPool(asio::io_context& aContext)
  : context(aContext)
{
}

void
Connection::OnSent(std::string_view aRequestId)
{
  this->sentIds.push_back(StableHash(aRequestId));
}

bool
Connection::HasSent(std::string_view aRequestId) const
{
  return std::find(this->sentIds.begin(),
                   this->sentIds.end(),
                   StableHash(aRequestId)) != this->sentIds.end();
}

bool
ConnectionPool::IsUsable(const Tcp::endpoint& aPeer,
                         Connection& aConnection,
                         Time aNow) const
{
  if (aNow >= aConnection.idleUntil) {
    return false;
  }
  auto state = CheckIdle(aConnection.socket);
  if (state == IdleState::HasData) {
    UnexpectedData data;
    data.kind = UnexpectedData::Kind::WhileIdle;
    data.peer = aPeer;
    this->Report(data);
  }
  return state == IdleState::Usable;
}

std::unique_ptr<Connection>
ConnectionPool::Take(const Tcp::endpoint& aPeer,
                     Time aNow,
                     std::string_view aRequestId)
{
  auto found = this->idle.find(aPeer);
  if (found == this->idle.end()) {
    return nullptr;
  }
  // The one that was used last is the least likely to be closed by the peer.
  auto& connections = found->second;
  for (auto index = connections.size(); index > 0; --index) {
    auto entry = connections.begin() + static_cast<std::ptrdiff_t>(index - 1);
    if (!aRequestId.empty() && (*entry)->HasSent(aRequestId)) {
      continue;
    }
    auto connection = std::move(*entry);
    connections.erase(entry);
    if (this->IsUsable(aPeer, *connection, aNow)) {
      return connection;
    }
  }
  if (!connections.empty()) {
    connections.erase(connections.begin());
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

void
ConnectionPool::Report(const UnexpectedData& aData) const
{
  if (this->onUnexpectedData) {
    this->onUnexpectedData(aData);
  }
}

asio::io_context&
ConnectionPool::Context()
{
  return this->context;
}

} // namespace fescuetiller
