#include "standins/memorytablestore.h"

namespace fescuetiller {

Result<TransactionResult>
MemoryTableStore::Transact(const Transaction& aChange)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  TransactionResult result;
  for (const auto& condition : aChange.conditions) {
    auto found = this->rows.find(condition.key);
    bool exists = found != this->rows.end() && !found->second.deleted;
    RowVersion version = exists ? found->second.version : 0;
    if (version != condition.version) {
      Row current{ condition.key, "", 0, true };
      result.conflicts.push_back(exists ? found->second : current);
    }
  }
  if (!result.conflicts.empty()) {
    return result;
  }
  ++this->revision;
  for (const auto& change : aChange.changes) {
    Row row = change;
    row.version = this->revision;
    this->rows[row.key] = row;
  }
  result.committed = true;
  result.revision = this->revision;
  return result;
}

Result<ReadResult>
MemoryTableStore::ReadRows(const std::vector<RowKey>& aKeys)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  ReadResult result;
  result.revision = this->revision;
  for (const auto& key : aKeys) {
    auto found = this->rows.find(key);
    if (found != this->rows.end() && !found->second.deleted) {
      result.rows.push_back(found->second);
    }
  }
  return result;
}

Result<ReadResult>
MemoryTableStore::ReadChanges(const std::string& aTable, RowVersion aSince)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  ReadResult result;
  result.revision = this->revision;
  for (const auto& [key, row] : this->rows) {
    if (key.table == aTable && row.version > aSince) {
      result.rows.push_back(row);
    }
  }
  return result;
}

} // namespace fescuetiller
