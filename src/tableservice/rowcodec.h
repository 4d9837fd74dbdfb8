#pragma once

#include "tableservice/tablestore.h"
#include "wire/wire.h"

namespace fescuetiller {

Row
FromWire(const wire::Row& aRow);

wire::Row
ToWire(const Row& aRow);

Transaction
FromWire(const wire::TransactRequest& aRequest);

wire::TransactRequest
ToWire(const Transaction& aTransaction);

} // namespace fescuetiller
