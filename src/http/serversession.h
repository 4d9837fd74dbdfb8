#pragma once

#include <deque>
#include <functional>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>

#include "http/arrivaltimes.h"
#include "http/connectionmemory.h"
#include "http/messages.h"
#include "http/pendingresponse.h"
#include "http/requestparser.h"
#include "http/requestpipeline.h"
#include "http/unansweredrequest.h"

namespace fescuetiller {

/** Limits on the size of requests and on the time that clients may take. */
struct SessionLimits
{
  uint32_t maxHeaderBytes = 16 * 1024;
  uint64_t maxBodyBytes = 1024 * 1024;
  /** Header fields and trailer fields of a request. Each takes some 100 bytes
   * of memory, however short it is. */
  uint32_t maxFields = 200;
  /** Copies of a body that exist while its request runs. */
  uint32_t bodyCopies = 1;
  /** A client must read responses at this rate, after the time below. */
  uint32_t minReadBytesPerSecond = 4 * 1024;
  Duration readGraceTime = std::chrono::seconds(10);
  /** For receiving a whole request, headers and body. */
  Duration headerTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(60);
  /** How long a connection stays open after its last response, while requests
   * behind it arrive that are not read. Closing it at once would reset it, and
   * the client could lose the response. */
  Duration lingerTime = std::chrono::milliseconds(500);
  bool closeAfterResponse = false;
};

/** What the server of a listening address decides about requests. All may be
 * empty. */
struct SessionRules
{
  /** Whether a request may run at the same time as others of its connection. If
   * it is not set, each request waits for the response to the one before. */
  std::function<bool(const HttpRequest&)> mayRunConcurrently;
  /** Whether the handler needs the body of a request. A long one that it does
   * not need is not read, and its connection is closed after the response. */
  std::function<bool(const HttpRequest&)> needsBody;
  /** Completes the response to a request that is refused before it is passed
   * on. */
  std::function<void(const HttpRequest&, HttpResponse&)> onRefusal;
  /** Name of the header that identifies a request in reports. */
  std::string requestIdField;
  /** Called for each request whose connection ends before its response is
   * written. */
  std::function<void(const UnansweredRequest&)> onUnanswered;
};

class ServerSession;

/**
 * A request and the means to respond to it, either with a complete response or
 * with headers followed by chunks of the body. If the client disconnects before
 * the response is complete, onClientDisconnect is called. An exchange that is
 * destroyed without a response closes its connection.
 */
class Exchange
{
public:
  Exchange(HttpRequest aRequest,
           std::weak_ptr<ServerSession> aSession,
           std::shared_ptr<PendingResponse> aResponse);
  ~Exchange();

  HttpRequest request;
  Time receivedAt; ///< When the headers of the request arrived.
  /** The client sends further requests behind ones that must run alone, without
   * waiting for their responses. */
  bool sentAhead = false;
  /** Called at most once. */
  std::function<void(ConnectionEnd)> onClientDisconnect;
  /** Adds headers to the response; called with the outcome as it is logged. */
  std::function<void(http::fields&, const std::string&)> onResponseHeaders;

  /** Sends a complete response. May take the place of one that was started if
   * HasStartedResponse is false. */
  void Respond(HttpResponse aResponse);
  /** Starts a response whose body follows in chunks. May take the place of one
   * that was started before, as above. */
  void StartResponse(ResponseHeaders aHeaders);
  /** Writes a part of the body. @param aNext Called when it is written, or kept
   * until the responses before it are. */
  void WriteChunk(asio::const_buffer aChunk, std::function<void()> aNext);
  void EndResponse();
  /** Drops a response that was started, unless a part of it is written: its
   * turn must not come before that of another attempt is known. */
  void DiscardResponse();
  /** Closes the connection once the responses before this one are written, so
   * that the client sees a response that was started as incomplete. */
  void Abort();

  /** Whether a part of a response has been written. One that waits for those
   * before it has not. */
  bool HasStartedResponse() const;

  /** Identifies the open connection; 0 if it is closed. */
  uint64_t ConnectionId() const;
  /** Bytes that were written over the connection and are not acknowledged yet;
   * empty if it is closed. */
  std::optional<uint64_t> BytesInFlight() const;
  /** Time that a message to the client and back takes at present, as far as it
   * is known. */
  Duration RoundTripTime() const;

private:
  friend class ServerSession;

  std::weak_ptr<ServerSession> session;
  std::shared_ptr<PendingResponse> response;
  bool clientDisconnected = false;

