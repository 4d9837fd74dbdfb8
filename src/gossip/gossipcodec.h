#pragma once

#include <optional>

#include "gossip/messages.h"
#include "wire/wire.h"

namespace fescuetiller {

wire::Gossip
ToWire(const GossipMessage& aMessage);

/** Nothing when a digest has the wrong number of hashes. */
std::optional<GossipMessage>
FromWire(const wire::Gossip& aMessage);

} // namespace fescuetiller
