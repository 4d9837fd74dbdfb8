#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "http/messages.h"

namespace fescuetiller {

/** An open connection to a peer. */
struct Connection
{
  explicit Connection(asio::io_context& aContext);

  /** Records that a request with this id is sent. */
  void OnSent(std::string_view aRequestId);
  /** Whether a request with this id was sent. */
  bool HasSent(std::string_view aRequestId) const;

  Tcp::socket socket;
  boost::beast::flat_buffer buffer; ///< Bytes read but not parsed yet.
  Time idleUntil;       ///< The connection must not be reused after this time.
  size_t responses = 0; ///< Number of responses that began to arrive.
  /** Hashes of the recorded ids. */
  std::vector<uint64_t> sentIds;
};

/** Data of a peer that is not the response to a request that waits. */
struct UnexpectedData
{
  enum class Kind
  {
    OtherId,       ///< A response with the id of another request.
    NoId,          ///< A response without an id.
    TwoHeads,      ///< The heads of two responses, the first one cut off.
    AfterResponse, ///< Followed a complete response.
    WhileIdle,     ///< Arrived when no request waited.
    Malformed,     ///< Cannot be parsed as a response.
  };

  Kind kind = Kind::OtherId;
  Tcp::endpoint peer;
  std::string requestId;  ///< Of the request that waits; empty if none.
  std::string responseId; ///< Of the response.
  unsigned status = 0;    ///< Of the response; 0 if it was not parsed.
  std::string reason;     ///< Why malformed data could not be parsed.
  bool accepted = false;  ///< Taken as the response to the request.
};

const char*
ToString(UnexpectedData::Kind aKind);

/**
 * Keeps idle connections for reuse, by peer. A connection that received data or
 * was closed by the peer while idle is dropped. Not thread-safe.
 */
class ConnectionPool
{
public:
  explicit ConnectionPool(asio::io_context& aContext);

  /** Takes an idle connection to the peer out of the pool; nullptr if there is
   * none.
   * @param aRequestId If not empty, a connection over which no request with
   * this id was sent. If there are only others, one of them is closed, so that
   * the number of connections does not grow. */
  std::unique_ptr<Connection> Take(const Tcp::endpoint& aPeer,
                                   Time aNow,
                                   std::string_view aRequestId = {});

  /** Adds a connection that may be reused until its idleUntil. */
  void Put(const Tcp::endpoint& aPeer, std::unique_ptr<Connection> aConnection);

  /** Closes the idle connections to a peer. */
  void CloseIdle(const Tcp::endpoint& aPeer);

  /** Closes connections that have been idle for too long. */
  void CloseExpired(Time aNow);

  asio::io_context& Context();

  uint64_t opened = 0; ///< Number of connections opened so far.
  /** Called when a peer sends something that no request waits for. */
  std::function<void(const UnexpectedData&)> onUnexpectedData;

private:
  friend class UpstreamCall;

  void Report(const UnexpectedData& aData) const;

  /** Whether a connection can still carry requests. */
  bool IsUsable(const Tcp::endpoint& aPeer,
                Connection& aConnection,
                Time aNow) const;

  asio::io_context& context;
  std::map<Tcp::endpoint, std::vector<std::unique_ptr<Connection>>> idle;
};

} // namespace fescuetiller
