#pragma once

#include "fescuetillerd/nodesettings.h"
#include "memory/memory.h"

namespace fescuetiller {

/** Budgets of a daemon's threads by its settings. It opens no more files and
 * sockets than the system allows, whatever the settings state. */
NodeBudgets
BudgetsOf(const NodeSettings& aSettings);

} // namespace fescuetiller
