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
  SECTION("an unknown section is named with its line and what is allowed")
  {
    auto settings = ParseSettings(text + "[daemon2]\nx = 1\n", "a.ini");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().peer == "a.ini:8");
    CHECK(settings.error().message.find("[daemon2]") != std::string::npos);
    CHECK(settings.error().message.find("allowed: daemon") !=
          std::string::npos);
  }
  SECTION("an unknown key is named with its line")
  {
    auto settings = ParseSettings(text + "parts = 1\n", "a.ini");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().peer == "a.ini:8");
    CHECK(settings.error().message.find("parts = \"1\"") != std::string::npos);
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

TEST_CASE("Every wrong setting is named with its place and what is allowed",
          "[config]")
{
  struct Wrong
  {
    std::string line; ///< Replaces the line that starts like it, or is added.
    std::string section; ///< Where an added line goes.
    int at;
    std::string allowed;
  };
  const std::string kText = "[daemon]\n"
                            "name = agenda-1\n"
                            "zone = qc-east-a\n"
                            "[platform]\n"
                            "address = 127.0.0.1:80\n"
                            "[service agenda]\n"
                            "partitions = 64\n";
  const Wrong kWrong[] = {
    { "name = a/b", "", 2, "letters, digits" },
    { "zone =", "", 3, "letters, digits" },
    { "address = localhost:80", "", 5, "IPv4 address and a port" },
    { "address = 127.0.0.1", "", 5, "IPv4 address and a port" },
    { "address = 127.0.0.1:0", "", 5, "IPv4 address and a port" },
    { "address = 127.0.0.1:65536", "", 5, "IPv4 address and a port" },
    { "partitions = 0", "", 7, "1 to 1048576" },
    { "partitions = -1", "", 7, "1 to 1048576" },
    { "partitions = 1e3", "", 7, "1 to 1048576" },
    { "partitions = 99999999999999999999", "", 7, "1 to 1048576" },
    { "listen_ip = 1.2.3", "[daemon]", 2, "IPv4" },
    { "operator_ip = ::1", "[daemon]", 2, "IPv4" },
    { "caller_port = 70000", "[daemon]", 2, "0 to 65535" },
    { "name = b", "[daemon]", 3, "duplicate key" },
    { "stop_timeout_ms = 0", "[daemon]", 2, "1 to 3600000" },
    { "lease_ms = 400", "[lease]", 9, "" },
    { "lease_ms = soon", "[lease]", 9, "whole number" },
    { "renew_interval_ms = 401", "[lease]", 9, "at most half" },
    { "drift_margin_ms = 900", "[lease]", 9, "below lease_ms" },
    { "grantor_timeout_ms = 800", "[lease]", 9, "above renew_interval_ms" },
    { "grantor_timeout_ms = 200", "[lease]", 9, "above renew_interval_ms" },
    { "retry_interval_ms = 800", "[lease]", 9, "below lease_ms" },
    { "weigh_most = speed", "[placement]", 9, "unavailable_time or churn" },
    { "max_body_bytes = 0", "[limits]", 9, "1 to 67108864" },
    { "[daemon]", "", 8, "duplicate section" },
    { "[service a/b]", "", 8, "letters, digits" },
    { "colour", "", 8, "'=' character not found" },
  };
  for (const auto& wrong : kWrong) {
    std::string text = kText;
    std::string key = wrong.line.substr(0, wrong.line.find(" =") + 2);
    size_t start = text.find("\n" + key);
    size_t section = text.find(wrong.section + "\n");
    if (!wrong.section.empty() && section == std::string::npos) {
      text += wrong.section + "\n" + wrong.line + "\n";
    } else if (!wrong.section.empty()) {
      text.insert(section + wrong.section.size() + 1, wrong.line + "\n");
    } else if (start != std::string::npos &&
               wrong.line.find('=') != std::string::npos) {
      size_t end = text.find('\n', start + 1);
      text.replace(start + 1, end - start - 1, wrong.line);
    } else {
      text += wrong.line + "\nx = 1\n";
    }
    CAPTURE(text);
    auto settings = ParseSettings(text, "a.ini");
    REQUIRE_FALSE(settings);
    INFO(ToString(settings.error()));
    if (wrong.line != "lease_ms = 400") {
      CHECK(settings.error().peer == "a.ini:" + std::to_string(wrong.at));
    }
    CHECK(settings.error().message.find(wrong.allowed) != std::string::npos);
  }
}

TEST_CASE("Settings reach the parts of a daemon", "[config]")
{
  auto settings = ParseSettings("[daemon]\n"
                                "name = agenda-1\n"
                                "zone = qc-east-a\n"
                                "listen_ip = 10.0.0.1\n"
                                "operator_ip = 10.1.0.1\n"
                                "[platform]\n"
                                "address = 10.2.0.1:80\n"
                                "[lease]\n"
                                "lease_ms = 1800\n"
                                "renew_interval_ms = 400\n"
                                "[placement]\n"
                                "weigh_most = churn\n"
                                "[service agenda]\n"
                                "partitions = 64\n",
                                "a.ini");
  REQUIRE(settings);
  CHECK(settings->operatorIp == "10.1.0.1");
  CHECK(settings->peerIp == "10.0.0.1");
  CHECK(settings->lease.lease == std::chrono::milliseconds(1800));
  CHECK(settings->lease.renewInterval == std::chrono::milliseconds(400));
  CHECK(settings->weighMost == PlacementGoal::Churn);
}
