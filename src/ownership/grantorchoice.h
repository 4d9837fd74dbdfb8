#pragma once

#include <set>

#include "ownership/clustertable.h"

namespace fescuetiller {

/**
 * The peer from which a member should renew its lease, or kNoIncarnation when
 * there is none. In order: not silent; in another availability zone, so that
 * the loss of one zone never takes a member with its grantor; far from
 * depending on the member itself, so that a few simultaneous losses leave
 * somebody who may take over; then spread by hash.
 */
Incarnation
ChooseGrantor(const Member& aSelf,
              const ClusterTable& aTable,
              const std::set<Incarnation>& aSilent);

/**
 * Whether a member's grantor is in its own zone, or each grants the other, and
 * a better one is known.
 */
bool
HasPoorGrantor(const Member& aSelf, const ClusterTable& aTable);

} // namespace fescuetiller
