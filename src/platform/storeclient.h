#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

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
  static constexpr Duration kDefaultTimeout = std::chrono::milliseconds(1000);

  StoreClient(ConnectionPool& aPool,
              const Tcp::endpoint& aAddress,
              Duration aTimeout = kDefaultTimeout);

  /** Where calls go from now on. */
  void SetAddress(const Tcp::endpoint& aAddress);

  void Transact(const StoreTransaction& aTransaction, OutcomeDone aDone);

  /** All rows of a part of a table, over as many calls as it takes. The version
   * is that of the first call. */
  void Read(const std::string& aTable,
            const std::string& aPart,
            RowsDone aDone);

  using PartRead =
    std::function<void(const std::string& aPart, const StoreRows& aRows)>;
  /** Version at which the first part was read; 0: there was none. */
  using PartsDone = std::function<void(Result<RowVersion>)>;

  /** All rows of some parts of a table, one part after the other, until one
   * cannot be read. */
  void ReadParts(const std::string& aTable,
                 std::vector<std::string> aParts,
                 PartRead aRead,
                 PartsDone aDone);

  /** The rows from one key on; one call. */
  void ReadFrom(const StoreKey& aFrom, RowsDone aDone);

  /** Changes of a table after a version, waiting for the first. */
  void Watch(const std::string& aTable,
             RowVersion aAfter,
             Duration aWait,
             RowsDone aDone);

  uint64_t calls = 0; ///< Made so far.

private:
  /** Parts of a table that are being read. */
  struct PartsRead
  {
    std::string table;
    std::vector<std::string> left;
    PartRead read;
    PartsDone done;
    RowVersion version = 0;
  };

  void ReadNextPart(const std::shared_ptr<PartsRead>& aParts);
  void Call(const StoreCall& aCall, Duration aTimeout, FetchCallback aDone);
  void ReadMore(const StoreKey& aFrom,
                std::shared_ptr<StoreRows> aRows,
                RowsDone aDone);

  ConnectionPool& pool;
  Tcp::endpoint address;
  Duration timeout;
};

} // namespace fescuetiller
