#include <cstdlib>
#include <iostream>

#include <malloc.h>

#include <boost/program_options.hpp>

#include "fescuetillerd/nodeprocess.h"

namespace {

namespace options = boost::program_options;

constexpr int kUsageError = 2;
/** Blocks from this size on are returned to the system as soon as they are
 * free. Unless it is set, the threshold rises with the sizes of freed blocks.
 */
constexpr int kMappedBlockBytes = 256 * 1024;
/** Free memory at the end of the heap that is kept. */
constexpr int kKeptHeapBytes = 1024 * 1024;

/** Returns the path of the settings file from the command line or from the
 * environment; empty without any. */
std::string
GetSettingsPath(const options::variables_map& aValues)
{
  if (aValues.count("settings") > 0) {
    return aValues["settings"].as<std::string>();
  }
  const char* path =
    std::getenv(aValues["settings-from"].as<std::string>().c_str());
  return path == nullptr ? "" : path;
}

int
RunNode(const std::string& aPath, bool aCheckOnly)
{
  auto settings = fescuetiller::ReadNodeSettings(aPath);
  if (!settings) {
    std::cerr << settings.error() << std::endl;
    return kUsageError;
  }
  if (aCheckOnly) {
    std::cout << "settings are valid" << std::endl;
    return 0;
  }
  fescuetiller::NodeProcess process(
    *settings, [aPath] { return fescuetiller::ReadNodeSettings(aPath); });
  auto result = process.Run();
  if (!result) {
    std::cerr << result.error() << std::endl;
    return 1;
  }
  return 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
  ::mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes);
  options::options_description description(
    "Routes requests to servers that own keys.");
  auto add = description.add_options();
  add("help,h", "print this text");
  add("settings", options::value<std::string>(), "settings file (INI)");
  add("settings-from",
      options::value<std::string>()->default_value("FESCUETILLER_SETTINGS"),
      "environment variable that names the settings file");
  add("check", "only check the settings");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(aCount, aArguments, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << std::endl;
    return kUsageError;
  }
  if (values.count("help") > 0) {
    std::cout << description << std::endl;
    return 0;
  }
  auto path = GetSettingsPath(values);
  if (path.empty()) {
    std::cerr << "no settings file; see --help" << std::endl;
    return kUsageError;
  }
  return RunNode(path, values.count("check") > 0);
}
