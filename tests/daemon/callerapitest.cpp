#include <catch2/catch.hpp>

#include "fescuetillerd/callerapi.h"
#include "platform/headers.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::milliseconds;

Configuration
ConfigurationWithClasses()
{
  Configuration configuration;
  for (const auto& [name, service] :
       { std::pair("lookup", "agenda"), std::pair("report", "dossier") }) {
    Route route;
    route.name = name;
    route.host = std::string(name) + ".example";
    route.prefix = std::string("/") + name + "/";
    route.timeout = milliseconds(800);
    route.destinations = { { service, 1 } };
    configuration.routes[name] = route;
    configuration.services[service].name = service;
  }
  configuration.services["agenda"].ownsKeys = true;
  return configuration;
}

HttpRequest
Post(const std::string& aTarget)
{
  HttpRequest request(http::verb::post, aTarget, 11);
  request.set(headers::kRequestId, "r1");
  request.body() = "body";
  return request;
}

std::string
ParseError(const HttpRequest& aRequest)
{
  auto parsed = ParseCallerRequest(aRequest, ConfigurationWithClasses());
  return parsed ? "" : parsed.error().message;
}

} // namespace

SCENARIO("A request that names service, class and key is parsed", "[callers]")
{
  auto configuration = ConfigurationWithClasses();

  GIVEN("a request for a service that owns keys")
  {
    auto request = Post("/v1/request/agenda/lookup?key=laval%202231");
    auto parsed = ParseCallerRequest(request, configuration);
    REQUIRE(parsed);
    THEN("it is translated into a request that matches the route")
    {
      CHECK((*parsed)[http::field::host] == "lookup.example");
      CHECK(parsed->target() == "/lookup/");
      CHECK((*parsed)[headers::kTimeLeft] == "800");
      CHECK(parsed->body() == "body");
      CHECK((*parsed)[headers::kKey] ==
            std::to_string(StableHash("laval 2231") % (kLastKey + 1)));
    }
  }
  GIVEN("a request with a deadline")
  {
    auto request = Post("/v1/request/agenda/lookup?key=a");
    request.set("X-Deadline-Ms", "250");
    auto parsed = ParseCallerRequest(request, configuration);
    REQUIRE(parsed);
    CHECK((*parsed)[headers::kTimeLeft] == "250");
    CHECK((*parsed)["X-Deadline-Ms"].empty());
    for (const char* wrong : { "0", "-1", "600001", "soon", "" }) {
      request.set("X-Deadline-Ms", wrong);
      CHECK(ParseError(request) == "X-Deadline-Ms must be from 1 to 600000");
    }
  }
  GIVEN("a request for a service without keys")
  {
    auto parsed =
      ParseCallerRequest(Post("/v1/request/dossier/report"), configuration);
    REQUIRE(parsed);
    CHECK((*parsed)[headers::kKey].empty());
  }
  GIVEN("malformed requests")
  {
    CHECK(ParseError(Post("/v1/request/agenda/lookup")).find("key") !=
          std::string::npos);
    CHECK_FALSE(ParseError(Post("/v1/request/agenda/lookup?key=%zz")).empty());
    CHECK_FALSE(ParseError(Post("/v1/request/agenda")).empty());
    CHECK_FALSE(ParseError(Post("/v1/request/agenda/lookup/x?key=a")).empty());
    CHECK_FALSE(ParseError(Post("/lookup/")).empty());
    auto request = Post("/v1/request/agenda/lookup?key=a");
    request.method(http::verb::get);
    CHECK(ParseError(request) == "the method must be POST");
    request = Post("/v1/request/agenda/lookup?key=a");
    request.erase(headers::kRequestId);
    CHECK_FALSE(ParseError(request).empty());
  }
  GIVEN("a class that the configuration does not have, or of another service")
  {
    for (const char* path :
         { "/v1/request/agenda/other?key=a", "/v1/request/dossier/lookup" }) {
      auto parsed = ParseCallerRequest(Post(path), configuration);
      REQUIRE_FALSE(parsed);
      CHECK(parsed.error().code == ErrorCode::Refused);
    }
  }
}
