#include "standins/answerbody.h"

namespace fescuetiller {

std::string
AnswerBody(const std::string& aRequestId, size_t aLeastBytes)
{
  const std::string shortest = "answer to " + aRequestId;
  std::string body = shortest;
  while (body.size() < aLeastBytes) {
    body += "; " + shortest;
  }
  if (body.size() > shortest.size()) {
    body.resize(aLeastBytes);
  }
  return body;
}

} // namespace fescuetiller
