#include <fstream>
#include <iostream>
#include <random>

#include <boost/algorithm/string/predicate.hpp>

#include "http/http.h"
#include "standins/standin.h"

namespace fescuetiller {

namespace {

using std::chrono::milliseconds;

constexpr size_t kBodyBytes = 1024 * 1024;
constexpr size_t kFields = 3900;
/** Pause before a connection is opened again that the daemon has closed. */
constexpr Duration kReconnectPause = milliseconds(200);
/** Pause between blocks of kinds that send without end. It bounds the load. */
constexpr Duration kBlockPause = milliseconds(5);
constexpr Duration kDripPause = milliseconds(500);
constexpr size_t kBurst = 30;

} // namespace

/** What a crowd of clients does. */
struct CrowdOptions
{
  std::string kind;
  Tcp::endpoint target;
  asio::ip::address from;
  std::string path;
  std::string notRunFile;
  uint32_t connections = 100;
  uint32_t seed = 1;
  Duration time = std::chrono::seconds(5);
};

/** Counts of all clients of a crowd. */
struct CrowdCounts
{
  uint64_t opened = 0;
  uint64_t closed = 0; ///< By the daemon.
  uint64_t bytes = 0;
  std::map<std::string, uint64_t> statuses;
};

/** One client that misbehaves. It opens its connection again when the daemon
 * has closed it. */
class MisbehavingClient : public std::enable_shared_from_this<MisbehavingClient>
{
public:
  MisbehavingClient(asio::io_context& aContext,
                    const CrowdOptions& aOptions,
                    CrowdCounts& aCounts,
                    std::ostream& aNotRun,
                    uint32_t aNumber)
    : options(aOptions)
    , counts(aCounts)
    , notRun(aNotRun)
    , number(aNumber)
    , random(aOptions.seed * 100000 + aNumber)
    , context(aContext)
    , timer(aContext)
  {
  }

  void Start()
  {
    // Spread over half a second, as clients are that come at the same time.
    this->After(milliseconds(this->random() % 500),
                [this] { this->Connect(); });
  }

private:
  using Self = std::shared_ptr<MisbehavingClient>;

  void After(Duration aPause, std::function<void()> aThen)
  {
    this->timer.expires_after(aPause);
    this->timer.async_wait(
      [self = this->shared_from_this(), then = std::move(aThen)](auto aError) {
        if (!aError) {
          then();
        }
      });
  }

  void Connect()
  {
    boost::system::error_code error;
    if (this->socket != nullptr) {
      this->socket->close(error);
    }
    // A write to the last socket may still be in progress.
    this->socket = std::make_shared<Tcp::socket>(this->context);
    this->socket->open(Tcp::v4(), error);
    if (!error) {
      this->socket->bind({ this->options.from, 0 }, error);
    }
    this->blocks = 0;
    this->text.clear();
    this->socket->async_connect(this->options.target,
                                [self = this->shared_from_this()](auto aError) {
                                  if (aError) {
                                    self->Reopen();
                                    return;
                                  }
                                  ++self->counts.opened;
                                  if (self->Reads()) {
                                    self->Read();
                                  }
                                  self->WriteNext();
                                });
  }

  void Reopen()
  {
    if (!this->reopening) {
      this->reopening = true;
      this->After(kReconnectPause, [this] {
        this->reopening = false;
        this->Connect();
      });
    }
  }

  /** Whether the responses are read. */
  bool Reads() const
  {
    const auto& kind = this->options.kind;
    return kind != "gets" && kind != "posts" && kind != "burst";
  }

  std::string Head(const std::string& aMethod, const std::string& aFields)
  {
    this->id = "crowd" + std::to_string(this->options.seed) + "-" +
               std::to_string(this->number) + "-" +
               std::to_string(this->requests++);
    return aMethod + " " + this->options.path + this->id +
           " HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + this->id +
           "\r\nX-Timeout-Ms: 800\r\nX-Shard-Key: " +
           std::to_string(this->random() % 65536) + "\r\n" + aFields;
  }

