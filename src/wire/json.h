#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "base/base.h"

namespace fescuetiller {

/** JSON form of a message; fields keep their .proto names. */
std::string
ToJson(const google::protobuf::Message& aMessage);

/**
 * Reads a message from JSON. Unknown fields are errors.
 * @param aPeer Where the text came from, for the error.
 */
Result<void>
FromJson(const std::string& aText,
         google::protobuf::Message& aMessage,
         const std::string& aPeer);

} // namespace fescuetiller
