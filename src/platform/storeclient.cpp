#include "platform/storeclient.h"

#include "platform/storecodec.h"

namespace fescuetiller {

namespace {

/** What a waiting call may take beyond its wait. */
constexpr Duration kWatchSlack = std::chrono::milliseconds(800);
/** Idle time of connections to the store; its own is not stated. */
constexpr Duration kIdleTimeout = std::chrono::seconds(5);

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
StoreClient::Call(const StoreCall& aCall,
                  Duration aTimeout,
                  FetchCallback aDone)
{
  ++this->calls;
  HttpRequest request(http::string_to_verb(aCall.method), aCall.target, 11);
  request.set(http::field::host, ToString(this->address));
  if (!aCall.body.empty()) {
    request.set(http::field::content_type, "application/json");
    request.body() = aCall.body;
    request.prepare_payload();
  }
  CallOptions options;
  options.timeout = aTimeout;
  options.idleTimeout = kIdleTimeout;
  Fetch(
    this->pool, this->address, std::move(request), options, std::move(aDone));
}

void
StoreClient::Transact(const StoreTransaction& aTransaction, OutcomeDone aDone)
{
  this->Call(EncodeTransaction(aTransaction),
             this->timeout,
             [done = std::move(aDone)](Result<HttpResponse> aAnswer) {
               if (!aAnswer) {
                 done(tl::unexpected(aAnswer.error()));
                 return;
               }
               done(ParseOutcome(aAnswer->result_int(), aAnswer->body()));
             });
}

void
StoreClient::Read(const std::string& aTable,
                  const std::string& aPart,
                  RowsDone aDone)
{
  this->ReadMore(
    { aTable, aPart, "" }, std::make_shared<StoreRows>(), std::move(aDone));
}

void
StoreClient::ReadMore(const StoreKey& aFrom,
                      std::shared_ptr<StoreRows> aRows,
                      RowsDone aDone)
{
  this->ReadFrom(
    aFrom,
    [this, aFrom, rows = std::move(aRows), done = std::move(aDone)](
      Result<StoreRows> aPage) {
      if (!aPage) {
        done(std::move(aPage));
        return;
      }
      if (rows->version == 0) {
        rows->version = aPage->version;
      }
      rows->rows.insert(
        rows->rows.end(), aPage->rows.begin(), aPage->rows.end());
      if (!aPage->hasMore || aPage->rows.empty()) {
        done(*rows);
        return;
      }
      // The next key in byte order after the last one.
      auto next = aPage->rows.back().key;
      next.key.push_back('\x01');
      this->ReadMore(next, rows, done);
    });
}

void
StoreClient::ReadParts(const std::string& aTable,
                       std::vector<std::string> aParts,
                       PartRead aRead,
                       PartsDone aDone)
{
  this->ReadNextPart(std::make_shared<PartsRead>(PartsRead{
    aTable, std::move(aParts), std::move(aRead), std::move(aDone) }));
}

void
StoreClient::ReadNextPart(const std::shared_ptr<PartsRead>& aParts)
{
  if (aParts->left.empty()) {
    aParts->done(aParts->version);
    return;
  }
  auto part = aParts->left.back();
  aParts->left.pop_back();
  this->Read(
    aParts->table, part, [this, aParts, part](Result<StoreRows> aRows) {
      if (!aRows) {
        aParts->done(tl::unexpected(aRows.error()));
        return;
      }
      if (aParts->version == 0) {
        aParts->version = aRows->version;
      }
      aParts->read(part, *aRows);
      this->ReadNextPart(aParts);
    });
}

void
StoreClient::ReadFrom(const StoreKey& aFrom, RowsDone aDone)
{
  this->Call(EncodeReadRequest(aFrom.table, aFrom.part, aFrom.key),
             this->timeout,
             [done = std::move(aDone)](Result<HttpResponse> aAnswer) {
               if (!aAnswer) {
                 done(tl::unexpected(aAnswer.error()));
                 return;
               }
               done(ParseRows(aAnswer->result_int(), aAnswer->body()));
             });
}

void
StoreClient::Watch(const std::string& aTable,
                   RowVersion aAfter,
                   Duration aWait,
                   RowsDone aDone)
{
  this->Call(EncodeWatchRequest(aTable, aAfter, aWait),
             aWait + kWatchSlack,
             [done = std::move(aDone)](Result<HttpResponse> aAnswer) {
               if (!aAnswer) {
                 done(tl::unexpected(aAnswer.error()));
                 return;
               }
               done(ParseRows(aAnswer->result_int(), aAnswer->body()));
             });
}

} // namespace fescuetiller
