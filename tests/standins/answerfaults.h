#pragma once

#include <map>
#include <random>
#include <set>
#include <string>

#include "base/base.h"

namespace fescuetiller {

/** What a faulty backend server does with an answer. */
enum class AnswerFault
{
  Second,            ///< Writes it once more, late.
  SecondNoId,        ///< The same without the request's id.
  SecondChunked,     ///< Writes it once more, late and in chunks.
  SecondChunkedNoId, ///< The same without the request's id.
  SecondCut,         ///< The same without the id, and only a part of the head.
  Refuse,            ///< Refuses the request instead of running it.
  RefuseTwice,       ///< Refuses and writes the refusal once more, late.
  RefuseTwiceNoId,   ///< The same, the late refusal without the request's id.
  RefuseTwiceCut,    ///< The same, and only a part of the late head.
  CutHead,           ///< Breaks off inside the head, then closes.
  CutBody,           ///< Breaks off inside a body with a length, then closes.
  Reset,             ///< No length, a part of the body, then a reset.
  Garbage,           ///< Bytes that are no answer, right behind the answer.
  GarbageLate,       ///< The same, late.
  EndlessStatus,     ///< A status line without end.
  EndlessField,      ///< A header line without end.
  EndlessFields,     ///< Header lines without end.
  EndlessInterim,    ///< Interim answers without end.
  EndlessBody,       ///< A body with an enormous length.
  EndlessChunks,     ///< Chunks without end.
  EndlessExtension,  ///< A chunk whose extension has no end.
  EndlessUnframed,   ///< A body without a length and without end.
  EndlessTrailer,    ///< The whole body, then trailers without end.
  EndlessAfter,      ///< The whole answer, then further bytes without end.
  BadStatus,         ///< A status that is none.
  BadField,          ///< A header line that is none.
  FoldedField,       ///< A header line that begins with a blank.
  BadCoding,         ///< Chunks, and an unknown transfer coding.
  EarlyCut,          ///< Before it has read a long request: as Reset, or it
                     ///< closes with bytes unread.
  Chunked,           ///< No fault: the answer comes in chunks.
  Unframed,          ///< No fault: the answer ends with its connection.
  Early,             ///< No fault: the same, before it has read a long request.
};

/**
 * Faults of a backend server's answers. Each fault befalls a share of the
 * answers, drawn from a seeded sequence, so that several may meet.
 */
class AnswerFaults
{
public:
  using Drawn = std::set<AnswerFault>;

  /** Reads "NAME:SHARE,NAME:SHARE"; empty text: no faults. */
  static Result<AnswerFaults> Parse(const std::string& aText);

  void SetSeed(uint32_t aSeed);

  /** Whether there are any. */
  bool IsEmpty() const;

  /** The faults of the next answer. */
  Drawn Draw();

private:
  std::map<AnswerFault, double> shares;
  std::mt19937 random;
};

/** The name in options and logs. */
const char*
ToString(AnswerFault aFault);

/** Whether the server refuses the request instead of running it. */
bool
IsRefused(const AnswerFaults::Drawn& aFaults);

} // namespace fescuetiller
