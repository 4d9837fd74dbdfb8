#pragma once

#include <csignal>
#include <cstdint>
#include <string>

#include <boost/program_options.hpp>

namespace fescuetiller {

/** Parses a stand-in's options; prints help or the error and exits. */
boost::program_options::variables_map
ParseOptions(int aCount,
             char** aArguments,
             const boost::program_options::options_description& aDescription);

/** Writes "port=N", complete once the file exists. */
void
WritePort(const std::string& aFile, uint16_t aPort);

/** Blocks until SIGTERM or SIGINT; BlockStopSignals comes first. */
void
WaitForStopSignal();

/** Called before any thread starts. */
void
BlockStopSignals();

} // namespace fescuetiller
