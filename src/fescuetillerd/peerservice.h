#pragma once

#include <functional>

#include "fescuetillerd/cancelwatch.h"
#include "fescuetillerd/router.h"
#include "wire/wire.h"

namespace fescuetiller {

/** gRPC service that other daemons call. */
class PeerService : public wire::Peer::Service
{
public:
  /** Receives rows that another daemon sent. */
  using OnRows = std::function<void(const std::vector<Row>&)>;

  PeerService(Router& aRouter,
              RequestMemory& aMemory,
              BackendLink& aBackend,
              OnRows aOnRows);

  grpc::Status Forward(grpc::ServerContext* aContext,
                       const wire::ForwardRequest* aRequest,
                       wire::ForwardReply* aReply) override;

  grpc::Status Settle(grpc::ServerContext* aContext,
                      const wire::SettleRequest* aRequest,
                      wire::ForwardReply* aReply) override;

  grpc::Status Exchange(grpc::ServerContext* aContext,
                        const wire::Deltas* aDeltas,
                        wire::Deltas* aReply) override;

private:
  Router& router;
  RequestMemory& memory;
  CancelWatch cancels;
  OnRows onRows;
};

} // namespace fescuetiller
