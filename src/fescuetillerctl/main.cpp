#include <iostream>

#include <boost/program_options.hpp>
#include <httplib.h>

#include "config/config.h"

namespace {

namespace options = boost::program_options;
using namespace fescuetiller; // NOLINT(google-build-using-namespace)

constexpr int kExitUsage = 2;

int
Fail(const std::string& aText, int aCode)
{
  std::cerr << "fescuetillerctl: " << aText << std::endl;
  return aCode;
}

int
CallDaemon(const std::string& aAddress, const std::string& aPath, bool aPost)
{
  httplib::Client client("http://" + aAddress);
  auto response = aPost ? client.Post(aPath.c_str()) : client.Get(aPath);
  if (!response) {
    return Fail(aPath + " (" + aAddress +
                  "): " + httplib::to_string(response.error()),
                1);
  }
  std::cout << response->body;
  return response->status == 200 ? 0 : 1;
}

int
SetClass(TableStore& aStore, ClassTarget aTarget)
{
  auto checked = Check(aTarget);
  if (!checked) {
    return Fail(ToString(checked.error()), kExitUsage);
  }
  RowKey key = ClassKey(aTarget.service, aTarget.name);
  auto read = aStore.ReadRows({ key });
  if (!read) {
    return Fail(ToString(read.error()), 1);
  }
  Transaction change;
  change.conditions.push_back({ key, 0 });
  if (!read->rows.empty()) {
    change.conditions[0].version = read->rows[0].version;
    aTarget.revision = ParseClassTarget(read->rows[0])->revision;
  }
  ++aTarget.revision;
  change.changes.push_back(ToRow(aTarget));
  auto written = aStore.Transact(change);
  if (!written) {
    return Fail(ToString(written.error()), 1);
  }
  return written->committed ? 0 : Fail("another operator was first", 1);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  ClassTarget target;
  int64_t latencyMs = 0;
  options::options_description description(
    "fescuetillerctl, the operators' tool.\n"
    "Usage: fescuetillerctl COMMAND [options]\n"
    "Commands: class-set, status, drain, undrain, metrics");
  auto add = description.add_options();
  add("help,h", "print this text");
  add("command", options::value<std::string>(), "what to do");
  add("platform", options::value<std::string>(), "address of the platform");
  add("daemon", options::value<std::string>(), "a daemon's operator address");
  add("service", options::value(&target.service), "service of the class");
  add("class", options::value(&target.name), "name of the class");
  add("latency-ms", options::value(&latencyMs), "answer time to stay under");
  add("percentile", options::value(&target.percentile), "for the answer time");
  add("share", options::value(&target.share), "share that must get through");
  add("idempotent", options::bool_switch(&target.idempotent), "may run twice");
  options::positional_options_description positions;
  positions.add("command", 1);
  options::variables_map values;
  try {
    options::store(options::command_line_parser(aCount, aArguments)
                     .options(description)
                     .positional(positions)
                     .run(),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    return Fail(error.what(), kExitUsage);
  }
  if (values.count("help") != 0) {
    std::cout << description << std::endl;
    return 0;
  }
  if (values.count("command") == 0) {
    return Fail("no command; see --help", kExitUsage);
  }
  std::string command = values["command"].as<std::string>();
  if (command == "class-set") {
    if (values.count("platform") == 0) {
      return Fail("--platform is missing", kExitUsage);
    }
    target.latency = std::chrono::milliseconds(latencyMs);
    HttpTableStore store(values["platform"].as<std::string>(),
                         std::chrono::seconds(2));
    return SetClass(store, target);
  }
  std::map<std::string, std::pair<std::string, bool>> calls = {
    { "status", { "/v1/status", false } },
    { "metrics", { "/metrics", false } },
    { "drain", { "/v1/drain", true } },
    { "undrain", { "/v1/undrain", true } },
  };
  auto call = calls.find(command);
  if (call == calls.end()) {
    return Fail("unknown command " + command + "; see --help", kExitUsage);
  }
  if (values.count("daemon") == 0) {
    return Fail("--daemon is missing", kExitUsage);
  }
  return CallDaemon(values["daemon"].as<std::string>(),
                    call->second.first,
                    call->second.second);
}
