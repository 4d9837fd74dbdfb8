#pragma once

/** Public header of the explain library: the story of one request, from the
 * daemons' logs. */

#include "explain/story.h"
