#pragma once

#include <array>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/base.h"
#include "cluster/cluster.h"
#include "http/messages.h"

namespace fescuetiller {

/** Why a request is sent to another zone. */
enum class ZonePurpose
{
  Request, ///< First attempt of a request of a client.
  Call,    ///< First attempt of a call that a running request makes.
  Retry,   ///< Further attempt of either.
};

constexpr size_t kZonePurposes = static_cast<size_t>(ZonePurpose::Retry) + 1;

/** Part of the messages of a request to another zone. */
enum class ZonePart
{
  RequestHead,    ///< Without the daemons' own header fields.
  RequestBody,    ///< Of the client.
  RequestFields,  ///< The daemons' own header fields in requests.
  ResponseHead,   ///< Without the daemons' own header fields.
  ResponseBody,   ///< Of the backend server.
  ResponseFields, ///< The daemons' own header fields in responses.
  Refusal,        ///< Responses of daemons that did not pass on a server's.
};

constexpr size_t kZoneParts = static_cast<size_t>(ZonePart::Refusal) + 1;

/** Size of a header on a connection, in bytes. */
struct HeadSize
{
  uint64_t total = 0;
  /** Of that, header fields that only daemons read. */
  uint64_t daemonFields = 0;
};

HeadSize
SizeOf(const http::request_header<>& aHead);

HeadSize
SizeOf(const http::response_header<>& aHead);

/**
 * Bytes between this zone and others: of the requests that this daemon sends
 * there, of their responses, and of the datagrams that it sends. Responses are
 * counted where they are received, since that daemon knows the zone that they
 * come from. Headers of TCP, UDP and IP are not included. Not thread-safe.
 */
class ZoneTraffic
{
public:
  struct Total
  {
    uint64_t messages = 0;
    uint64_t bytes = 0;
  };
  /** A total and what it is of. */
  struct Entry
  {
    std::string zone;
    std::string purpose;
    std::string part;
    Total total;
  };

  using Parts = std::initializer_list<std::pair<ZonePart, uint64_t>>;

  /** Counts parts of the messages of one request. Those of no bytes are not
   * counted. */
  void Count(const std::string& aZone, ZonePurpose aPurpose, Parts aParts);

  void CountDatagram(const std::string& aZone,
                     PeerMessage::Kind aKind,
                     uint64_t aBytes);

  /** All totals that are not zero, by zone. */
  std::vector<Entry> Entries() const;

private:
  static constexpr size_t kKinds =
    static_cast<size_t>(PeerMessage::Kind::Crashes) + 1;

  struct Zone
  {
    std::array<std::array<Total, kZoneParts>, kZonePurposes> requests;
    std::array<Total, kKinds> datagrams;
  };

  std::map<std::string, Zone> zones;
};

/** Zones of members by the address at which they get datagrams. */
class ZoneByAddress
{
public:
  /** @return Nothing if no member has that address. */
  std::optional<std::string> Find(const ClusterView& aView,
                                  const std::string& aAddress);

private:
  std::map<std::string, std::string> zones;
  uint64_t changes = 0; ///< Of the view, when the zones were read.
};

} // namespace fescuetiller
