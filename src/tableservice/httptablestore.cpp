#include "tableservice/httptablestore.h"

#include <httplib.h>

#include "tableservice/rowcodec.h"
#include "wire/wire.h"

namespace fescuetiller {

namespace {

/** Whether an HTTP failure leaves open that the server acted. */
ErrorCode
CodeOf(httplib::Error aError)
{
  bool notSent = aError == httplib::Error::Connection ||
                 aError == httplib::Error::ConnectionTimeout;
  return notSent ? ErrorCode::Unavailable : ErrorCode::Unknown;
}

Result<ReadResult>
ParseRead(const std::string& aBody, const std::string& aPeer)
{
  wire::ReadResponse response;
  auto parsed = FromJson(aBody, response, aPeer);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  ReadResult result;
  result.revision = response.revision();
  for (const auto& row : response.rows()) {
    result.rows.push_back(FromWire(row));
  }
  return result;
}

} // namespace

HttpTableStore::HttpTableStore(const std::string& aAddress, Duration aTimeout)
  : address(aAddress)
  , client(std::make_unique<httplib::Client>("http://" + aAddress))
{
  this->client->set_connection_timeout(aTimeout);
  this->client->set_read_timeout(aTimeout);
  this->client->set_write_timeout(aTimeout);
  this->client->set_keep_alive(true);
  this->client->set_tcp_nodelay(true);
}

HttpTableStore::~HttpTableStore() = default;

Result<std::string>
HttpTableStore::Post(const std::string& aPath, const std::string& aBody)
{
  auto response = this->client->Post(aPath, aBody, "application/json");
  if (!response) {
    return tl::unexpected(Error{ CodeOf(response.error()),
                                 "table service " + aPath,
                                 this->address,
                                 httplib::to_string(response.error()) });
  }
  if (response->status != 200) {
    auto code =
      response->status == 503 ? ErrorCode::Unavailable : ErrorCode::Unknown;
    return tl::unexpected(
      Error{ code,
             "table service " + aPath,
             this->address,
             "HTTP status " + std::to_string(response->status) });
  }
  return response->body;
}

Result<TransactionResult>
HttpTableStore::Transact(const Transaction& aChange)
{
  auto body = this->Post("/v1/transact", ToJson(ToWire(aChange)));
  if (!body) {
    return tl::unexpected(body.error());
  }
  wire::TransactResponse response;
  auto parsed = FromJson(*body, response, this->address);
  if (!parsed) {
    Error error = parsed.error();
    error.code = ErrorCode::Unknown;
    return tl::unexpected(error);
  }
  TransactionResult result;
  result.committed = response.committed();
  result.revision = response.revision();
  for (const auto& row : response.conflicts()) {
    result.conflicts.push_back(FromWire(row));
  }
  return result;
}

Result<ReadResult>
HttpTableStore::ReadRows(const std::vector<RowKey>& aKeys)
{
  ReadResult all;
  std::map<std::string, wire::ReadRequest> byTable;
  for (const auto& key : aKeys) {
    byTable[key.table].set_table(key.table);
    byTable[key.table].add_keys(key.key);
  }
  for (const auto& [table, request] : byTable) {
    auto body = this->Post("/v1/read", ToJson(request));
    if (!body) {
      return tl::unexpected(body.error());
    }
    auto part = ParseRead(*body, this->address);
    if (!part) {
      return part;
    }
    all.revision = part->revision;
    all.rows.insert(all.rows.end(), part->rows.begin(), part->rows.end());
  }
  return all;
}

Result<ReadResult>
HttpTableStore::ReadChanges(const std::string& aTable, RowVersion aSince)
{
  wire::ReadRequest request;
  request.set_table(aTable);
  request.set_since_revision(aSince);
  auto body = this->Post("/v1/read", ToJson(request));
  if (!body) {
    return tl::unexpected(body.error());
  }
  return ParseRead(*body, this->address);
}

} // namespace fescuetiller
