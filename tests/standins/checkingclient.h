#pragma once

#include <optional>
#include <random>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "standins/checkedrequest.h"

namespace fescuetiller {

/** What a checking client does. */
struct CheckingClientOptions
{
  std::string name; ///< Beginning of its requests' ids.
  std::vector<std::string> nodes;
  uint32_t seed = 1;
  bool old = false;     ///< Sends HTTP/1.0, each request over a new connection.
  bool uploads = false; ///< Whether some of its bookings are long.
};

/**
 * A client that sends seeded requests to daemons, one or several in one write,
 * over kept and new connections. It reads the bytes that come back itself, so
 * that it notices bytes that belong to no answer. Blocks; needs a thread of its
 * own.
 */
class CheckingClient
{
public:
  explicit CheckingClient(CheckingClientOptions aOptions);

  /** Sends requests until a time. */
  void Run(Time aEnd);

  const std::vector<CheckedRequest>& Requests() const;

private:
  using Parser = http::response_parser<http::string_body>;

  void TakeTurn();
  std::vector<CheckedRequest> DrawRequests();
  CheckedRequest DrawRequest();
  bool Connect();
  void Disconnect();
  /** Reads the answer to a request.
   * @return Whether another one can follow on the connection. */
  bool ReadAnswer(CheckedRequest& aRequest);
  /** Waits for bytes and adds them to the buffer.
   * @return The error; timed_out after the longest wait. */
  boost::system::error_code ReadSome();
  /** Whether what has arrived can't be the beginning of an answer. */
  bool IsNoAnswer() const;
  /** Whether bytes have arrived though no request waits. */
  bool HasUnaskedBytes();
  std::string BufferText() const;

  CheckingClientOptions options;
  std::mt19937 random;
  asio::io_context context;
  std::optional<Tcp::socket> socket;
  boost::beast::flat_buffer buffer;
  std::vector<CheckedRequest> requests;
};

} // namespace fescuetiller
