#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/base.h"

namespace fescuetiller {

/** Why a client's connection ended. */
enum class ConnectionEnd
{
  ClientClosed,    ///< The client closed it.
  ConnectionLost,  ///< It was reset or timed out.
  ResponseNotRead, ///< The client does not read a response.
  RequestTimeout,  ///< A request did not arrive whole in time.
  IdleTimeout,
  NoRoom,          ///< There is no memory for the request.
  ResponseAborted, ///< A response that had been started broke off.
  NoResponse,      ///< A request was dropped without a response.
  Finished,        ///< The last response was sent.
  Stopped,         ///< The server closes all connections.
};

std::string
ToString(ConnectionEnd aEnd);

/** Whether the client or the network ended the connection, and not the server.
 */
bool
IsEndedByClient(ConnectionEnd aEnd);

/** A request whose connection ended before its response was written. */
struct UnansweredRequest
{
  /** What is known of the response. */
  enum class Response
  {
    NotRead, ///< None: the request was not read whole, so it did not run.
    None,
    Started, ///< Its headers, and not all of its body.
    Whole,
  };

  std::string listener; ///< Name of the listening address.
  std::string client;   ///< Address of the client.
  std::string id;       ///< See SessionRules::requestIdField; may be empty.
  ConnectionEnd end = ConnectionEnd::ClientClosed;
  Response response = Response::None;
  Duration age = Duration(0); ///< Since the headers of the request were read.
  /** Since the response, or its headers, were known. */
  std::optional<Duration> responseAge;
  size_t position = 0; ///< Number of requests before it without a response.
  size_t behind = 0;   ///< Number of requests behind it.
};

std::string
ToString(UnansweredRequest::Response aResponse);

} // namespace fescuetiller
