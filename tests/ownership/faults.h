#pragma once

#include <cstddef>

namespace fescuetiller {

/** Messages and writes of the ownership protocol at which a fault can strike.
 */
enum class Step
{
  Join,
  Renew,
  Acknowledge,
  ChangeGrantor,
  TakeOver,
  Claim,
  Move,
  PushRows,
  Leave,
  Return,
  End,
  Count
};

/** What can go wrong at a step; the comments say for how long. */
enum class Fault
{
  LostBefore,       ///< The daemon ends before the step leaves it.
  LostAfter,        ///< The daemon ends right after the step.
  PairLost,         ///< Daemon and backend server end before the step.
  DaemonPaused,     ///< Past the lease; the step is sent on return.
  BackendFrozen,    ///< Past the lease, then it goes on.
  PairPaused,       ///< Both past the lease, then they go on.
  CutOut,           ///< Nothing that it sends arrives, 2.5 s.
  CutIn,            ///< Nothing sent to it arrives, 2.5 s.
  CutBoth,          ///< Neither arrives, store included, 2.5 s.
  CutWithWards,     ///< It and its wards are cut from the rest, 4 s.
  GrantorSilent,    ///< The connection to its grantor is silent for good.
  MessageLost,      ///< The step itself is lost.
  MessageDoubled,   ///< The step arrives twice.
  MessageReordered, ///< The step arrives after later ones.
  MessagesLate,     ///< What it sends and receives is 300 ms late, 2 s.
  StoreDown,        ///< For everybody, 3 s.
  StoreCut,         ///< For this daemon alone, 3 s.
  StoreSlow,        ///< Answers take 400 ms, 3 s.
  AnswersLost,      ///< Its writes take effect without an answer, 1.5 s.
  EffectLate,       ///< Its next write has no answer and takes effect late.
  OperatorsRace,    ///< Two operators drain and undrain it by turns.
  Count
};

const char*
ToString(Step aStep);

const char*
ToString(Fault aFault);

template<typename Enum>
constexpr size_t
CountOf()
{
  return static_cast<size_t>(Enum::Count);
}

} // namespace fescuetiller
