#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "standins/checkedrequest.h"

namespace fescuetiller {

/** How the wait for an answer ended. */
enum class WaitEnd
{
  Waiting,
  Replied,          ///< See CheckedRequest::reply.
  OwnLimit,         ///< The client closed the connection at its limit.
  BehindOwnLimit,   ///< The same, at the limit of a request before it.
  BehindFinalReply, ///< A reply before it announced the connection's end.
  NotWhole,         ///< The connection ended while the client wrote it.
  Cut,              ///< The daemon ended the connection.
};

/** A request of a client that sends further requests before it has the answer
 * to the first one. */
struct PipelinedRequest
{
  CheckedRequest checked; ///< sentAt: since when it is written whole.
  WaitEnd end = WaitEnd::Waiting;
  bool behindAnother = false; ///< Sent before an earlier one was answered.
  /** When no request before it waited any more. */
  Time becameOldestAt;
};

/** What a pipelining client does. */
struct PipeliningClientOptions
{
  std::string name; ///< Beginning of its requests' ids.
  Tcp::endpoint node;
  std::string address; ///< Its own address.
  uint32_t seed = 1;
  Time end;             ///< No request is sent after it.
  size_t longBytes = 0; ///< Size of long answers.
};

/**
 * A client that sends seeded lookups to a daemon in groups over a connection
 * that it keeps open. It leaves only when the limit of its oldest request
 * without an answer has passed. Needs an I/O context with one thread.
 */
class PipeliningClient
{
public:
  PipeliningClient(asio::io_context& aContext,
                   PipeliningClientOptions aOptions);

  void Start();

  const std::deque<PipelinedRequest>& Requests() const;

private:
  using Parser = http::response_parser<http::string_body>;

  void ScheduleSend(Duration aPause);
  void Send();
  void Connect();
  PipelinedRequest DrawRequest();
  Duration DrawWork(Duration aLimit);
  int64_t Draw(int64_t aLeast, int64_t aMost);
  /** Writes a request, some in two parts. */
  void Write(std::string aText);
  void FinishWriting();
  /** Sends further requests of the group, or waits until all are answered. */
  void Continue();

  void Read();
  void ParseInput();
  /** Reads bytes that arrive though no request waits. */
  void ReadUnasked();
  void FinishOldest();
  void OnConnectionEnded(boost::system::error_code aError);
  /** Ends the wait of all requests that wait. */
  void EndWaits(WaitEnd aOldest, WaitEnd aOthers);
  void Disconnect();

  void WatchOldest();
  Time OldestLimit();
  void OnLimit();
  PipelinedRequest& Oldest();

  asio::io_context& context;
  PipeliningClientOptions options;
  std::mt19937 random;
  asio::steady_timer sendTimer;
  uint64_t sendTurn = 0; ///< Rises when the timer is set or cancelled.
  asio::steady_timer limitTimer;
  /** Shared with pending operations, so that they recognize an earlier one. */
  std::shared_ptr<Tcp::socket> socket;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser; ///< Of the oldest request's answer.
  std::deque<PipelinedRequest> requests;
  size_t waiting = 0;     ///< How many of the last ones wait.
  size_t leftInGroup = 0; ///< How many of the group are still to be sent.
  std::string unwritten;  ///< Second part of the last request.
};

} // namespace fescuetiller
