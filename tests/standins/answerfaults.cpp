#include "standins/answerfaults.h"

#include <sstream>

#include <boost/lexical_cast/try_lexical_convert.hpp>

namespace fescuetiller {

namespace {

constexpr std::pair<AnswerFault, const char*> kNames[] = {
  { AnswerFault::Second, "second" },
  { AnswerFault::SecondNoId, "second-no-id" },
  { AnswerFault::SecondChunked, "second-chunked" },
  { AnswerFault::SecondChunkedNoId, "second-chunked-no-id" },
  { AnswerFault::SecondCut, "second-cut" },
  { AnswerFault::Refuse, "refuse" },
  { AnswerFault::RefuseTwice, "refuse-twice" },
  { AnswerFault::RefuseTwiceNoId, "refuse-twice-no-id" },
  { AnswerFault::RefuseTwiceCut, "refuse-twice-cut" },
  { AnswerFault::CutHead, "cut-head" },
  { AnswerFault::CutBody, "cut-body" },
  { AnswerFault::Reset, "reset" },
  { AnswerFault::Garbage, "garbage" },
  { AnswerFault::GarbageLate, "garbage-late" },
  { AnswerFault::EndlessStatus, "endless-status" },
  { AnswerFault::EndlessField, "endless-field" },
  { AnswerFault::EndlessFields, "endless-fields" },
  { AnswerFault::EndlessInterim, "endless-interim" },
  { AnswerFault::EndlessBody, "endless-body" },
  { AnswerFault::EndlessChunks, "endless-chunks" },
  { AnswerFault::EndlessExtension, "endless-extension" },
  { AnswerFault::EndlessUnframed, "endless-unframed" },
  { AnswerFault::EndlessTrailer, "endless-trailer" },
  { AnswerFault::EndlessAfter, "endless-after" },
  { AnswerFault::BadStatus, "bad-status" },
  { AnswerFault::BadField, "bad-field" },
  { AnswerFault::FoldedField, "folded-field" },
  { AnswerFault::BadCoding, "bad-coding" },
  { AnswerFault::EarlyCut, "early-cut" },
  { AnswerFault::Chunked, "chunked" },
  { AnswerFault::Unframed, "unframed" },
  { AnswerFault::Early, "early" },
};

const AnswerFault*
FindFault(const std::string& aName)
{
  for (const auto& [fault, name] : kNames) {
    if (aName == name) {
      return &fault;
    }
  }
  return nullptr;
}

} // namespace

Result<AnswerFaults>
AnswerFaults::Parse(const std::string& aText)
{
  AnswerFaults faults;
  std::istringstream entries(aText);
  std::string entry;
  while (std::getline(entries, entry, ',')) {
    auto colon = entry.find(':');
    const auto* fault = FindFault(entry.substr(0, colon));
    double share = 0;
    if (fault == nullptr || colon == std::string::npos ||
        !boost::conversion::try_lexical_convert(entry.substr(colon + 1),
                                                share)) {
      return tl::unexpected(
        Error{ ErrorCode::Invalid, "read faults", entry, "no NAME:SHARE" });
    }
    faults.shares[*fault] = share;
  }
  return faults;
}

void
AnswerFaults::SetSeed(uint32_t aSeed)
{
  this->random.seed(aSeed);
}

bool
AnswerFaults::IsEmpty() const
{
  return this->shares.empty();
}

AnswerFaults::Drawn
AnswerFaults::Draw()
{
  Drawn drawn;
  for (const auto& [fault, share] : this->shares) {
    if (std::uniform_real_distribution<>(0, 1)(this->random) < share) {
      drawn.insert(fault);
    }
  }
  return drawn;
}

const char*
ToString(AnswerFault aFault)
{
  for (const auto& [fault, name] : kNames) {
    if (aFault == fault) {
      return name;
    }
  }
  return "";
}

bool
IsRefused(const AnswerFaults::Drawn& aFaults)
{
  return aFaults.count(AnswerFault::Refuse) +
           aFaults.count(AnswerFault::RefuseTwice) +
           aFaults.count(AnswerFault::RefuseTwiceNoId) +
           aFaults.count(AnswerFault::RefuseTwiceCut) >
         0;
}

} // namespace fescuetiller
