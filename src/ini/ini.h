#pragma once

/** Public header of the INI library: parses sections and entries and checks
 * their values. */

#include "ini/inifile.h"
