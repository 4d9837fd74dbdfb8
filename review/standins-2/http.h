#pragma once

// HTTP/1.1 over blocking sockets, as little as the stand-ins need, and the
// record that all programs of a case write.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <optional>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;

inline int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

/** Appends one line to the record of the case. Lines of several processes do
 * not mix, since each is one write to a file that is opened for appending. */
class Record
{
public:
  explicit Record(const std::string& aFile)
    : file(::open(aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644))
  {
  }

  void Write(const std::string& aLine) const
  {
    auto line = std::to_string(NowMs()) + " " + aLine + "\n";
    if (::write(this->file, line.data(), line.size()) < 0) {
      std::perror("record");
    }
  }

private:
  int file;
};

inline sockaddr_in
ParseAddress(const std::string& aText)
{
  sockaddr_in address{};
  auto colon = aText.rfind(':');
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<uint16_t>(std::atoi(aText.c_str() + colon + 1)));
  ::inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

inline void
SetTimeouts(int aSocket, int aMilliseconds)
{
  timeval time{ aMilliseconds / 1000, (aMilliseconds % 1000) * 1000 };
  ::setsockopt(aSocket, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
  ::setsockopt(aSocket, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
  int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/** @param aReceiveBytes Size of the receive buffer; 0: the usual one.
 * @return The socket, or -1. */
inline int
Connect(const std::string& aAddress, int aTimeoutMs, int aReceiveBytes = 0)
{
  int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  SetTimeouts(connection, aTimeoutMs);
  if (aReceiveBytes > 0) {
    ::setsockopt(connection,
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &aReceiveBytes,
                 sizeof(aReceiveBytes));
  }
  auto address = ParseAddress(aAddress);
  if (::connect(
        connection, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    ::close(connection);
    return -1;
  }
  return connection;
}

inline bool
SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    auto count = ::send(
      aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

struct Message
{
  std::string start; ///< Request line or status line.
  std::map<std::string, std::string> fields; ///< Names in lower case.
  std::string body;

  std::string Field(const std::string& aName) const
  {
    auto found = this->fields.find(aName);
    return found == this->fields.end() ? "" : found->second;
  }
  int Status() const { return std::atoi(this->start.c_str() + 9); }
};

enum class ReadResult
{
  Whole,
  Closed,  ///< The connection ended before anything, or within the message.
  TimedOut ///< Nothing more came in time.
};

/** Reads one message with a stated length.
 * @param aBuffer What was read before and belongs to the next message. */
inline ReadResult
ReadMessage(int aSocket,
            std::string& aBuffer,
            Message& aMessage,
            int64_t aUntilMs)
{
  aMessage = Message();
  size_t headEnd = std::string::npos;
  size_t length = 0;
  for (;;) {
    if (headEnd == std::string::npos) {
      headEnd = aBuffer.find("\r\n\r\n");
      if (headEnd != std::string::npos) {
        size_t at = aBuffer.find("\r\n");
        aMessage.start = aBuffer.substr(0, at);
        while (at < headEnd) {
          auto from = at + 2;
          at = aBuffer.find("\r\n", from);
          auto line = aBuffer.substr(from, at - from);
          auto colon = line.find(':');
          if (colon == std::string::npos) {
            continue;
          }
          auto name = line.substr(0, colon);
          for (auto& letter : name) {
            letter = static_cast<char>(std::tolower(letter));
          }
          auto value = line.find_first_not_of(' ', colon + 1);
          aMessage.fields[name] =
            value == std::string::npos ? "" : line.substr(value);
        }
        length = static_cast<size_t>(
          std::atoll(aMessage.Field("content-length").c_str()));
        headEnd += 4;
      }
    }
    if (headEnd != std::string::npos && aBuffer.size() >= headEnd + length) {
      aMessage.body = aBuffer.substr(headEnd, length);
      aBuffer.erase(0, headEnd + length);
      return ReadResult::Whole;
    }
    auto left = aUntilMs - NowMs();
    if (left <= 0) {
      return ReadResult::TimedOut;
    }
    pollfd wait{ aSocket, POLLIN, 0 };
    if (::poll(&wait, 1, static_cast<int>(left)) == 0) {
      return ReadResult::TimedOut;
    }
    char bytes[16384];
    auto count = ::recv(aSocket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return ReadResult::Closed;
    }
    aBuffer.append(bytes, static_cast<size_t>(count));
  }
}

/** Sends a call and reads its answer over a new connection. */
inline std::optional<Message>
Call(const std::string& aAddress, const std::string& aRequest, int aTimeoutMs)
{
  int connection = Connect(aAddress, aTimeoutMs);
  if (connection < 0) {
    return std::nullopt;
  }
  std::string buffer;
  Message answer;
  bool whole = SendAll(connection, aRequest) &&
               ReadMessage(connection,
                           buffer,
                           answer,
                           NowMs() + aTimeoutMs) == ReadResult::Whole;
  ::close(connection);
  return whole ? std::optional<Message>(answer) : std::nullopt;
}

/** Returns the value of an option such as --address; ends without it. */
inline std::string
Option(int aCount,
       char** aArguments,
       const std::string& aName,
       const char* aDefault = nullptr)
{
  for (int index = 1; index + 1 < aCount; index += 2) {
    if (aArguments[index] == aName) {
      return aArguments[index + 1];
    }
  }
  if (aDefault == nullptr) {
    std::fprintf(stderr, "%s is missing\n", aName.c_str());
    std::exit(2);
  }
  return aDefault;
}

} // namespace review
