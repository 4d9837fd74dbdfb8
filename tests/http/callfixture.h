#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "http/http.h"

namespace fescuetiller {

/** A server that responds to each request with the next of the given texts. */
class ScriptedPeer
{
public:
  ScriptedPeer(asio::io_context& aContext, std::vector<std::string> aResponses)
    : acceptor(aContext, Tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , responses(std::move(aResponses))
  {
    this->Accept();
  }

  Tcp::endpoint Address() const { return this->acceptor.local_endpoint(); }

  /** Sends something that belongs to no request. */
  void SendToLastClient(const std::string& aText)
  {
    auto client = this->lastClient.lock();
    REQUIRE(client != nullptr);
    asio::write(client->socket, asio::buffer(aText));
  }

  bool closeAfterResponse = false;
  int connections = 0;
  int requests = 0;
  bool clientDisconnected = false;

private:
  struct Client
  {
    explicit Client(Tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }
    Tcp::socket socket;
    std::string text;
  };

  void Accept()
  {
    this->acceptor.async_accept(
      [this](boost::system::error_code aError, Tcp::socket aSocket) {
        if (!aError) {
          ++this->connections;
          auto client = std::make_shared<Client>(std::move(aSocket));
          this->lastClient = client;
          this->Read(client);
          this->Accept();
        }
      });
  }

  void Read(const std::shared_ptr<Client>& aClient)
  {
    asio::async_read_until(
      aClient->socket,
      asio::dynamic_buffer(aClient->text),
      "\r\n\r\n",
      [this, aClient](boost::system::error_code aError, size_t aSize) {
        if (aError) {
          this->clientDisconnected = true;
          return;
        }
        aClient->text.erase(0, aSize);
        std::string text =
          static_cast<size_t>(this->requests) < this->responses.size()
            ? this->responses[this->requests]
            : "";
        ++this->requests;
        asio::write(aClient->socket, asio::buffer(text));
        if (this->closeAfterResponse) {
          return;
        }
        this->Read(aClient);
      });
  }

  Tcp::acceptor acceptor;
  std::weak_ptr<Client> lastClient;
  std::vector<std::string> responses;
};

/** Stores the response or the failure of a call. */
struct CollectedResponse : ResponseReceiver
{
  std::optional<HttpResponse> response;
  std::optional<ResponseHeaders> headers;
  std::string chunks;
  bool ended = false;
  std::optional<CallFailure> failure;

  void OnCompleteResponse(HttpResponse aResponse) override
  {
    this->response = aResponse;
  }
  void OnHeaders(ResponseHeaders aHeaders) override
  {
    this->headers = aHeaders;
  }
  void OnBodyChunk(asio::const_buffer aChunk,
                   std::function<void()> aNext) override
  {
    this->chunks.append(static_cast<const char*>(aChunk.data()), aChunk.size());
    aNext();
  }
  void OnBodyEnd() override { this->ended = true; }
  void OnFailure(const CallFailure& aFailure) override
  {
    this->failure = aFailure;
  }
  bool IsComplete() const
  {
    return this->response || this->ended || this->failure.has_value();
  }
};

inline HttpRequest
RequestOf(const std::string& aId)
{
  HttpRequest request(http::verb::get, "/x", 11);
  request.set(http::field::host, "a.example");
  request.set("X-Id", aId);
  return request;
}

inline std::string
ResponseText(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nX-Id: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/** A context and a connection pool, run by the test. */
struct CallFixture
{
  asio::io_context context{ 1 };
  ConnectionPool pool{ context };
  std::vector<UnexpectedData> unexpected;

  CallFixture()
  {
    this->pool.onUnexpectedData = [this](const UnexpectedData& aData) {
      this->unexpected.push_back(aData);
    };
  }

  /** Whether the only data that no request waited for was of this kind. */
  bool HasReported(UnexpectedData::Kind aKind, bool aAccepted) const
  {
    return this->unexpected.size() == 1 && this->unexpected[0].kind == aKind &&
           this->unexpected[0].accepted == aAccepted;
  }

  std::shared_ptr<CollectedResponse> Call(
    const Tcp::endpoint& aPeer,
    const std::string& aId,
    Duration aTimeout = std::chrono::seconds(2),
    std::optional<Duration> aStallTimeout = std::nullopt)
  {
    return this->Call(aPeer, RequestOf(aId), aTimeout, aStallTimeout);
  }

  std::shared_ptr<CollectedResponse> Call(
    const Tcp::endpoint& aPeer,
    HttpRequest aRequest,
    Duration aTimeout = std::chrono::seconds(2),
    std::optional<Duration> aStallTimeout = std::nullopt)
  {
    CallOptions options;
    options.timeout = aTimeout;
    options.stallTimeout = aStallTimeout;
    options.correlationField = "X-Id";
    options.mayRepeatResponses = true;
    options.mayProcessPart = true;
    auto collected = std::make_shared<CollectedResponse>();
    UpstreamCall::Start(
      this->pool, aPeer, std::move(aRequest), options, collected);
    this->RunUntil([&] { return collected->IsComplete(); });
    return collected;
  }

  /** Calls a peer whose response arrives byte by byte. */
  std::shared_ptr<CollectedResponse> CallInPieces(const std::string& aResponse)
  {
    ScriptedPeer peer(this->context, { "" });
    auto collected = std::make_shared<CollectedResponse>();
    UpstreamCall::Start(
      this->pool, peer.Address(), RequestOf("1"), CallOptions(), collected);
    this->RunUntil([&] { return peer.requests == 1; });
    for (char byte : aResponse) {
      if (!collected->IsComplete()) {
        peer.SendToLastClient(std::string(1, byte));
        this->context.poll();
      }
    }
    this->RunUntil([&] { return collected->IsComplete(); });
    return collected;
  }

  void RunUntil(const std::function<bool()>& aCondition)
  {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      this->context.run_for(std::chrono::milliseconds(2));
    }
  }
};

} // namespace fescuetiller
