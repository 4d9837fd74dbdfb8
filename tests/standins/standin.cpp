#include "standins/standin.h"

#include <cstdio>
#include <fstream>
#include <iostream>

namespace fescuetiller {

namespace {

namespace options = boost::program_options;

sigset_t
StopSignalSet()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

} // namespace

options::variables_map
ParseOptions(int aCount,
             char** aArguments,
             const options::options_description& aDescription)
{
  options::variables_map values;
  try {
    options::store(
      options::parse_command_line(aCount, aArguments, aDescription), values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << aArguments[0] << ": " << error.what() << std::endl;
    std::exit(2);
  }
  if (values.count("help") != 0) {
    std::cout << aDescription << std::endl;
    std::exit(0);
  }
  return values;
}

void
WritePortFile(const std::string& aFile, uint16_t aPort)
{
  std::string temporary = aFile + ".new";
  std::ofstream(temporary) << "port=" << aPort << "\n";
  std::rename(temporary.c_str(), aFile.c_str());
}

void
BlockStopSignals()
{
  sigset_t signals = StopSignalSet();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void
WaitForStopSignal()
{
  sigset_t signals = StopSignalSet();
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace fescuetiller
