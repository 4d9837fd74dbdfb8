#pragma once

/** Public header of the memory library, which accounts for the memory and the
 * descriptors that connections hold and decides who gets them. */

#include "memory/connectionaccount.h"
#include "memory/connectionbudget.h"
#include "memory/memoryreturn.h"
#include "memory/requestshares.h"