  std::string Post(size_t aBytes)
  {
    return this->Head("POST",
                      "Content-Length: " + std::to_string(aBytes) + "\r\n\r\n");
  }

  static std::string Repeat(const std::string& aText, size_t aCount)
  {
    std::string all;
    all.reserve(aText.size() * aCount);
    for (size_t count = 0; count < aCount; ++count) {
      all += aText;
    }
    return all;
  }

  static std::string Chunk(size_t aBytes)
  {
    std::ostringstream text;
    text << std::hex << aBytes << "\r\n" << std::string(aBytes, 'x') << "\r\n";
    return text.str();
  }

  /** The next bytes to send; empty: none, the connection stays open.
   * @param aPause Set to the time before the next ones. */
  std::string NextBlock(Duration& aPause)
  {
    static const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
    const auto& kind = this->options.kind;
    auto block = this->blocks++;
    bool first = block == 0;
    aPause = kBlockPause;
    if (kind == "body") {
      return first ? this->Post(kBodyBytes) + std::string(kBodyBytes - 1, 'x')
                   : "";
    }
    if (kind == "chunks") {
      // The last chunk is not complete.
      return first ? this->Head("POST", kChunked) +
                       Repeat(Chunk(16384), kBodyBytes / 16384 - 1) +
                       "4000\r\n" + std::string(16383, 'x')
                   : "";
    }
    if (kind == "endless") {
      return first ? this->Head("POST", kChunked) : Chunk(65536);
    }
    if (kind == "tiny") {
      return first ? this->Head("POST", kChunked) : Repeat("1\r\nx\r\n", 4000);
    }
    if (kind == "whole") {
      return this->MayRequest()
               ? this->Post(kBodyBytes) + std::string(kBodyBytes, 'x')
               : "";
    }
    if (kind == "fields") {
      return first ? this->Head("GET", Repeat("a:\r\n", kFields)) : "";
    }
    if (kind == "heads") {
      return this->MayRequest()
               ? this->Head("GET", Repeat("a:\r\n", kFields) + "\r\n")
               : "";
    }
    if (kind == "trailers") {
      return first ? this->Head("POST", kChunked) + "1\r\nx\r\n0\r\n" +
                       Repeat("a: b\r\n", 1000000 / 6)
                   : "";
    }
    if (kind == "gets") {
      return Repeat(this->Head("GET", "\r\n"), 1) + this->Head("GET", "\r\n");
    }
    if (kind == "posts") {
      return this->Post(60000) + std::string(60000, 'x');
    }
    if (kind == "burst") {
      std::string all;
      for (size_t count = 0; first && count < kBurst; ++count) {
        all += this->Head("GET", "\r\n");
      }
      return all;
    }
    if (kind == "large") {
      return first ? this->Post(size_t(1) << 40) + std::string(kBodyBytes, 'x')
                   : "";
    }
    if (kind == "slowhead") {
      return first ? this->Head("GET", "a: " + std::string(11900, 'x')) : "";
    }
    if (kind == "drip") {
      aPause = kDripPause;
      static const std::string kHead = "GET /look/x HTTP/1.1\r\nHost: a.exam";
      return kHead.substr(block % kHead.size(), 1);
    }
    std::cerr << "unknown kind " << kind << std::endl;
    std::exit(2);
  }

  /** Whether no response is outstanding. */
  bool MayRequest()
  {
    bool may = !this->waiting;
    this->waiting = true;
    return may;
  }

  void WriteNext()
  {
    Duration pause(0);
    auto block = std::make_shared<std::string>(this->NextBlock(pause));
    if (block->empty()) {
      return;
    }
    asio::async_write(
      *this->socket,
      asio::buffer(*block),
      [self = this->shared_from_this(), used = this->socket, block, pause](
        auto aError, size_t aSize) {
        self->counts.bytes += aSize;
        if (used != self->socket) {
          return;
        }
        if (!aError) {
          self->After(pause, [self] { self->WriteNext(); });
        } else if (!self->Reads()) {
          ++self->counts.closed;
          self->Reopen();
        }
      });
  }

