#pragma once

/** Public header of the gossip library: rows spread from peer to peer. */

#include "gossip/gossipcodec.h"
#include "gossip/gossipsystem.h"
#include "gossip/messages.h"
#include "gossip/rowset.h"
