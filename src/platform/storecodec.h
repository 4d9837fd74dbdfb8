#pragma once

#include <optional>
#include <string>

#include "model/model.h"

namespace fescuetiller {

/** Most conditions and changes of one transaction. */
constexpr size_t kMaxTransactionEntries = 100;

/** Most rows of one response to a read. */
constexpr size_t kMaxRowsPerRead = 500;

/** Method, path and body of an HTTP request to the store. */
struct StoreRequest
{
  std::string method;
  std::string target;
  std::string body;
};

StoreRequest
EncodeTransaction(const StoreTransaction& aTransaction);

/** Reads the rows of a partition in ascending order, from a key onwards. */
StoreRequest
EncodeReadRequest(const std::string& aTable,
                  const std::string& aPart,
                  const std::string& aFrom);

/** Waits for changes of a table after a version. */
StoreRequest
EncodeWatchRequest(const std::string& aTable,
                   RowVersion aAfter,
                   Duration aWait);

/** Parses what EncodeReadRequest encodes: table, partition and first key.
 * Returns nothing for another request. */
std::optional<StoreKey>
ParseReadRequest(const std::string& aMethod, const std::string& aTarget);

/** Writes a response that ParseRows reads. */
std::string
EncodeRows(const StoreRows& aRows);

/** Parses the response to a transaction, which the store gave in an era. A
 * conflict is an outcome, not an error. Error codes: Unavailable: nothing was
 * changed; Unknown: the change may have been made or may still be made. */
Result<StoreOutcome>
ParseOutcome(unsigned aStatus, const std::string& aBody, StoreEra aEra = 0);

/** Parses the response to a read or watch, which the store gave in an era.
 * Error code Expired: the store no longer has the changes after that version.
 */
Result<StoreRows>
ParseRows(unsigned aStatus, const std::string& aBody, StoreEra aEra = 0);

/** Parses the header that states the store's era. Without it the era is 0. */
Result<StoreEra>
ParseStoreEra(const std::string& aText);

} // namespace fescuetiller
