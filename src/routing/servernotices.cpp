#include "routing/servernotices.h"

#include <algorithm>

namespace fescuetiller {

namespace {

/** How long an announcement is kept after it was last reported: longer than a
 * daemon takes to restart and a server to shut down. */
constexpr Duration kRetention = std::chrono::seconds(60);

} // namespace

void
ServerNotices::OnResponse(Time aNow,
                          const std::string& aAddress,
                          const std::optional<ServerNotice>& aNotice)
{
  auto found = this->entries.find(aAddress);
  if (!aNotice) {
    if (found != this->entries.end()) {
      found->second.requestLimit.reset();
    }
    return;
  }
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    entry = aNow - entry->second.reportedAt > kRetention
              ? this->entries.erase(entry)
              : std::next(entry);
  }
  auto& entry = this->entries[aAddress];
  if (entry.server != aNotice->server) {
    entry = Entry();
    entry.server = aNotice->server;
  }
  entry.requestLimit = aNotice->requestLimit;
  if (aNotice->leavingFor) {
    Time since = aNow - *aNotice->leavingFor;
    entry.leavingSince = std::min(entry.leavingSince.value_or(since), since);
  }
  entry.reportedAt = aNow;
}

std::optional<ServerNotice>
ServerNotices::Find(Time aNow, const std::string& aAddress) const
{
  auto found = this->entries.find(aAddress);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  const auto& entry = found->second;
  ServerNotice notice{ entry.server, entry.requestLimit, std::nullopt };
  if (entry.leavingSince) {
    notice.leavingFor = aNow - *entry.leavingSince;
  }
  if (!notice.requestLimit && !notice.leavingFor) {
    return std::nullopt;
  }
  return notice;
}

} // namespace fescuetiller
