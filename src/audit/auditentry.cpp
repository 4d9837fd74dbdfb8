#include "audit/auditentry.h"

namespace fescuetiller {

bool
operator==(const AuditEntry& aLeft, const AuditEntry& aRight)
{
  return ToRow(aLeft).value == ToRow(aRight).value;
}

bool
operator==(const AuditHead& aLeft, const AuditHead& aRight)
{
  return aLeft.version == aRight.version &&
         ToRow(aLeft).value == ToRow(aRight).value;
}

RowKey
AuditKey(uint64_t aSequence)
{
  return { kAuditTable, ToHex(aSequence % kAuditEntriesKept) };
}

RowKey
AuditHeadKey()
{
  return { kAuditTable, "head" };
}

wire::AuditRecord
ToWire(const AuditEntry& aEntry)
{
  wire::AuditRecord record;
  record.set_sequence(aEntry.sequence);
  record.set_who(aEntry.who);
  record.set_unix_ms(aEntry.unixMilliseconds);
  record.set_from(aEntry.from);
  record.set_action(aEntry.action);
  record.set_subject(aEntry.subject);
  record.set_before(aEntry.before);
  record.set_after(aEntry.after);
  record.set_outcome(aEntry.outcome);
  record.set_write_id(aEntry.writeId);
  return record;
}

Row
ToRow(const AuditEntry& aEntry)
{
  return {
    AuditKey(aEntry.sequence), ToWire(aEntry).SerializeAsString(), 0, false
  };
}

Row
ToRow(const AuditHead& aHead)
{
  wire::AuditHead record;
  record.set_next_sequence(aHead.nextSequence);
  record.set_write_id(aHead.writeId);
  return { AuditHeadKey(), record.SerializeAsString(), aHead.version, false };
}

std::optional<AuditEntry>
ParseAuditEntry(const Row& aRow)
{
  wire::AuditRecord record;
  if (aRow.deleted || !record.ParseFromString(aRow.value) ||
      record.write_id().empty()) {
    return std::nullopt;
  }
  AuditEntry entry;
  entry.sequence = record.sequence();
  entry.who = record.who();
  entry.unixMilliseconds = record.unix_ms();
  entry.from = record.from();
  entry.action = record.action();
  entry.subject = record.subject();
  entry.before = record.before();
  entry.after = record.after();
  entry.outcome = record.outcome();
  entry.writeId = record.write_id();
  return entry;
}

std::optional<AuditHead>
ParseAuditHead(const Row& aRow)
{
  wire::AuditHead record;
  if (aRow.deleted || !record.ParseFromString(aRow.value)) {
    return std::nullopt;
  }
  AuditHead head;
  head.nextSequence = record.next_sequence();
  head.writeId = record.write_id();
  head.version = aRow.version;
  return head;
}

} // namespace fescuetiller
