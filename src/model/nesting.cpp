#include "model/nesting.h"

#include <nlohmann/json.hpp>

namespace fescuetiller {

namespace {

using nlohmann::json;

/** Ends the decoding of a value at the first level that is too deep. */
class NestingCheck : public nlohmann::json_sax<json>
{
public:
  explicit NestingCheck(size_t aMaxDepth)
    : left(aMaxDepth)
  {
  }

  // The base class requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(json::number_integer_t) override { return true; }
  bool number_unsigned(json::number_unsigned_t) override { return true; }
  bool number_float(json::number_float_t, const json::string_t&) override
  {
    return true;
  }
  bool string(json::string_t&) override { return true; }
  bool binary(json::binary_t&) override { return true; }
  bool key(json::string_t&) override { return true; }
  bool start_object(size_t) override { return this->Enter(); }
  bool end_object() override { return this->Leave(); }
  bool start_array(size_t) override { return this->Enter(); }
  bool end_array() override { return this->Leave(); }
  bool parse_error(size_t, const std::string&, const json::exception&) override
  {
    return false;
  }
  // NOLINTEND(readability-identifier-naming)

private:
  bool Enter()
  {
    if (this->left == 0) {
      return false;
    }
    --this->left;
    return true;
  }

  bool Leave()
  {
    ++this->left;
    return true;
  }

  size_t left; ///< Levels that may still be entered.
};

} // namespace

bool
IsMessagePack(const std::string& aBytes, size_t aMaxDepth)
{
  NestingCheck check(aMaxDepth);
  return json::sax_parse(aBytes, &check, json::input_format_t::msgpack);
}

} // namespace fescuetiller