  void Abort(ConnectionEnd aEnd);
};

/**
 * A client's connection. Passes its requests to the handler and writes the
 * responses in the order of the requests. Requests that a client sends before
 * it has the response to the first one run at the same time, if the concurrency
 * rule allows it; others wait until the responses before theirs are written.
 */
class ServerSession
  : public AccountedConnection
  , public std::enable_shared_from_this<ServerSession>
{
public:
  using Handler = std::function<void(std::shared_ptr<Exchange>)>;

  ServerSession(Tcp::socket aSocket,
                const Handler& aHandler,
                const SessionRules& aRules,
                const SessionLimits& aLimits,
                std::shared_ptr<ConnectionMemory> aMemory);
  ~ServerSession() override;

  /** @param aListener Name of the listening address. */
  void Open(const std::string& aListener);
  void Start();
  void Withdraw(RoomReason aReason) override;
  /** Closes the connection if it exceeded the idle timeout, the timeout for
   * receiving a request or the linger time. */
  void CloseIfTimedOut(Time aNow);
  bool IsClosed() const;
  /** Whether a request has no response yet or the response is being written. */
  bool IsBusy() const;
  /** Whether a part of a request has been read, and the rest is missing. */
  bool IsReadingRequest() const;
  /** Whether data has arrived that belongs to a request and was not read yet.
   */
  bool HasUnreadData();
  void Close(ConnectionEnd aEnd);
  /** Closes the connection unless a part of a request has arrived. */
  void CloseIfIdle();
  /** Sends a final response, which a request that is on its way gets as its
   * response. What arrives is discarded. For idle connections only. */
  void Dismiss(HttpResponse aFinalResponse);
  /** Dismisses the client unless a part of a request has arrived. */
  void DismissIfIdle(HttpResponse aFinalResponse);
  /** Whether the last response was sent and the client may still read it. */
  bool IsDismissed() const;

private:
  friend class Exchange;

  enum class State
  {
    Open,
    Dismissed, ///< The last response was sent; what arrives is discarded.
    Closed,
  };
  /** How much of the next request has been received. */
  enum class Input
  {
    Nothing,
    Part, ///< It is being read.
    Held, ///< Its headers; the rest waits for the responses before it.
  };
  void WaitForData();
  void OnReadable();
  void ReadAhead();
  void ReadNext();
  void ReadHeader();
  void OnHeader();
  /** Reads the next part of a request. */
  void ReadSome();
  /** Parses what has arrived, and continues with the request or reads more. */
  void ParseInput();
  /** Updates the account. @return Whether there is room. */
  bool AccountInput();
  /** Memory that the request that is being read holds. */
  size_t InputBytes() const;
  size_t ReadSize() const;
  /** Whether the rest of the request can be read now. */
  bool MayPassOn();
  void SendContinue();
  void ReadBody();
  void OnRequest();
  void RejectRequest(const boost::system::error_code& aError);
  /** Refuses the request that is being read, which has not run. */
  void RefuseForRoom(RoomReason aReason);
  void RespondInstead(HttpResponse aResponse);
  void DropInput();
  bool IsBodySkipped() const;
  void UpdatePhase();
  bool DropRequestIfStopped();
  bool MayAnnounceClose() const;
  bool HasNextRequest();

  void Respond(const std::shared_ptr<PendingResponse>& aPending,
               HttpResponse aResponse);
  void WriteChunk(const std::shared_ptr<PendingResponse>& aPending,
                  asio::const_buffer aChunk,
                  std::function<void()> aNext);
  /** Adds what a response holds to the account. */
  void AccountResponse(PendingResponse& aPending, size_t aBytes);
  /** A further part of a response is known. */
  void OnResponseChanged(const std::shared_ptr<PendingResponse>& aPending);
  void Abort(const std::shared_ptr<PendingResponse>& aPending,
             ConnectionEnd aEnd);
  /** Writes what is known of the oldest response, if it is not being written.
   */
  void WriteNext();
  void OnWritten(PendingResponse::Step aStep,
                 const boost::system::error_code& aError);
  void FinishResponse();
  void SetResetOnClose(bool aReset);
  void CloseAfterResponse();
  void DiscardData();
  void NotifyDisconnect(const PendingResponse& aPending, ConnectionEnd aEnd);
  /** Reports the requests that get no response since the connection ends. */
  void ReportUnanswered(ConnectionEnd aEnd);

  Tcp::socket socket;
  const Handler& handler;
  const SessionRules& rules;
  const SessionLimits& limits;
  std::shared_ptr<ConnectionMemory> memory;
  ConnectionMemory::Id id = 0; ///< In the account; 0 once it is closed.
  std::string listener;
  std::string address; ///< The client's.
  boost::beast::flat_buffer buffer;
  ArrivalTimes arrivals; ///< Of the buffer.
  std::string discarded; ///< Buffer for data that is not handled.
  std::unique_ptr<RequestParser> parser;
  bool readingBody = false;
  bool counted = false; ///< Whether a whole request has been read.
  RequestPipeline pipeline;
  /** Responses of the pipeline, in the order of their requests. */
  std::deque<std::shared_ptr<PendingResponse>> responses;
  std::unique_ptr<HttpResponse> finalResponse;
  State state = State::Open;
  Input input = Input::Nothing;
  Time since;            ///< When the state or the input last changed.
  Time headerReceivedAt; ///< Of the request that is being read.
  /** How long the request that is being read may take to arrive. */
  Duration headerTimeout = Duration(0);
  size_t discardedBytes = 0; ///< Arrived after the last request that is read.
  bool sentAhead = false;    ///< See Exchange.
  Time writeStartedAt;
  size_t writeBytes = 0;
  bool waitingForData = false; ///< An asynchronous wait is pending.
  bool writing = false;
  bool pipelined = false;  ///< Requests were sent before earlier responses.
  bool concurrent = false; ///< The request that is being read may run so.
};

} // namespace fescuetiller
