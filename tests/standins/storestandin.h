#pragma once

#include <list>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/http.h"

namespace fescuetiller {

/**
 * Stand-in of the platform's store that follows its published protocol: rows,
 * conditional transactions and a watch.
 *
 * POST /standin/config writes the operator's configuration. POST
 * /standin/faults sets the fault of all calls after it: "down" responds with
 * 503, "read-only" does so to transactions, "silent" never responds, "lose"
 * commits transactions but closes the connection without a response, "none" is
 * normal operation. POST /standin/copy keeps a copy of the rows, and POST
 * /standin/restore comes back from it in the next era; what operators wrote
 * since is written again.
 */
class StoreStandIn
{
public:
  explicit StoreStandIn(asio::io_context& aContext);

  Result<void> Listen(uint16_t aPort);

  uint16_t Port() const;

  /** Writes the operator's configuration. */
  void SetConfiguration(const std::string& aText);

  /** Orders or withdraws the evacuation of a zone. */
  void SetEvacuated(const std::string& aZone, bool aEvacuated);

  /** Sets the fault of all calls from now on. */
  void SetFault(const std::string& aFault);
  /** Whether the fault has left a watch of a table without a response. */
  bool HasUnansweredWatch(const std::string& aTable) const;

  /** Number of reads of a table so far. */
  size_t ReadCount(const std::string& aTable) const;

  /** Keeps a copy of the rows. */
  void Copy();
  /** Comes back from the last copy, in the next era. */
  void Restore();

private:
  using Key = std::tuple<std::string, std::string, std::string>;

  struct Row
  {
    std::string value; ///< Base64, as received.
    uint64_t version = 0;
  };

  /** A watch call that waits for changes of a table. */
  struct Watcher
  {
    std::string table;
    uint64_t after = 0; ///< Version after which changes are reported.
    std::shared_ptr<Exchange> exchange;
    std::shared_ptr<asio::steady_timer> timer; ///< Ends the wait.
  };

  static nlohmann::json ToJson(const Key& aKey, const Row& aRow);

  static Key ParseKey(const nlohmann::json& aEntry);

  void Respond(const std::shared_ptr<Exchange>& aExchange,
               unsigned aStatus,
               const nlohmann::json& aBody) const;

  void Handle(const std::shared_ptr<Exchange>& aExchange);

  void WriteRow(const Key& aKey, const std::string& aValue);

  void ApplyTransaction(const std::shared_ptr<Exchange>& aExchange);

  void ReadRows(const std::shared_ptr<Exchange>& aExchange,
                std::map<std::string, std::string> aQuery);

  nlohmann::json FindChanges(const std::string& aTable, uint64_t aAfter) const;

  void AddWatcher(const std::shared_ptr<Exchange>& aExchange,
                  std::map<std::string, std::string> aQuery);

  void EndEmptyWatch(const std::shared_ptr<Exchange>& aExchange);

  void NotifyWatchers();

  asio::io_context& context;
  HttpServer server;
  /** What a copy contains. */
  struct Content
  {
    std::map<Key, Row> rows;
    std::vector<std::pair<uint64_t, nlohmann::json>> changes;
    uint64_t version = 1;
  };

  Content content;
  Content copy;
  uint64_t era = 0;
  std::list<Watcher> watchers;
  std::vector<std::shared_ptr<Exchange>> unanswered;
  std::string fault = "none";
  std::map<std::string, size_t> readCounts; ///< By table.
};

} // namespace fescuetiller
