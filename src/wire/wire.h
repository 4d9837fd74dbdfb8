#pragma once

/** Public header of the wire library: protobuf messages and their JSON form. */

#include "wire/generated/backend.pb.h"
#include "wire/generated/control.pb.h"
#include "wire/generated/operator.pb.h"
#include "wire/generated/peer.grpc.pb.h"
#include "wire/generated/peer.pb.h"
#include "wire/generated/platform.pb.h"
#include "wire/generated/records.pb.h"
#include "wire/json.h"
