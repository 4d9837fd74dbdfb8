#include "fescuetillerd/zonetraffic.h"

#include "fescuetillerd/dispatch.h"

namespace fescuetiller {

namespace {

constexpr uint64_t kLineEnd = 2;   ///< CR LF.
constexpr uint64_t kSeparator = 2; ///< Colon and space.

const char*
ToString(ZonePurpose aPurpose)
{
  switch (aPurpose) {
    case ZonePurpose::Request:
      return "request";
    case ZonePurpose::Call:
      return "call";
    case ZonePurpose::Retry:
      return "retry";
  }
  return "unknown";
}

const char*
ToString(ZonePart aPart)
{
  switch (aPart) {
    case ZonePart::RequestHead:
      return "request-head";
    case ZonePart::RequestBody:
      return "request-body";
    case ZonePart::RequestFields:
      return "request-fields";
    case ZonePart::ResponseHead:
      return "response-head";
    case ZonePart::ResponseBody:
      return "response-body";
    case ZonePart::ResponseFields:
      return "response-fields";
    case ZonePart::Refusal:
      return "refusal";
  }
  return "unknown";
}

const char*
ToString(PeerMessage::Kind aKind)
{
  switch (aKind) {
    case PeerMessage::Kind::Renew:
      return "renewal";
    case PeerMessage::Kind::Acknowledge:
      return "acknowledgement";
    case PeerMessage::Kind::RequestConsent:
      return "consent-request";
    case PeerMessage::Kind::Consent:
      return "consent";
    case PeerMessage::Kind::Rows:
      return "rows";
    case PeerMessage::Kind::Probe:
      return "probe";
    case PeerMessage::Kind::ProbeReply:
      return "probe-reply";
    case PeerMessage::Kind::Confirmation:
      return "configuration-age";
    case PeerMessage::Kind::Crashes:
      return "crashes";
  }
  return "unknown";
}

HeadSize
SizeOfFields(const http::fields& aFields)
{
  HeadSize size;
  for (const auto& field : aFields) {
    uint64_t bytes =
      field.name_string().size() + kSeparator + field.value().size() + kLineEnd;
    size.total += bytes;
    if (IsDaemonField(
          { field.name_string().data(), field.name_string().size() })) {
      size.daemonFields += bytes;
    }
  }
  size.total += kLineEnd; // The empty line after the fields.
  return size;
}

} // namespace

HeadSize
SizeOf(const http::request_header<>& aHead)
{
  constexpr uint64_t kVersion = 10; // Two spaces and "HTTP/1.1".
  auto size = SizeOfFields(aHead);
  size.total +=
    aHead.method_string().size() + aHead.target().size() + kVersion + kLineEnd;
  return size;
}

HeadSize
SizeOf(const http::response_header<>& aHead)
{
  constexpr uint64_t kVersionAndStatus = 13; // "HTTP/1.1 200 ".
  auto size = SizeOfFields(aHead);
  size.total += kVersionAndStatus + aHead.reason().size() + kLineEnd;
  return size;
}

void
ZoneTraffic::Count(const std::string& aZone, ZonePurpose aPurpose, Parts aParts)
{
  auto& totals = this->zones[aZone].requests[static_cast<size_t>(aPurpose)];
  for (const auto& [part, bytes] : aParts) {
    auto& total = totals[static_cast<size_t>(part)];
    total.messages += bytes > 0 ? 1 : 0;
    total.bytes += bytes;
  }
}

void
ZoneTraffic::CountDatagram(const std::string& aZone,
                           PeerMessage::Kind aKind,
                           uint64_t aBytes)
{
  auto& total = this->zones[aZone].datagrams[static_cast<size_t>(aKind)];
  ++total.messages;
  total.bytes += aBytes;
}

std::optional<std::string>
ZoneByAddress::Find(const ClusterView& aView, const std::string& aAddress)
{
  if (this->changes != aView.ChangeCount()) {
    this->changes = aView.ChangeCount();
    this->zones.clear();
    for (const auto& [id, member] : aView.AllMembers()) {
      this->zones[member.record.udpAddress] = member.record.zone;
    }
  }
  auto found = this->zones.find(aAddress);
  if (found == this->zones.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<ZoneTraffic::Entry>
ZoneTraffic::Entries() const
{
  std::vector<Entry> entries;
  for (const auto& [name, zone] : this->zones) {
    for (size_t purpose = 0; purpose < kZonePurposes; ++purpose) {
      for (size_t part = 0; part < kZoneParts; ++part) {
        const auto& total = zone.requests[purpose][part];
        if (total.messages > 0) {
          entries.push_back({ name,
                              ToString(static_cast<ZonePurpose>(purpose)),
                              ToString(static_cast<ZonePart>(part)),
                              total });
        }
      }
    }
    for (size_t kind = 0; kind < kKinds; ++kind) {
      const auto& total = zone.datagrams[kind];
      if (total.messages > 0) {
        entries.push_back({ name,
                            "datagram",
                            ToString(static_cast<PeerMessage::Kind>(kind)),
                            total });
      }
    }
  }
  return entries;
}

} // namespace fescuetiller
