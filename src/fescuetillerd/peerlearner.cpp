#include "fescuetillerd/peerlearner.h"

namespace fescuetiller {

namespace {

/** Between lessons: changes that the others have seen meanwhile are learned
 * about as soon as the next configuration should be in force. */
constexpr Duration kLessonInterval = std::chrono::seconds(2);

} // namespace

PeerLearner::PeerLearner(ConnectionPool& aPool, EventLog& aLog, Hooks aHooks)
  : pool(aPool)
  , log(aLog)
  , hooks(std::move(aHooks))
{
}

bool
PeerLearner::HasLearned() const
{
  return this->learned;
}

void
PeerLearner::OnPeerHeard(Time aNow, const Tcp::endpoint& aPeer)
{
  if (this->learning || aNow < this->nextAt || !this->hooks.isNeeded()) {
    return;
  }
  this->learning = true;
  this->nextAt = aNow + kLessonInterval;
  auto lesson = std::make_shared<Lesson>(
    Lesson{ StoreClient(this->pool, aPeer), ToString(aPeer), {} });
  lesson->peer.ReadFrom(ConfigurationKey(),
                        [this, lesson](Result<StoreRows> aRows) {
                          if (!aRows) {
                            this->End(*lesson, ToString(aRows.error()));
                            return;
                          }
                          this->hooks.onConfiguration(*aRows);
                          lesson->services = this->hooks.services();
                          this->ReadServices(lesson);
                        });
}

void
PeerLearner::ReadServices(const std::shared_ptr<Lesson>& aLesson)
{
  if (aLesson->services.empty()) {
    this->End(*aLesson, "");
    return;
  }
  auto service = aLesson->services.back();
  aLesson->services.pop_back();
  aLesson->peer.Read(
    kClusterTable, service, [this, aLesson](Result<StoreRows> aRows) {
      if (!aRows) {
        this->End(*aLesson, ToString(aRows.error()));
        return;
      }
      this->hooks.onCluster(*aRows);
      this->ReadServices(aLesson);
    });
}

void
PeerLearner::End(const Lesson& aLesson, const std::string& aError)
{
  this->learning = false;
  bool first = !this->learned && aError.empty();
  this->learned = this->learned || aError.empty();
  if (first || !aError.empty()) {
    this->log.Write({ "learned-from-peer",
                      { { "peer", aLesson.address }, { "error", aError } } });
  }
}

} // namespace fescuetiller
