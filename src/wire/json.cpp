#include "wire/json.h"

#include <google/protobuf/util/json_util.h>

namespace fescuetiller {

std::string
ToJson(const google::protobuf::Message& aMessage)
{
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  auto status =
    google::protobuf::util::MessageToJsonString(aMessage, &text, options);
  return status.ok() ? text : std::string();
}

Result<void>
FromJson(const std::string& aText,
         google::protobuf::Message& aMessage,
         const std::string& aPeer)
{
  auto status = google::protobuf::util::JsonStringToMessage(aText, &aMessage);
  if (!status.ok()) {
    return tl::unexpected(Error{ ErrorCode::Invalid,
                                 "read " + aMessage.GetTypeName(),
                                 aPeer,
                                 std::string(status.message()) });
  }
  return {};
}

} // namespace fescuetiller
