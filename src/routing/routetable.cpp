#include "routing/routetable.h"

#include <boost/algorithm/string/case_conv.hpp>

namespace fescuetiller {

namespace {

/** The host name without port, in lower case. */
std::string
HostName(std::string_view aHost)
{
  return boost::to_lower_copy(std::string(aHost.substr(0, aHost.find(':'))));
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const Configuration> aConfiguration)
  : configuration(std::move(aConfiguration))
{
  for (const auto& [name, route] : this->configuration->routes) {
    this->hosts[HostName(route.host)][route.prefix] = &route;
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  auto host = this->hosts.find(HostName(aHost));
  if (host == this->hosts.end()) {
    return nullptr;
  }
  auto path = aTarget.substr(0, aTarget.find('?'));
  // Every prefix ends with a slash, so only the parts of the path that end with
  // a slash can match. The longest is looked up first.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    auto found = host->second.find(std::string(path.substr(0, slash + 1)));
    if (found != host->second.end()) {
      return found->second;
    }
  }
  return nullptr;
}

const Configuration&
RouteTable::Config() const
{
  return *this->configuration;
}

} // namespace fescuetiller
