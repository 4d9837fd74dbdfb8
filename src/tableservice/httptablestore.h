#pragma once

#include <memory>
#include <string>

#include "tableservice/tablestore.h"

namespace httplib {
class Client;
}

namespace fescuetiller {

/** Table service reached over HTTP with JSON bodies. One thread at a time. */
class HttpTableStore : public TableStore
{
public:
  /** @param aAddress IP address and port. @param aTimeout Longest wait for one
   * answer. */
  HttpTableStore(const std::string& aAddress, Duration aTimeout);
  ~HttpTableStore() override;

  Result<TransactionResult> Transact(const Transaction& aChange) override;
  Result<ReadResult> ReadRows(const std::vector<RowKey>& aKeys) override;
  Result<ReadResult> ReadChanges(const std::string& aTable,
                                 RowVersion aSince) override;

private:
  Result<std::string> Post(const std::string& aPath, const std::string& aBody);

  std::string address;
  std::unique_ptr<httplib::Client> client;
};

} // namespace fescuetiller
