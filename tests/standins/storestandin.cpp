#include "standins/storestandin.h"

#include <algorithm>

#include "platform/platform.h"

namespace fescuetiller {

using nlohmann::json;

StoreStandIn::StoreStandIn(asio::io_context& aContext)
  : context(aContext)
  , server(aContext, [this](const std::shared_ptr<Exchange>& aExchange) {
    this->Handle(aExchange);
  })
{
}

Result<void>
StoreStandIn::Listen(uint16_t aPort)
{
  return this->server.Listen(
    Tcp::endpoint(asio::ip::address_v4::loopback(), aPort));
}

uint16_t
StoreStandIn::Port() const
{
  return this->server.Address().port();
}

void
StoreStandIn::SetConfiguration(const std::string& aText)
{
  this->WriteRow({ "op", "", "config" }, EncodeBase64(aText));
}

void
StoreStandIn::SetEvacuated(const std::string& aZone, bool aEvacuated)
{
  auto stored = EvacuationKey(aZone);
  Key key{ stored.table, stored.part, stored.key };
  if (aEvacuated) {
    this->WriteRow(key, EncodeBase64("{}"));
    return;
  }
  this->content.rows.erase(key);
  auto change = ToJson(key, { "", ++this->content.version });
  change["removed"] = true;
  this->content.changes.emplace_back(this->content.version, change);
  this->NotifyWatchers();
}

void
StoreStandIn::SetFault(const std::string& aFault)
{
  this->fault = aFault;
}

bool
StoreStandIn::HasUnansweredWatch(const std::string& aTable) const
{
  return std::any_of(
    this->unanswered.begin(),
    this->unanswered.end(),
    [&](const std::shared_ptr<Exchange>& aExchange) {
      return ParseQuery(std::string(aExchange->request.target()))["table"] ==
             aTable;
    });
}

size_t
StoreStandIn::ReadCount(const std::string& aTable) const
{
  auto found = this->readCounts.find(aTable);
  return found == this->readCounts.end() ? 0 : found->second;
}

json
StoreStandIn::ToJson(const Key& aKey, const Row& aRow)
{
  const auto& [table, part, key] = aKey;
  return { { "table", table },
           { "part", part },
           { "key", key },
           { "value", aRow.value },
           { "ver", aRow.version } };
}

StoreStandIn::Key
StoreStandIn::ParseKey(const json& aEntry)
{
  return { aEntry.at("table").get<std::string>(),
           aEntry.value("part", ""),
           aEntry.at("key").get<std::string>() };
}

void
StoreStandIn::Copy()
{
  this->copy = this->content;
}

void
StoreStandIn::Restore()
{
  const Key configuration{ "op", "", "config" };
  auto written = this->content.rows.find(configuration);
  std::string text =
    written == this->content.rows.end() ? "" : written->second.value;
  this->content = this->copy;
  ++this->era;
  auto pending = std::exchange(this->watchers, {});
  for (const auto& watcher : pending) {
    watcher.timer->cancel();
    watcher.exchange->Abort();
  }
  if (!text.empty()) {
    this->WriteRow(configuration, text);
  }
}

void
StoreStandIn::Respond(const std::shared_ptr<Exchange>& aExchange,
                      unsigned aStatus,
                      const json& aBody) const
{
  auto response = JsonResponse(aStatus, aBody.dump());
  response.set(headers::kStoreEra, std::to_string(this->era));
  aExchange->Respond(std::move(response));
}

void
StoreStandIn::Handle(const std::shared_ptr<Exchange>& aExchange)
{
  std::string target(aExchange->request.target());
  auto path = target.substr(0, target.find('?'));
  try {
    if (path == "/standin/faults") {
      this->SetFault(aExchange->request.body());
      this->Respond(aExchange, 200, json::object());
    } else if (path == "/standin/copy") {
      this->Copy();
      this->Respond(aExchange, 200, json::object());
    } else if (path == "/standin/restore") {
      this->Restore();
      this->Respond(aExchange, 200, json::object());
    } else if (path == "/standin/config") {
      this->SetConfiguration(aExchange->request.body());
      this->Respond(aExchange, 200, json::object());
    } else if (this->fault == "silent") {
      this->unanswered.push_back(aExchange);
    } else if (this->fault == "down" ||
               (this->fault == "read-only" && path == "/v1/rows-tx")) {
      this->Respond(aExchange, 503, json::object());
    } else if (path == "/v1/rows-tx") {
      this->ApplyTransaction(aExchange);
    } else if (path == "/v1/rows-get") {
      this->ReadRows(aExchange, ParseQuery(target));
    } else if (path == "/v1/rows-feed") {
      this->AddWatcher(aExchange, ParseQuery(target));
    } else {
      this->Respond(aExchange, 404, json::object());
    }
  } catch (const std::exception& error) {
    this->Respond(aExchange, 400, { { "error", error.what() } });
  }
}

void
StoreStandIn::WriteRow(const Key& aKey, const std::string& aValue)
{
  this->content.rows[aKey] = { aValue, ++this->content.version };
  auto change = ToJson(aKey, this->content.rows[aKey]);
  this->content.changes.emplace_back(this->content.version, change);
  this->NotifyWatchers();
}

void
StoreStandIn::ApplyTransaction(const std::shared_ptr<Exchange>& aExchange)
{
  auto body = json::parse(aExchange->request.body());
  json current = json::array();
  bool conditionsHold = true;
  for (const auto& condition : body.at("expected-rev")) {
    auto found = this->content.rows.find(ParseKey(condition));
    uint64_t present =
      found == this->content.rows.end() ? 0 : found->second.version;
    conditionsHold =
      conditionsHold && present == condition.at("ver").get<uint64_t>();
    if (found != this->content.rows.end()) {
      current.push_back(ToJson(found->first, found->second));
    }
  }
  if (!conditionsHold) {
    this->Respond(aExchange,
                  412,
                  { { "ver", this->content.version }, { "rows", current } });
    return;
  }
  ++this->content.version;
  for (const auto& entry : body.at("set-keys")) {
    auto key = ParseKey(entry);
    this->content.rows[key] = { entry.at("value").get<std::string>(),
                                this->content.version };
    this->content.changes.emplace_back(this->content.version,
                                       ToJson(key, this->content.rows[key]));
  }
  for (const auto& entry : body.at("remove")) {
    auto key = ParseKey(entry);
    if (this->content.rows.erase(key) > 0) {
      auto change = ToJson(key, { "", this->content.version });
      change["removed"] = true;
      this->content.changes.emplace_back(this->content.version, change);
    }
  }
  if (this->fault == "lose") {
    aExchange->Abort();
  } else {
    this->Respond(aExchange, 200, { { "ver", this->content.version } });
  }
  this->NotifyWatchers();
}

void
StoreStandIn::ReadRows(const std::shared_ptr<Exchange>& aExchange,
                       std::map<std::string, std::string> aQuery)
{
  ++this->readCounts[aQuery["table"]];
  json found = json::array();
  bool more = false;
  Key from{ aQuery["table"], aQuery["part"], aQuery["from"] };
  for (auto row = this->content.rows.lower_bound(from);
       row != this->content.rows.end() &&
       std::get<0>(row->first) == aQuery["table"] &&
       std::get<1>(row->first) == aQuery["part"];
       ++row) {
    if (found.size() == kMaxRowsPerRead) {
      more = true;
      break;
    }
    found.push_back(ToJson(row->first, row->second));
  }
  this->Respond(aExchange,
                200,
                { { "rows", found },
                  { "has-more", more },
                  { "ver", this->content.version } });
}

json
StoreStandIn::FindChanges(const std::string& aTable, uint64_t aAfter) const
{
  json found = json::array();
  for (const auto& [changedAt, change] : this->content.changes) {
    if (changedAt > aAfter && change.at("table") == aTable) {
      found.push_back(change);
    }
  }
  return found;
}

void
StoreStandIn::AddWatcher(const std::shared_ptr<Exchange>& aExchange,
                         std::map<std::string, std::string> aQuery)
{
  if (std::stoull(aQuery["after"]) > this->content.version) {
    this->Respond(aExchange, 410, json::object());
    return;
  }
  Watcher watcher{ aQuery["table"],
                   std::stoull(aQuery["after"]),
                   aExchange,
                   std::make_shared<asio::steady_timer>(this->context) };
  watcher.timer->expires_after(
    std::chrono::milliseconds(std::stoull(aQuery["wait-ms"])));
  this->watchers.push_back(watcher);
  watcher.timer->async_wait(
    [this, exchange = aExchange](boost::system::error_code aError) {
      if (!aError) {
        this->EndEmptyWatch(exchange);
      }
    });
  this->NotifyWatchers();
}

void
StoreStandIn::EndEmptyWatch(const std::shared_ptr<Exchange>& aExchange)
{
  auto found = std::find_if(
    this->watchers.begin(), this->watchers.end(), [&](const auto& aWatcher) {
      return aWatcher.exchange == aExchange;
    });
  if (found == this->watchers.end()) {
    return; // A change was sent after the timer had expired.
  }
  this->watchers.erase(found);
  this->Respond(
    aExchange,
    200,
    { { "rows", json::array() }, { "ver", this->content.version } });
}

void
StoreStandIn::NotifyWatchers()
{
  for (auto watcher = this->watchers.begin();
       watcher != this->watchers.end();) {
    auto found = this->FindChanges(watcher->table, watcher->after);
    if (found.empty()) {
      ++watcher;
      continue;
    }
    watcher->timer->cancel();
    this->Respond(watcher->exchange,
                  200,
                  { { "rows", found }, { "ver", this->content.version } });
    watcher = this->watchers.erase(watcher);
  }
}

} // namespace fescuetiller
