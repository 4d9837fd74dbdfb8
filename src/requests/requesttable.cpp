#include "requests/requesttable.h"

#include <algorithm>

namespace fescuetiller {

namespace {

constexpr Duration kFullRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kBarredRetryAfter = std::chrono::milliseconds(1);

Admission
AnswerWith(Outcome aOutcome)
{
  return { Admission::Kind::Answer, std::move(aOutcome) };
}

} // namespace

RequestIdentity
IdentityOf(const Request& aRequest)
{
  uint64_t content = 0;
  for (const std::string* part : { &aRequest.service,
                                   &aRequest.requestClass,
                                   &aRequest.key,
                                   &aRequest.body }) {
    content = HashKey(*part, content + part->size());
  }
  return { aRequest.requestId, content, aRequest.stamp };
}

RequestTable::RequestTable(RequestTableLimits aLimits)
  : limits(aLimits)
{
}

std::optional<Admission>
RequestTable::Known(const RequestIdentity& aIdentity) const
{
  auto found = this->entries.find(aIdentity.requestId);
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  const Entry& entry = found->second;
  if (entry.content != aIdentity.content) {
    return AnswerWith(IdReused());
  }
  if (entry.state == State::Running) {
    return Admission{ Admission::Kind::Join, Outcome() };
  }
  return AnswerWith(entry.outcome);
}

bool
RequestTable::Forgotten(const RequestIdentity& aIdentity,
                        RowVersion aOwnedSince) const
{
  return aIdentity.stamp.revision < aOwnedSince ||
         aIdentity.stamp.tick <= this->horizon;
}

bool
RequestTable::MakeRoom()
{
  if (this->entries.size() < this->limits.entries) {
    return true;
  }
  if (this->ended.empty()) {
    return false;
  }
  auto oldest = this->ended.begin();
  this->horizon = std::max(this->horizon, oldest->first);
  auto entry = this->entries.find(oldest->second);
  this->DropAnswer(entry->second);
  this->entries.erase(entry);
  this->ended.erase(oldest);
  return true;
}

Admission
RequestTable::Admit(const RequestIdentity& aIdentity,
                    RowVersion aOwnedSince,
                    uint64_t aTickNow)
{
  auto known = this->Known(aIdentity);
  if (known) {
    return *known;
  }
  bool ahead = aIdentity.stamp.tick > aTickNow + this->limits.ticksAhead;
  if (ahead || this->Forgotten(aIdentity, aOwnedSince)) {
    return AnswerWith(Outdated());
  }
  if (!this->MakeRoom()) {
    return AnswerWith(NotRun("too many requests are running", kFullRetryAfter));
  }
  // Making room may have moved the horizon past this id.
  if (this->Forgotten(aIdentity, aOwnedSince)) {
    return AnswerWith(Outdated());
  }
  Entry entry;
  entry.content = aIdentity.content;
  entry.tick = aIdentity.stamp.tick;
  this->entries.emplace(aIdentity.requestId, std::move(entry));
  return { Admission::Kind::Start, Outcome() };
}

void
RequestTable::End(const std::string& aRequestId, const Outcome& aOutcome)
{
  auto found = this->entries.find(aRequestId);
  if (found == this->entries.end()) {
    return;
  }
  if (aOutcome.notOwner) {
    this->entries.erase(found);
    return;
  }
  Entry& entry = found->second;
  entry.state = State::Ended;
  entry.outcome = aOutcome;
  this->ended.emplace(entry.tick, aRequestId);
  this->Keep(aRequestId, entry);
}

void
RequestTable::Keep(const std::string& aRequestId, Entry& aEntry)
{
  size_t size = aEntry.outcome.body.size();
  if (size == 0) {
    return;
  }
  this->answerBytes += size;
  if (size > this->limits.largestAnswerBytes) {
    this->DropAnswer(aEntry);
    return;
  }
  this->answers.push_back(aRequestId);
  while (this->answerBytes > this->limits.answerBytes ||
         this->answers.size() > this->limits.entries) {
    auto oldest = this->entries.find(this->answers.front());
    this->answers.pop_front();
    if (oldest != this->entries.end()) {
      this->DropAnswer(oldest->second);
    }
  }
}

void
RequestTable::DropAnswer(Entry& aEntry)
{
  size_t size = aEntry.outcome.body.size();
  if (size == 0) {
    return;
  }
  this->answerBytes -= size;
  aEntry.outcome = UnknownOutcome("it ran, but its answer is no longer kept");
}

Admission
RequestTable::Settle(const RequestIdentity& aIdentity, RowVersion aOwnedSince)
{
  auto known = this->Known(aIdentity);
  if (known) {
    return *known;
  }
  if (this->Forgotten(aIdentity, aOwnedSince)) {
    return AnswerWith(Outdated());
  }
  if (!this->MakeRoom()) {
    return AnswerWith(UnknownOutcome("too many requests are running"));
  }
  if (this->Forgotten(aIdentity, aOwnedSince)) {
    return AnswerWith(Outdated());
  }
  Entry entry;
  entry.content = aIdentity.content;
  entry.tick = aIdentity.stamp.tick;
  this->entries.emplace(aIdentity.requestId, std::move(entry));
  Outcome barred =
    NotRun("barred: it had not reached the owner", kBarredRetryAfter);
  this->End(aIdentity.requestId, barred);
  return AnswerWith(barred);
}

size_t
RequestTable::Size() const
{
  return this->entries.size();
}

size_t
RequestTable::AnswerBytes() const
{
  return this->answerBytes;
}

uint64_t
RequestTable::Horizon() const
{
  return this->horizon;
}

} // namespace fescuetiller
