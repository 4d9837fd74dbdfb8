#include "tableservice/rowcodec.h"

namespace fescuetiller {

Row
FromWire(const wire::Row& aRow)
{
  return {
    { aRow.table(), aRow.key() }, aRow.value(), aRow.version(), aRow.deleted()
  };
}

wire::Row
ToWire(const Row& aRow)
{
  wire::Row row;
  row.set_table(aRow.key.table);
  row.set_key(aRow.key.key);
  row.set_value(aRow.value);
  row.set_version(aRow.version);
  row.set_deleted(aRow.deleted);
  return row;
}

Transaction
FromWire(const wire::TransactRequest& aRequest)
{
  Transaction transaction;
  for (const auto& condition : aRequest.conditions()) {
    transaction.conditions.push_back(
      { { condition.table(), condition.key() }, condition.version() });
  }
  for (const auto& change : aRequest.changes()) {
    transaction.changes.push_back(FromWire(change));
  }
  return transaction;
}

wire::TransactRequest
ToWire(const Transaction& aTransaction)
{
  wire::TransactRequest request;
  for (const auto& condition : aTransaction.conditions) {
    auto* added = request.add_conditions();
    added->set_table(condition.key.table);
    added->set_key(condition.key.key);
    added->set_version(condition.version);
  }
  for (const auto& change : aTransaction.changes) {
    *request.add_changes() = ToWire(change);
  }
  return request;
}

} // namespace fescuetiller
