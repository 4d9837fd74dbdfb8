#include "platform/storeclient.h"

#include "platform/headers.h"
#include "platform/storecodec.h"

namespace fescuetiller {

namespace {

/** Time that a call of Watch may take in addition to its wait. */
constexpr Duration kWatchTimeoutMargin = std::chrono::milliseconds(800);
/** Longest time between the chunks of a long response. At the least rate that
 * this permits, 32 KiB in that time, a response of 1 MB takes a minute. */
constexpr Duration kStallTimeout = std::chrono::milliseconds(2000);
/** Idle time after which connections to the store are closed. The store's own
 * idle timeout is unknown. */
constexpr Duration kIdleTimeout = std::chrono::seconds(5);

/** Table of a change; changes of several tables are counted by the first. */
std::string
TableOf(const StoreTransaction& aTransaction)
{
  if (!aTransaction.sets.empty()) {
    return aTransaction.sets.front().key.table;
  }
  return aTransaction.removes.empty() ? "" : aTransaction.removes.front().table;
}

} // namespace

StoreClient::StoreClient(ConnectionPool& aPool,
                         const Tcp::endpoint& aAddress,
                         Duration aTimeout)
  : pool(aPool)
  , address(aAddress)
  , timeout(aTimeout)
{
}

void
StoreClient::SetAddress(const Tcp::endpoint& aAddress)
{
  this->address = aAddress;
}

void
StoreClient::Call(const CallKind& aKind,
                  const StoreRequest& aRequest,
                  Duration aTimeout,
                  FetchCallback aCallback)
{
  ++this->callCounts[aKind];
  HttpRequest request(
    http::string_to_verb(aRequest.method), aRequest.target, 11);
  request.set(http::field::host, ToString(this->address));
  if (!aRequest.body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = aRequest.body;
    request.prepare_payload();
  }
  CallOptions options;
  options.timeout = aTimeout;
  options.stallTimeout = kStallTimeout;
  options.idleTimeout = kIdleTimeout;
  Fetch(this->pool,
        this->address,
        std::move(request),
        options,
        [this, peer = this->address, callback = std::move(aCallback)](
          Result<HttpResponse> aResponse) {
          if (!aResponse) {
            // What made this call fail may have ended these connections, too.
            this->pool.CloseIdle(peer);
          }
          auto accepted =
            aResponse ? this->CheckEra(*aResponse) : Result<void>();
          if (!accepted) {
            callback(tl::unexpected(accepted.error()));
            return;
          }
          callback(std::move(aResponse));
        });
}

uint64_t
StoreClient::CallCount() const
{
  uint64_t total = 0;
  for (const auto& [kind, count] : this->callCounts) {
    total += count;
  }
  return total;
}

StoreEra
StoreClient::Era() const
{
  return this->era;
}

Result<void>
StoreClient::CheckEra(const HttpResponse& aResponse)
{
  auto stated =
    ParseStoreEra(std::string(aResponse.base()[headers::kStoreEra]));
  if (!stated) {
    return tl::unexpected(stated.error());
  }
  if (*stated < this->era) {
    return tl::unexpected(Error{ ErrorCode::Unknown,
                                 "call store",
                                 ToString(this->address),
                                 "response of era " + std::to_string(*stated) +
                                   " in era " + std::to_string(this->era) });
  }
  if (*stated > this->era) {
    this->era = *stated;
    if (this->onEra) {
      this->onEra(this->era);
    }
  }
  return {};
}

void
StoreClient::Transact(const StoreTransaction& aTransaction,
                      OutcomeCallback aCallback)
{
  this->Call(
    { "change", TableOf(aTransaction) },
    EncodeTransaction(aTransaction),
    this->timeout,
    [this, callback = std::move(aCallback)](Result<HttpResponse> aResponse) {
      if (!aResponse) {
        callback(tl::unexpected(aResponse.error()));
        return;
      }
      callback(
        ParseOutcome(aResponse->result_int(), aResponse->body(), this->era));
    });
}

void
StoreClient::Read(const std::string& aTable,
                  const std::string& aPart,
                  RowsCallback aCallback)
{
  this->ReadAllFrom({ aTable, aPart, "" }, std::move(aCallback));
}

void
StoreClient::ReadAllFrom(const StoreKey& aFrom, RowsCallback aCallback)
{
  this->ReadNextPage(
    aFrom, std::make_shared<StoreRows>(), std::move(aCallback));
}

void
StoreClient::ReadNextPage(const StoreKey& aFrom,
                          std::shared_ptr<StoreRows> aRows,
                          RowsCallback aCallback)
{
  this->ReadFrom(
    aFrom,
    [this, aFrom, rows = std::move(aRows), callback = std::move(aCallback)](
      Result<StoreRows> aPage) {
      if (!aPage) {
        callback(std::move(aPage));
        return;
      }
      if (rows->version == 0) {
        rows->version = aPage->version;
      }
      if (EraOf(rows->version) != EraOf(aPage->version)) {
        callback(tl::unexpected(Error{ ErrorCode::Unavailable,
                                       "read rows",
                                       ToString(this->address),
                                       "the era has changed meanwhile" }));
        return;
      }
      rows->rows.insert(
        rows->rows.end(), aPage->rows.begin(), aPage->rows.end());
      if (!aPage->hasMore || aPage->rows.empty()) {
        callback(*rows);
        return;
      }
      // The smallest key that sorts after the last one.
      auto next = aPage->rows.back().key;
      next.key.push_back('\x01');
      this->ReadNextPage(next, rows, callback);
    });
}

void
StoreClient::ReadParts(const std::string& aTable,
                       std::vector<std::string> aParts,
                       PartCallback aPartCallback,
                       PartsCallback aCallback)
{
  this->ReadNextPart(
    std::make_shared<PartsRead>(PartsRead{ aTable,
                                           std::move(aParts),
                                           std::move(aPartCallback),
                                           std::move(aCallback) }));
}

void
StoreClient::ReadNextPart(const std::shared_ptr<PartsRead>& aParts)
{
  if (aParts->remaining.empty()) {
    aParts->callback(aParts->version);
    return;
  }
  auto part = aParts->remaining.back();
  aParts->remaining.pop_back();
  this->Read(
    aParts->table, part, [this, aParts, part](Result<StoreRows> aRows) {
      if (!aRows) {
        aParts->callback(tl::unexpected(aRows.error()));
        return;
      }
      if (aParts->version == 0) {
        aParts->version = aRows->version;
      }
      aParts->partCallback(part, *aRows);
      this->ReadNextPart(aParts);
    });
}

FetchCallback
StoreClient::ParsingRows(RowsCallback aCallback) const
{
  return [this,
          callback = std::move(aCallback)](Result<HttpResponse> aResponse) {
    if (!aResponse) {
      callback(tl::unexpected(aResponse.error()));
      return;
    }
    callback(ParseRows(aResponse->result_int(), aResponse->body(), this->era));
  };
}

void
StoreClient::ReadFrom(const StoreKey& aFrom, RowsCallback aCallback)
{
  this->Call({ "read", aFrom.table },
             EncodeReadRequest(aFrom.table, aFrom.part, aFrom.key),
             this->timeout,
             this->ParsingRows(std::move(aCallback)));
}

void
StoreClient::Watch(const std::string& aTable,
                   RowVersion aAfter,
                   Duration aWait,
                   RowsCallback aCallback)
{
  this->Call({ aWait > Duration(0) ? "watch" : "check", aTable },
             EncodeWatchRequest(aTable, aAfter, aWait),
             aWait + kWatchTimeoutMargin,
             this->ParsingRows(std::move(aCallback)));
}

} // namespace fescuetiller
