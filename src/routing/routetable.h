#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "model/model.h"

namespace fescuetiller {

/** Index of the routes of a configuration by host and path prefix. Immutable.
 */
class RouteTable
{
public:
  explicit RouteTable(std::shared_ptr<const Configuration> aConfiguration);

  /** Returns the route of the host with the longest prefix of the path; nullptr
   * if none matches.
   * @param aHost Value of the Host header; a port is ignored.
   * @param aTarget Request target: path and query. */
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

  const Configuration& Config() const;

private:
  using Prefixes = std::unordered_map<std::string, const Route*>;

  std::shared_ptr<const Configuration> configuration;
  std::unordered_map<std::string, Prefixes> hosts;
};

} // namespace fescuetiller
