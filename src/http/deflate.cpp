#include "http/deflate.h"

#include <algorithm>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace fescuetiller {

namespace {

namespace zlib = boost::beast::zlib;

constexpr const char* kOperation = "decompress";
constexpr size_t kInitialBytes = 16 * 1024;

} // namespace

std::string
Deflate(const std::string& aBytes)
{
  zlib::deflate_stream stream;
  std::string compressed(stream.upper_bound(aBytes.size()), '\0');
  zlib::z_params state;
  state.next_in = aBytes.data();
  state.avail_in = aBytes.size();
  state.next_out = compressed.data();
  state.avail_out = compressed.size();
  boost::system::error_code ignored; // The output has room for everything.
  stream.write(state, zlib::Flush::finish, ignored);
  compressed.resize(state.total_out);
  return compressed;
}

Result<std::string>
Inflate(const std::string& aBytes, size_t aMaxBytes)
{
  zlib::inflate_stream stream;
  std::string bytes(std::min(kInitialBytes, aMaxBytes), '\0');
  zlib::z_params state;
  state.next_in = aBytes.data();
  state.avail_in = aBytes.size();
  boost::system::error_code error;
  while (!error) {
    if (state.total_out == bytes.size()) {
      if (bytes.size() == aMaxBytes) {
        return tl::unexpected(
          Error{ ErrorCode::Invalid,
                 kOperation,
                 "peer",
                 "result exceeds " + std::to_string(aMaxBytes) + " bytes" });
      }
      bytes.resize(std::min(bytes.size() * 2, aMaxBytes));
    }
    state.next_out = bytes.data() + state.total_out;
    state.avail_out = bytes.size() - state.total_out;
    stream.write(state, zlib::Flush::sync, error);
  }
  if (error != zlib::error::end_of_stream) {
    return tl::unexpected(
      Error{ ErrorCode::Invalid, kOperation, "peer", error.message() });
  }
  bytes.resize(state.total_out);
  return bytes;
}

} // namespace fescuetiller
