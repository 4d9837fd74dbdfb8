#pragma once

#include <functional>

#include "http/http.h"
#include "standins/answerfaults.h"

namespace fescuetiller {

/**
 * HTTP server that writes faulty answers. It serves one request at a time on a
 * connection. With faults, it logs each request and each write to the standard
 * output: boot time in nanoseconds, connection, what, request id.
 */
class FaultyServer
{
public:
  using Respond = std::function<void(HttpResponse)>;
  using Handler = std::function<void(const HttpRequest&, Respond)>;

  FaultyServer(asio::io_context& aContext, Handler aHandler);

  Result<void> Listen(const Tcp::endpoint& aAddress);

  /** Sets the faults of all further answers. Late bytes that are still to be
   * written are dropped. */
  void SetFaults(AnswerFaults aFaults);
  void SetSeed(uint32_t aSeed);

private:
  friend class FaultySession;

  void Accept();
  void Log(uint64_t aConnection,
           const std::string& aText,
           const std::string& aRequestId) const;

  asio::io_context& context;
  Handler handler;
  Tcp::acceptor acceptor;
  AnswerFaults faults;
  uint32_t seed = 0;
  uint64_t faultsVersion = 0; ///< Grows each time that the faults are set.
  uint64_t connections = 0;   ///< How many were accepted.
  std::mt19937 random;        ///< For delays and bytes.
};

} // namespace fescuetiller
