#include <iostream>

#include <google/protobuf/stubs/logging.h>

#include "fescuetillerctl/command.h"

int
main(int aCount, char** aArguments)
{
  // Malformed messages are reported as errors of the call that read them.
  google::protobuf::SetLogHandler(nullptr);
  auto session = fescuetiller::SystemSession(std::cout, std::cerr);
  std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(fescuetiller::RunCommand(session, arguments));
}
