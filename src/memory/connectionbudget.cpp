#include "memory/connectionbudget.h"

#include <algorithm>

namespace fescuetiller {

namespace {

constexpr size_t kMebibyte = 1024 * 1024;
/** Memory of the smallest machines in use. */
constexpr size_t kDefaultMegabytes = 160;
/** Descriptors of the smallest machines in use. */
constexpr size_t kDefaultDescriptors = 4100;
/** For files, listening sockets, and connections to the store. */
constexpr size_t kOtherDescriptors = 200;
/** What the daemon needs without any connection, 7 MiB when idle, and room for
 * the allocator and for threads. */
constexpr size_t kOwnBytes = 28 * kMebibyte;
/** The budget is this part of the memory. It counts what connections hold, but
 * not the copies that exist while a buffer grows, nor the fragmentation. */
constexpr size_t kTotalDivisor = 8;
constexpr size_t kReserveDivisor = 4; ///< Of the budget, on top of it.
/** Parts of the budget. */
constexpr size_t kConnectionDivisor = 8;
constexpr size_t kAddressDivisor = 2;
constexpr size_t kControlDivisor = 4;
/** Most requests of the deployments in use have bodies of 4 kB. */
constexpr size_t kSmallBytes = 32 * 1024;
constexpr size_t kControlSmallBytes = 16 * 1024;

ConnectionBudget
MakeBudget(size_t aTotal, size_t aSmallBytes, size_t aConnections)
{
  ConnectionBudget budget;
  budget.total = aTotal;
  budget.reserve = aTotal / kReserveDivisor;
  budget.smallBytes = aSmallBytes;
  budget.connectionBytes = aTotal / kConnectionDivisor;
  budget.addressBytes = aTotal / kAddressDivisor;
  budget.listenerBytes = aTotal - aTotal / kReserveDivisor;
  budget.connections = aConnections;
  budget.unfinished = aConnections / 2;
  return budget;
}

} // namespace

NodeBudgets
MakeNodeBudgets(uint32_t aMegabytes, uint32_t aDescriptors)
{
  size_t memory =
    (aMegabytes == 0 ? kDefaultMegabytes : aMegabytes) * kMebibyte;
  size_t descriptors = aDescriptors == 0 ? kDefaultDescriptors : aDescriptors;
  // As many again are left for connections to servers and other daemons.
  size_t connections =
    (descriptors - std::min(descriptors / 2, kOtherDescriptors)) / 2;
  NodeBudgets budgets;
  budgets.traffic =
    MakeBudget(memory / kTotalDivisor, kSmallBytes, connections * 7 / 8);
  budgets.traffic.largeBytes =
    std::max(memory - std::min(memory, kOwnBytes), budgets.traffic.total);
  budgets.control = MakeBudget(budgets.traffic.total / kControlDivisor,
                               kControlSmallBytes,
                               connections / 8);
  // A heartbeat of 1 MiB, the largest one that is read, fits once.
  budgets.control.largeBytes =
    std::max(budgets.control.connectionBytes, 2 * kMebibyte);
  return budgets;
}

} // namespace fescuetiller
