#pragma once

#include <csignal>
#include <cstdint>
#include <string>

#include <boost/program_options.hpp>

namespace fescuetiller {

/** Parses a stand-in's options; prints the help text or an error and exits the
 * process if needed. */
boost::program_options::variables_map
ParseOptions(int aCount,
             char** aArguments,
             const boost::program_options::options_description& aDescription);

/** Writes "port=N". The file appears with its full content, so that a reader
 * never sees a part of it. */
void
WritePortFile(const std::string& aFile, uint16_t aPort);

/** Blocks until SIGTERM or SIGINT arrives. Requires BlockStopSignals(). */
void
WaitForStopSignal();

/** Blocks SIGTERM and SIGINT and ignores SIGPIPE. Must be called before any
 * thread starts. */
void
BlockStopSignals();

} // namespace fescuetiller
