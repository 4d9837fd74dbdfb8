#include "fescuetillerctl/cluster.h"

#include <httplib.h>

namespace fescuetiller {

namespace {

ExitCode
LocateKeyCommand(Session& aSession,
                 const CommonOptions& aOptions,
                 const options::variables_map& aValues)
{
  std::string service = TextOption(aValues, "service");
  std::string key = TextOption(aValues, "key");
  if (key.empty()) {
    return Fail(aSession, ExitCode::Usage, "key locate needs SERVICE and KEY");
  }
  std::string path = httplib::append_query_params(
    "/v1/locate", { { "service", service }, { "key", key } });
  auto body = AskAnyDaemon(aSession, aOptions, path);
  if (!body) {
    return Fail(aSession, body.error());
  }
  wire::KeyLocation location;
  auto parsed = FromJson(*body, location, "daemon");
  if (!parsed) {
    return Fail(aSession, parsed.error());
  }
  if (aOptions.json) {
    aSession.out << ToJson(location) << "\n";
    return ExitCode::Ok;
  }
  aSession.out << service << " key " << key << ": partition "
               << location.partition() << ", ";
  if (location.owned()) {
    aSession.out << "owned by " << location.owner_name() << " in "
                 << location.zone() << ", epoch " << location.epoch() << "\n";
  } else {
    aSession.out << "no live owner, epoch " << location.epoch() << "\n";
  }
  return ExitCode::Ok;
}

} // namespace

Command
KeyLocateCommand()
{
  return { "key locate",
           "SERVICE KEY",
           "Shows which member owns a key, as a daemon knows it.",
           "  fescuetillerctl key locate agenda laval-2231",
           { "service", "key" },
           nullptr,
           LocateKeyCommand };
}

} // namespace fescuetiller
