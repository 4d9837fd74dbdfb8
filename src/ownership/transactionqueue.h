#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ownership/messages.h"

namespace fescuetiller {

/**
 * Transactions on their way to the table service. One without an answer is
 * sent again unchanged until the store answers: either it commits now, which
 * makes the earlier copy fail its conditions, or it conflicts with a row that
 * carries its own write id, which shows that the earlier copy took effect.
 */
class TransactionQueue
{
public:
  /** Called once with the final outcome. aResult.committed tells which. */
  using Done = std::function<void(Time, const TransactionResult&)>;

  explicit TransactionQueue(Duration aRetryInterval);

  /**
   * @param aWriteId Write id carried by every changed row.
   * @return Rows as they will stand once committed have version 0.
   */
  void Submit(const std::string& aWriteId, Transaction aChange, Done aDone);

  /**
   * Gives up a transaction if it is certain that it had no effect; Done is
   * then called with an uncommitted result. Otherwise it is settled as usual.
   */
  void Withdraw(Time aNow, const std::string& aWriteId);

  void Answer(Time aNow, const TransactionAnswer& aAnswer);

  void Tick(Time aNow, std::vector<Output>& aOutputs);

  bool Empty() const;

private:
  struct Pending
  {
    std::string writeId;
    Transaction transaction;
    Done done;
    bool inFlight = false;
    bool mayHaveEffect = false;
    bool withdrawing = false;
    Time notBefore;
  };

  bool TookEffect(const Pending& aPending, TransactionResult& aResult) const;

  Duration retryInterval;
  uint64_t nextId = 1;
  std::map<uint64_t, Pending> pending;
};

} // namespace fescuetiller
