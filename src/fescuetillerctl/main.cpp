#include <iostream>

#include "fescuetillerctl/command.h"

int
main(int aCount, char** aArguments)
{
  auto session = fescuetiller::SystemSession(std::cout, std::cerr);
  std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(fescuetiller::RunCommand(session, arguments));
}
