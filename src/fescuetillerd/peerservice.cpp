#include "fescuetillerd/peerservice.h"

namespace fescuetiller {

PeerService::PeerService(Router& aRouter, OnRows aOnRows)
  : router(aRouter)
  , onRows(std::move(aOnRows))
{
}

grpc::Status
PeerService::Forward(grpc::ServerContext* /*aContext*/,
                     const wire::ForwardRequest* aRequest,
                     wire::ForwardReply* aReply)
{
  Request request;
  request.requestId = aRequest->request_id();
  request.service = aRequest->service();
  request.requestClass = aRequest->request_class();
  request.key = aRequest->key();
  request.body = aRequest->body();
  request.deadline =
    BootClock::now() + std::chrono::milliseconds(aRequest->remaining_ms());
  *aReply = ToWire(this->router.HandleForwarded(request));
  return grpc::Status::OK;
}

grpc::Status
PeerService::Exchange(grpc::ServerContext* /*aContext*/,
                      const wire::Deltas* aDeltas,
                      wire::Deltas* /*aReply*/)
{
  std::vector<Row> rows;
  for (const auto& row : aDeltas->rows()) {
    rows.push_back(FromWire(row));
  }
  this->onRows(rows);
  return grpc::Status::OK;
}

} // namespace fescuetiller
