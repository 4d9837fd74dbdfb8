#include "fescuetillerd/requestfingerprint.h"

namespace fescuetiller {

RequestFingerprint
FingerprintOf(const HttpRequest& aRequest, std::string_view aCaller)
{
  auto view = [](boost::string_view aText) {
    return std::string_view(aText.data(), aText.size());
  };
  RequestFingerprint fingerprint = 0;
  for (auto part : { view(aRequest.method_string()),
                     view(aRequest[http::field::host]),
                     view(aRequest.target()),
                     aCaller,
                     std::string_view(aRequest.body()) }) {
    fingerprint = StableHash(part, fingerprint);
  }
  return fingerprint;
}

} // namespace fescuetiller
