#pragma once

#include <cstdint>

namespace fescuetiller {

/**
 * Token bucket that limits retries to a ratio of the requests. Each request
 * adds a fraction of a token and each retry consumes one token. Not
 * thread-safe.
 */
class RetryBudget
{
public:
  /** @param aRatio Tokens added by each request, 0 to 1.
   * @param aMaxTokens Capacity of the bucket, which is full at the start. */
  RetryBudget(double aRatio, double aMaxTokens);

  void SetRatio(double aRatio);

  /** Adds the tokens of one request. */
  void CountRequest();

  /** Consumes a token. @return Whether there was one, so that the request may
   * be retried. */
  bool TryAcquireRetry();

private:
  double ratio;
  double maxTokens;
  double tokens;
};

} // namespace fescuetiller
