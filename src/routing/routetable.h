#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "model/model.h"

namespace fescuetiller {

/** Routes of one configuration by host and path prefix. Immutable. */
class RouteTable
{
public:
  explicit RouteTable(std::shared_ptr<const Configuration> aConfiguration);

  /** The route with the longest prefix that begins the path; nullptr: none.
   * @param aHost Value of the Host field; a port is ignored.
   * @param aTarget Path and query of the request. */
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

  const Configuration& Config() const;

private:
  using Prefixes = std::unordered_map<std::string, const Route*>;

  std::shared_ptr<const Configuration> configuration;
  std::unordered_map<std::string, Prefixes> hosts;
};

} // namespace fescuetiller
