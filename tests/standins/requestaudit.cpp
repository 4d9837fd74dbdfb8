#include "standins/requestaudit.h"

#include <algorithm>
#include <sstream>

namespace fescuetiller {

namespace {

/** How many wrong replies of a kind are printed whole. */
constexpr int kMostPrinted = 5;

template<typename Name>
std::string
ToText(const std::map<Name, int>& aCounts)
{
  std::ostringstream text;
  for (const auto& [name, count] : aCounts) {
    text << (text.tellp() > 0 ? ", " : "") << name << ' ' << count;
  }
  return text.str();
}

} // namespace

RequestAudit::RequestAudit(std::string aName)
  : name(std::move(aName))
{
}

void
RequestAudit::Add(const std::vector<CheckedRequest>& aRequests)
{
  for (const auto& request : aRequests) {
    this->requests[request.id] = request;
  }
}

bool
RequestAudit::Report(const std::vector<Run>& aRuns,
                     double aLeastServed,
                     std::ostream& aOutput)
{
  this->CountReplies(aOutput);
  this->CompareWithRuns(aRuns, aOutput);
  bool served = this->ServedShare() >= aLeastServed;
  if (!served) {
    aOutput << "BROKEN served " << this->ServedShare() << ", least "
            << aLeastServed << std::endl;
  }
  int wrongCount = 0;
  for (const auto& [kind, count] : this->wrong) {
    wrongCount += count;
  }
  aOutput << "sent " << this->requests.size() << ", answered "
          << this->replies[Reply::Answered] << " (without id "
          << this->withoutId << "), no route " << this->replies[Reply::NoRoute]
          << ", not run " << this->replies[Reply::NotRun] << " ("
          << ToText(this->refusals) << "), 502 " << this->failures[502]
          << ", 504 " << this->failures[504] << ", broken off "
          << this->replies[Reply::None] << " (" << ToText(this->brokenOff)
          << "), wrong " << wrongCount << " (" << ToText(this->wrong) << ")"
          << std::endl;
  return served && wrongCount == 0;
}

void
RequestAudit::CountReplies(std::ostream& aOutput)
{
  for (const auto& [id, request] : this->requests) {
    ++this->replies[request.reply];
    switch (request.reply) {
      case Reply::Answered:
        this->withoutId += request.withoutId ? 1 : 0;
        break;
      case Reply::Failed:
        ++this->failures[request.status];
        break;
      case Reply::NotRun:
        ++this->refusals[IsHead(request) ? "HEAD" : request.reason];
        break;
      case Reply::None:
        ++this->brokenOff[request.reason.empty() ? "behind another"
                                                 : request.reason];
        break;
      case Reply::Wrong:
        this->AddWrong(request.reason, request, aOutput);
        break;
      case Reply::NoRoute:
        break;
    }
  }
}

void
RequestAudit::CompareWithRuns(const std::vector<Run>& aRuns,
                              std::ostream& aOutput)
{
  std::map<std::string, int> runsOf;
  for (const auto& run : aRuns) {
    if (run.request.rfind(this->name, 0) == 0) {
      ++runsOf[run.request];
    }
  }
  for (const auto& [id, count] : runsOf) {
    auto found = this->requests.find(id);
    if (found == this->requests.end()) {
      CheckedRequest unknown;
      unknown.id = id;
      this->AddWrong("UNASKED", unknown, aOutput);
      continue;
    }
    const auto& request = found->second;
    bool booking = request.question == Question::Booking;
    if (booking && count > 1) {
      this->AddWrong("TWICE", request, aOutput);
    }
    if (request.reply == Reply::NotRun) {
      this->AddWrong(booking ? "REFUSED" : "REFUSED-lookup", request, aOutput);
    }
  }
  for (const auto& [id, request] : this->requests) {
    if (request.reply == Reply::Answered && runsOf.count(id) == 0) {
      this->AddWrong("answered-not-run", request, aOutput);
    }
  }
}

void
RequestAudit::AddWrong(const std::string& aKind,
                       const CheckedRequest& aRequest,
                       std::ostream& aOutput)
{
  if (++this->wrong[aKind] > kMostPrinted) {
    return;
  }
  aOutput << "WRONG " << aKind << ' ' << aRequest.id << ", sent "
          << ToBootNanoseconds(aRequest.sentAt) << ", replied "
          << ToBootNanoseconds(aRequest.repliedAt) << ", status "
          << aRequest.status << ", "
          << (aRequest.got.empty() ? aRequest.reason : aRequest.got)
          << std::endl;
}

double
RequestAudit::ServedShare() const
{
  auto routed =
    std::count_if(this->requests.begin(),
                  this->requests.end(),
                  [](const auto& aEntry) { return HasRoute(aEntry.second); });
  auto answered = this->replies.find(Reply::Answered);
  return routed == 0 || answered == this->replies.end()
           ? 0
           : static_cast<double>(answered->second) /
               static_cast<double>(routed);
}

} // namespace fescuetiller