  void Read()
  {
    this->socket->async_read_some(
      asio::buffer(this->bytes),
      [self = this->shared_from_this(), used = this->socket](auto aError,
                                                             size_t aSize) {
        if (used != self->socket) {
          return;
        }
        self->text.append(self->bytes, aSize);
        self->ReadStatus();
        if (aError) {
          ++self->counts.closed;
          self->waiting = false;
          self->Reopen();
          return;
        }
        self->Read();
      });
  }

  /** Takes a response, whose body is short, out of the text. */
  void ReadStatus()
  {
    auto end = this->text.find("\r\n\r\n");
    if (end == std::string::npos || this->text.size() < 12) {
      return;
    }
    auto status = this->text.substr(9, 3);
    ++this->counts.statuses[status];
    // Only the last request of a connection can be without a response.
    if (status == "503" || status == "429" || status == "408" ||
        status == "421") {
      this->notRun << this->id << '\n';
    }
    this->text.clear();
    if (this->waiting) {
      this->waiting = false;
      this->After(kBlockPause, [this] { this->WriteNext(); });
    }
  }

  const CrowdOptions& options;
  CrowdCounts& counts;
  std::ostream& notRun;
  uint32_t number;
  std::mt19937 random;
  asio::io_context& context;
  std::shared_ptr<Tcp::socket> socket; ///< A new one for each connection.
  asio::steady_timer timer;
  std::string text;
  std::string id;
  size_t blocks = 0;
  size_t requests = 0;
  bool waiting = false;
  bool reopening = false;
  char bytes[4096] = {};
};

} // namespace fescuetiller

int
main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  options::options_description description(
    "A crowd of clients that misbehave, on loopback addresses.");
  fescuetiller::CrowdOptions crowd;
  std::string target;
  std::string from = "127.0.0.1";
  uint32_t seconds = 5;
  auto add = description.add_options();
  add("help,h", "print this text");
  add("kind", options::value(&crowd.kind)->required(), "what the clients do");
  add("target", options::value(&target)->required(), "a daemon's address");
  add("from", options::value(&from), "the clients' address");
  add("path",
      options::value(&crowd.path)->default_value("/look/"),
      "beginning of the path");
  add("connections", options::value(&crowd.connections), "number of clients");
  add("seconds", options::value(&seconds), "how long");
  add("seed", options::value(&crowd.seed), "for keys and times");
  add("not-run",
      options::value(&crowd.notRunFile)->default_value("/dev/null"),
      "file for the ids of requests that were reported as not run");
  fescuetiller::ParseOptions(aCount, aArguments, description);
  crowd.target = *fescuetiller::ParseEndpoint(target);
  crowd.from = fescuetiller::asio::ip::make_address(from);
  if (!crowd.target.address().is_loopback() || crowd.connections > 2000) {
    std::cerr << "only loopback, at most 2000 connections" << std::endl;
    return 2;
  }
  fescuetiller::asio::io_context context(1);
  fescuetiller::CrowdCounts counts;
  std::ofstream notRun(crowd.notRunFile, std::ios::app);
  for (uint32_t number = 0; number < crowd.connections; ++number) {
    std::make_shared<fescuetiller::MisbehavingClient>(
      context, crowd, counts, notRun, number)
      ->Start();
  }
  context.run_for(std::chrono::seconds(seconds));
  std::cout << "crowd " << crowd.kind << ": opened " << counts.opened
            << ", closed " << counts.closed << ", sent " << counts.bytes
            << " bytes";
  for (const auto& [status, count] : counts.statuses) {
    std::cout << ", " << status << ": " << count;
  }
  std::cout << std::endl;
  return 0;
}
