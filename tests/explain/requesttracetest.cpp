#include <sstream>

#include <catch2/catch.hpp>

#include "explain/explain.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* kLog =
  R"({"time_ms":1000,"node":"n1","event":"store-lost","table":"op"}
  2.5 n2 {"time_ms":9000,"node":"n2","event":"execution","request":"r1","outcome":"refused","reason":"no-time"}
{"time_ms":8000,"node":"n2","event":"keys-moved","keys":"0-9"}
{"time_ms":9010,"node":"n1","event":"request","request":"r1","outcome":"refused"}
{"time_ms":9005,"node":"n3","event":"keys-moved","keys":"0-9"}
{"time_ms":9020,"node":"n1","event":"request","request":"r1.7","outcome":"answered"}
{"time_ms":9030,"node":"n1","event":"request","request":"r10","outcome":"answered"}
{"time_ms":"soon","node":"n1","event":"request","request":"r1"}
{"time_ms":9040,"node":"n1","event":"request","request":"r1"
not a JSON line
{"time_ms":99000,"node":"n1","event":"stop"}
)";

std::vector<std::string>
Events(const std::vector<LogLine>& aTrace)
{
  std::vector<std::string> events;
  events.reserve(aTrace.size());
  for (const auto& line : aTrace) {
    events.push_back(line.node + " " + line.event + " " +
                     line.FieldValue("request"));
  }
  return events;
}

} // namespace

SCENARIO("A request is traced through several logs", "[explain]")
{
  std::istringstream log(kLog);
  auto lines = ParseLog(log);
  CHECK(lines.size() == 8);

  GIVEN("a request's id")
  {
    auto trace = TraceRequest(lines, "r1");
    THEN("its lines, its calls and nearby state changes are in order of time")
    {
      CHECK(Events(trace) == std::vector<std::string>{ "n2 keys-moved ",
                                                       "n2 execution r1",
                                                       "n1 request r1",
                                                       "n1 request r1.7" });
    }
    THEN("each field has the value that was logged")
    {
      CHECK(trace[1].FieldValue("reason") == "no-time");
      CHECK(trace[1].FieldValue("other").empty());
    }
  }
  GIVEN("an id that no line contains")
  {
    CHECK(TraceRequest(lines, "r2").empty());
  }
}
