#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http/http.h"
#include "model/model.h"

namespace fescuetiller {

struct StoreRequest;

/**
 * Client of the platform's store over HTTP. Each call has a timeout; an error
 * of code Unknown means that the change may have been made or may still be
 * made.
 */
class StoreClient
{
public:
  using OutcomeCallback = std::function<void(Result<StoreOutcome>)>;
  using RowsCallback = std::function<void(Result<StoreRows>)>;

  /** Default timeout of a call, until its response begins. The store may be
   * slower than usual by a factor of tens, but an unresponsive connection must
   * be detected well within the time in which a new configuration must take
   * effect. */
  static constexpr Duration kDefaultTimeout = std::chrono::milliseconds(1000);

  StoreClient(ConnectionPool& aPool,
              const Tcp::endpoint& aAddress,
              Duration aTimeout = kDefaultTimeout);

  /** Sets the address of the store for all further calls. */
  void SetAddress(const Tcp::endpoint& aAddress);

  void Transact(const StoreTransaction& aTransaction,
                OutcomeCallback aCallback);

  /** Reads all rows of one partition of a table, page by page. The version is
   * that of the first page. */
  void Read(const std::string& aTable,
            const std::string& aPart,
            RowsCallback aCallback);

  /** Reads all rows of a partition from a key on, as Read does. */
  void ReadAllFrom(const StoreKey& aFrom, RowsCallback aCallback);

  using PartCallback =
    std::function<void(const std::string& aPart, const StoreRows& aRows)>;
  /** Gets the version at which the first partition was read; 0 without any. */
  using PartsCallback = std::function<void(Result<RowVersion>)>;

  /** Reads all rows of some partitions of a table, one partition after the
   * other, and stops at the first that cannot be read. */
  void ReadParts(const std::string& aTable,
                 std::vector<std::string> aParts,
                 PartCallback aPartCallback,
                 PartsCallback aCallback);

  /** Reads one page of rows from a key onwards. */
  void ReadFrom(const StoreKey& aFrom, RowsCallback aCallback);

  /** Gets the changes of a table after a version. Waits for the first change,
   * but not longer than aWait. */
  void Watch(const std::string& aTable,
             RowVersion aAfter,
             Duration aWait,
             RowsCallback aCallback);

  /** Era of the store as far as its responses have shown it. */
  StoreEra Era() const;

  /** What a call does ("read", "watch", "check" or "change") and the table. */
  using CallKind = std::pair<std::string, std::string>;
  /** Calls made so far. */
  std::map<CallKind, uint64_t> callCounts;
  uint64_t CallCount() const;
  /** Called before the callback of the response that shows a later era. */
  std::function<void(StoreEra)> onEra;

private:
  /** State of a ReadParts call. */
  struct PartsRead
  {
    std::string table;
    std::vector<std::string> remaining; ///< Partitions that are not read yet.
    PartCallback partCallback;
    PartsCallback callback;
    RowVersion version = 0; ///< Of the first partition; 0 until it is read.
  };

  /** Updates the era from a response. A response from an earlier era is an
   * error, since what it says is no longer true. */
  Result<void> CheckEra(const HttpResponse& aResponse);
  /** Returns a callback that parses rows and passes them on. */
  FetchCallback ParsingRows(RowsCallback aCallback) const;
  void ReadNextPart(const std::shared_ptr<PartsRead>& aParts);
  void Call(const CallKind& aKind,
            const StoreRequest& aRequest,
            Duration aTimeout,
            FetchCallback aCallback);
  void ReadNextPage(const StoreKey& aFrom,
                    std::shared_ptr<StoreRows> aRows,
                    RowsCallback aCallback);

  ConnectionPool& pool;
  Tcp::endpoint address;
  Duration timeout;
  StoreEra era = 0;
};

} // namespace fescuetiller
