#pragma once

#include <cstddef>
#include <cstdint>

namespace fescuetiller {

/** What the connections of one thread may hold. All sizes are in bytes. */
struct ConnectionBudget
{
  /** For all connections together, except for the large one. */
  size_t total = 0;
  /** In addition, only for connections that hold no more than smallBytes. */
  size_t reserve = 0;
  /** A connection that holds no more than this counts as an ordinary one. */
  size_t smallBytes = 0;
  /** A connection that holds more is the large one; there is one at a time. */
  size_t connectionBytes = 0;
  size_t addressBytes = 0;  ///< For the connections of one client address.
  size_t listenerBytes = 0; ///< For those of one listening address.
  size_t largeBytes = 0;    ///< For the large connection.
  size_t connections = 0;   ///< Number of connections.
  /** Number of connections that have sent no request or a part of one. */
  size_t unfinished = 0;
};

/** Budgets of the two threads of a daemon. They are separate, so that no thread
 * waits for the other and clients cannot use up what heartbeats need. */
struct NodeBudgets
{
  ConnectionBudget traffic;
  ConnectionBudget control;
};

/**
 * Derives the budgets from the settings.
 * @param aMegabytes Memory of the machine for the process, in MiB; 0: not
 * stated.
 * @param aDescriptors Files and sockets that the process may open; 0: not
 * stated. */
NodeBudgets
MakeNodeBudgets(uint32_t aMegabytes, uint32_t aDescriptors);

} // namespace fescuetiller
