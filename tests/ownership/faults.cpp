#include "faults.h"

namespace fescuetiller {

const char*
ToString(Step aStep)
{
  switch (aStep) {
    case Step::Join:
      return "join";
    case Step::Renew:
      return "renew";
    case Step::Acknowledge:
      return "acknowledge";
    case Step::ChangeGrantor:
      return "change grantor";
    case Step::TakeOver:
      return "take over";
    case Step::Claim:
      return "claim";
    case Step::Move:
      return "move";
    case Step::PushRows:
      return "push rows";
    case Step::Leave:
      return "leave";
    case Step::Return:
      return "return";
    case Step::End:
      return "end";
    case Step::Count:
      break;
  }
  return "";
}

const char*
ToString(Fault aFault)
{
  switch (aFault) {
    case Fault::LostBefore:
      return "lost before";
    case Fault::LostAfter:
      return "lost after";
    case Fault::PairLost:
      return "pair lost";
    case Fault::DaemonPaused:
      return "daemon paused";
    case Fault::BackendFrozen:
      return "backend frozen";
    case Fault::PairPaused:
      return "pair paused";
    case Fault::CutOut:
      return "cut out";
    case Fault::CutIn:
      return "cut in";
    case Fault::CutBoth:
      return "cut both";
    case Fault::CutWithWards:
      return "cut with wards";
    case Fault::GrantorSilent:
      return "grantor silent";
    case Fault::MessageLost:
      return "message lost";
    case Fault::MessageDoubled:
      return "message doubled";
    case Fault::MessageReordered:
      return "message reordered";
    case Fault::MessagesLate:
      return "messages late";
    case Fault::StoreDown:
      return "store down";
    case Fault::StoreCut:
      return "store cut";
    case Fault::StoreSlow:
      return "store slow";
    case Fault::AnswersLost:
      return "answers lost";
    case Fault::EffectLate:
      return "effect late";
    case Fault::OperatorsRace:
      return "operators race";
    case Fault::Count:
      break;
  }
  return "";
}

} // namespace fescuetiller
