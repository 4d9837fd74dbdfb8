#pragma once

/** Public header of the INI library: sections, entries, checked values. */

#include "ini/inifile.h"
