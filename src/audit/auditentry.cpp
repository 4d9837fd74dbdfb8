#include "audit/auditentry.h"

#include <nlohmann/json.hpp>

#include "model/rowvalue.h"

namespace fescuetiller {

using nlohmann::json;

bool
operator==(const AuditEntry& aLeft, const AuditEntry& aRight)
{
  return ToRow(aLeft) == ToRow(aRight);
}

bool
operator==(const AuditHead& aLeft, const AuditHead& aRight)
{
  return aLeft.version == aRight.version && ToRow(aLeft) == ToRow(aRight);
}

StoreKey
AuditKey(const std::string& aService, uint64_t aSequence)
{
  return { kAuditTable,
           aService,
           "entry/" + ToHex(aSequence % kAuditEntriesKept) };
}

StoreKey
AuditHeadKey(const std::string& aService)
{
  return { kAuditTable, aService, "head" };
}

StoreRow
ToRow(const AuditEntry& aEntry)
{
  json value = { { "sequence", aEntry.sequence },
                 { "who", aEntry.who },
                 { "unix-ms", aEntry.unixMilliseconds },
                 { "from", aEntry.from },
                 { "action", aEntry.action },
                 { "subject", aEntry.subject },
                 { "before", aEntry.before },
                 { "after", aEntry.after },
                 { "outcome", aEntry.outcome },
                 { "write-id", aEntry.writeId } };
  return { AuditKey(aEntry.service, aEntry.sequence), value.dump(), 0, false };
}

StoreRow
ToRow(const AuditHead& aHead)
{
  json value = { { "next-sequence", aHead.nextSequence },
                 { "write-id", aHead.writeId } };
  return { AuditHeadKey(aHead.service), value.dump(), 0, false };
}

std::optional<AuditEntry>
ParseAuditEntry(const StoreRow& aRow)
{
  if (aRow.key.table != kAuditTable) {
    return std::nullopt;
  }
  return ParseRowValue<AuditEntry>(aRow, [&](const json& aValue) {
    AuditEntry entry;
    entry.service = aRow.key.part;
    entry.sequence = aValue.at("sequence").get<uint64_t>();
    entry.who = aValue.at("who").get<std::string>();
    entry.unixMilliseconds = aValue.at("unix-ms").get<int64_t>();
    entry.from = aValue.at("from").get<std::string>();
    entry.action = aValue.at("action").get<std::string>();
    entry.subject = aValue.at("subject").get<std::string>();
    entry.before = aValue.at("before").get<std::string>();
    entry.after = aValue.at("after").get<std::string>();
    entry.outcome = aValue.at("outcome").get<std::string>();
    entry.writeId = aValue.at("write-id").get<std::string>();
    return entry;
  });
}

std::optional<AuditHead>
ParseAuditHead(const StoreRow& aRow)
{
  if (aRow.key.table != kAuditTable) {
    return std::nullopt;
  }
  return ParseRowValue<AuditHead>(aRow, [&](const json& aValue) {
    AuditHead head;
    head.service = aRow.key.part;
    head.nextSequence = aValue.at("next-sequence").get<uint64_t>();
    head.writeId = aValue.at("write-id").get<std::string>();
    head.version = aRow.version;
    return head;
  });
}

} // namespace fescuetiller
