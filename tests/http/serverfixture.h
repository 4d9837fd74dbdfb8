#pragma once

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "http/http.h"

namespace fescuetiller {

/** A server and a client socket connected to it. */
struct ServerFixture
{
  asio::io_context context{ 1 };
  std::vector<std::shared_ptr<Exchange>> exchanges;
  HttpServer server{ context, [this](std::shared_ptr<Exchange> aExchange) {
                      this->exchanges.push_back(std::move(aExchange));
                    } };
  Tcp::socket client{ context };
  std::string received;

  ServerFixture()
  {
    REQUIRE(
      this->server.Listen(Tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
    this->client.connect(this->server.Address());
    this->client.non_blocking(true);
  }

  void Send(const std::string& aText)
  {
    asio::write(this->client, asio::buffer(aText));
    this->Run();
  }

  /** Runs the server and reads what it wrote. @return Whether the connection is
   * open. */
  bool Run()
  {
    this->context.restart();
    this->context.run_for(std::chrono::milliseconds(30));
    return this->ReadAvailable();
  }

  /** Reads what the server wrote. @return Whether the connection is open. */
  bool ReadAvailable()
  {
    char bytes[65536];
    boost::system::error_code error;
    auto size = this->client.read_some(asio::buffer(bytes), error);
    this->received.append(bytes, size);
    return !error || error == asio::error::would_block;
  }
};

} // namespace fescuetiller
