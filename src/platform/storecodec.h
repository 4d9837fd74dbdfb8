#pragma once

#include <optional>
#include <string>

#include "model/model.h"

namespace fescuetiller {

/** Most rows and conditions of one transaction. */
constexpr size_t kMaxTransactionEntries = 100;

/** Most rows of one answer to a read. */
constexpr size_t kMaxRowsPerRead = 500;

/** Method, path and body of a call on the store. */
struct StoreCall
{
  std::string method;
  std::string target;
  std::string body;
};

StoreCall
EncodeTransaction(const StoreTransaction& aTransaction);

/** Rows of a part in ascending order, from a key on. */
StoreCall
EncodeReadRequest(const std::string& aTable,
                  const std::string& aPart,
                  const std::string& aFrom);

/** Waits for changes of a table after a version. */
StoreCall
EncodeWatchRequest(const std::string& aTable,
                   RowVersion aAfter,
                   Duration aWait);

/** The other end of EncodeReadRequest: table, part and first key that are asked
 * for. Nothing for another call. */
std::optional<StoreKey>
ParseReadRequest(const std::string& aMethod, const std::string& aTarget);

/** The other end of ParseRows. */
std::string
EncodeRows(const StoreRows& aRows);

/** Conflict is an outcome, not an error; Unavailable: nothing was done;
 * Unknown: it may have been done or may still be. */
Result<StoreOutcome>
ParseOutcome(unsigned aStatus, const std::string& aBody);

/** Expired: the changes after that version are no longer kept. */
Result<StoreRows>
ParseRows(unsigned aStatus, const std::string& aBody);

} // namespace fescuetiller
