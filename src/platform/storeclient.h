#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/http.h"
#include "model/model.h"

namespace fescuetiller {

struct StoreCall;

/**
 * Calls on the platform's store over HTTP. Each call has a time limit; an error
 * of code Unknown means that a change may have been made or still may be.
 */
class StoreClient
{
public:
  using OutcomeDone = std::function<void(Result<StoreOutcome>)>;
  using RowsDone = std::function<void(Result<StoreRows>)>;

  /** Longest wait for an answer unless said otherwise: the store may be slow
   * by a factor of tens, and a silent connection must be noticed well within
   * the time in which a new configuration is to be in force. */
  static constexpr Duration kUsualTimeout = std::chrono::milliseconds(1000);

  StoreClient(ConnectionPool& aPool,
              const Tcp::endpoint& aAddress,
              Duration aTimeout = kUsualTimeout);

  /** Where calls go from now on. */
  void SetAddress(const Tcp::endpoint& aAddress);

  void Transact(const StoreTransaction& aTransaction, OutcomeDone aDone);

  /** All rows of a part of a table, over as many calls as it takes. The version
   * is that of the first call. */
  void Read(const std::string& aTable,
            const std::string& aPart,
            RowsDone aDone);

  /** The rows from one key on; one call. */
  void ReadFrom(const StoreKey& aFrom, RowsDone aDone);

  /** Changes of a table after a version, waiting for the first. */
  void Watch(const std::string& aTable,
             RowVersion aAfter,
             Duration aWait,
             RowsDone aDone);

  uint64_t calls = 0; ///< Made so far.

private:
  void Call(const StoreCall& aCall, Duration aTimeout, FetchDone aDone);
  void ReadMore(const StoreKey& aFrom,
                std::shared_ptr<StoreRows> aRows,
                RowsDone aDone);

  ConnectionPool& pool;
  Tcp::endpoint address;
  Duration timeout;
};

} // namespace fescuetiller
