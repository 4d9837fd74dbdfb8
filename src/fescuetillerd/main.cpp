#include <csignal>
#include <iostream>

#include <boost/program_options.hpp>
#include <glog/logging.h>
#include <google/protobuf/stubs/logging.h>

#include "fescuetillerd/daemon.h"

namespace {

namespace options = boost::program_options;

constexpr int kExitUsage = 2;

int
Fail(const std::string& aText, int aCode)
{
  std::cerr << "fescuetillerd: " << aText << std::endl;
  return aCode;
}

/** Blocks SIGINT and SIGTERM in every thread, to be taken by sigwait. */
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
  return signals;
}

int
Serve(const fescuetiller::Settings& aSettings)
{
  sigset_t signals = BlockStopSignals();
  fescuetiller::Daemon daemon(aSettings);
  auto started = daemon.Start();
  if (!started) {
    // Threads of a half-started daemon hold nothing worth an orderly end.
    Fail(fescuetiller::ToString(started.error()), 1);
    std::_Exit(1);
  }
  LOG(INFO) << "serving as " << aSettings.name;
  int received = 0;
  sigwait(&signals, &received);
  LOG(INFO) << "stopping";
  auto stopped = daemon.Stop();
  if (!stopped) {
    return Fail(fescuetiller::ToString(stopped.error()), 1);
  }
  LOG(INFO) << "stopped";
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  options::options_description description(
    "fescuetillerd, the daemon that runs "
    "beside each backend server.\n"
    "Usage: fescuetillerd --config FILE");
  auto add = description.add_options();
  add("help,h", "print this text");
  add("config,c", options::value<std::string>(), "settings file (INI)");
  add("check", "check the settings file and exit");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
  } catch (const options::error& error) {
    return Fail(error.what(), kExitUsage);
  }
  if (values.count("help") != 0) {
    std::cout << description << std::endl;
    return 0;
  }
  if (values.count("config") == 0) {
    return Fail("--config FILE is missing; see --help", kExitUsage);
  }
  auto settings =
    fescuetiller::ReadSettings(values["config"].as<std::string>());
  if (!settings) {
    return Fail(fescuetiller::ToString(settings.error()), kExitUsage);
  }
  if (values.count("check") != 0) {
    return 0;
  }
  // Malformed messages are counted, not logged one by one.
  google::protobuf::SetLogHandler(nullptr);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aArguments[0]);
  return Serve(*settings);
}
