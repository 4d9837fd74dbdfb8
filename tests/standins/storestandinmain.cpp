#include <iostream>

#include "standins/standin.h"
#include "standins/storestandin.h"

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  options::options_description description("Stand-in of the platform's store.");
  auto add = description.add_options();
  add("help,h", "print this text");
  add("port", options::value<uint16_t>()->default_value(0), "0: any free port");
  add("ports-file",
      options::value<std::string>()->required(),
      "where the port is written");
  auto values = fescuetiller::ParseOptions(aCount, aArguments, description);
  fescuetiller::asio::io_context context(1);
  fescuetiller::StoreStandIn store(context);
  auto listening = store.Listen(values["port"].as<uint16_t>());
  if (!listening) {
    std::cerr << listening.error() << std::endl;
    return 1;
  }
  fescuetiller::WritePortFile(values["ports-file"].as<std::string>(),
                              store.Port());
  fescuetiller::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](auto, int) { context.stop(); });
  context.run();
  return 0;
}
