#include <catch2/catch.hpp>

#include "config/config.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

TEST_CASE("A daemon reads its settings", "[config]")
{
  std::string text = "[daemon]\n"
                     "name = agenda-1\n"
                     "zone = qc-east-a\n"
                     "[platform]\n"
                     "address = 127.0.0.1:80\n"
                     "[service agenda]\n"
                     "partitions = 64\n";

  SECTION("a complete file is accepted")
  {
    auto settings = ParseSettings(text, "a.ini");
    REQUIRE(settings);
    CHECK(settings->name == "agenda-1");
    CHECK(settings->partitions.at("agenda") == 64);
  }
  SECTION("an unknown key is named with its line")
  {
    auto settings = ParseSettings(text + "[daemon2]\nx = 1\n", "a.ini");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().peer == "a.ini:9");
  }
  SECTION("a value out of range is named with what is allowed")
  {
    auto settings = ParseSettings(
      "[daemon]\nname = a\ncaller_port = 70000\n" + text.substr(25), "a.ini");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().peer == "a.ini:3");
    CHECK(settings.error().message.find("0 to 65535") != std::string::npos);
  }
  SECTION("a missing setting is named")
  {
    auto settings = ParseSettings("[daemon]\nname = a\n", "a.ini");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().message == "[daemon] zone is missing");
  }
}
