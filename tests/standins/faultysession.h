#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "standins/faultyserver.h"

namespace fescuetiller {

/** A connection of a FaultyServer. */
class FaultySession : public std::enable_shared_from_this<FaultySession>
{
public:
  FaultySession(FaultyServer& aServer, Tcp::socket aSocket, uint64_t aNumber);

  void Start();

private:
  /** How the connection ends once all is written. */
  enum class Ending
  {
    None,
    Close,
    LateClose, ///< After the peer has had time to read the bytes.
    Reset,     ///< The same, with a reset.
    Shutdown,  ///< Of the own direction; what the peer sends is still read.
  };
  /** Bytes to write. */
  struct Output
  {
    std::string bytes;
    std::string text; ///< What they are, for the log.
    std::string requestId;
  };

  void ReadRequest();
  void OnHead();
  void ReadBody();
  void OnRequest();
  /** Whether the faults contain an answer to the head of a long request. */
  bool AnswersEarly() const;
  void AnswerEarly();
  void Refuse();
  void Answer(HttpResponse aResponse);
  /** Writes a malformed answer.
   * @return Whether the faults contain one. */
  bool WriteMalformed(const HttpResponse& aResponse);
  /** Writes an answer that breaks off.
   * @return Whether the faults contain one that does so. */
  bool BreakOff(const HttpResponse& aResponse);
  /** Writes without end until the peer closes the connection.
   * @return Whether the faults contain one that does so. */
  bool WriteEndlessly(const HttpResponse& aResponse);
  void Repeat(const std::shared_ptr<const std::string>& aBytes);
  void WriteExtraBytes(const HttpResponse& aResponse);
  /** The beginning of an answer's head. */
  std::string PartOfHead(const HttpResponse& aResponse);
  /** Bytes that are no answer. */
  std::string Garbage(const HttpResponse& aResponse);

  void Write(Output aOutput);
  /** Writes after a pause, mostly when the next request waits. */
  void WriteLate(Output aOutput);
  void WriteNext();
  void End(Ending aEnding);
  /** Ends the connection, since all is written. */
  void Finish();
  /** Reads and drops what the peer sends until it closes the connection. */
  void ReadOn();
  void Close(bool aWithReset);

  FaultyServer& server;
  Tcp::socket socket;
  uint64_t number;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  HttpRequest request;
  AnswerFaults::Drawn faults; ///< Of the answer to the request.
  std::string requestId;
  bool requestWaits = false;
  bool writing = false;
  bool closed = false;
  Ending ending = Ending::None;
  std::deque<Output> outputs;
  std::vector<Output> held; ///< Written when the next request arrives.
  uint64_t faultsVersion = 0;
};

} // namespace fescuetiller
