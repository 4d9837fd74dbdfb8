#include "fescuetillerd/peerclient.h"

#include <algorithm>

#include <grpcpp/grpcpp.h>

namespace fescuetiller {

namespace {

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
constexpr int kKeepaliveMs = 1000;
constexpr int kKeepaliveTimeoutMs = 500;
constexpr Duration kExchangeTimeout = std::chrono::milliseconds(500);

std::chrono::system_clock::time_point
After(Duration aDuration)
{
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
           aDuration);
}

wire::OutcomeCode
ToWire(OutcomeCode aCode)
{
  switch (aCode) {
    case OutcomeCode::Done:
      return wire::OUTCOME_CODE_DONE;
    case OutcomeCode::NotRun:
      return wire::OUTCOME_CODE_NOT_RUN;
    case OutcomeCode::Unknown:
      return wire::OUTCOME_CODE_UNKNOWN;
  }
  return wire::OUTCOME_CODE_UNKNOWN;
}

OutcomeCode
FromWire(wire::OutcomeCode aCode)
{
  switch (aCode) {
    case wire::OUTCOME_CODE_DONE:
      return OutcomeCode::Done;
    case wire::OUTCOME_CODE_NOT_RUN:
      return OutcomeCode::NotRun;
    default:
      return OutcomeCode::Unknown;
  }
}

/** Finds silent connections by pings, but only while a call is open. A pool of
 * its own makes a new channel a new connection. */
grpc::ChannelArguments
Arguments()
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetMaxReceiveMessageSize(kMaxPeerMessageBytes);
  return arguments;
}

} // namespace

wire::ForwardReply
ToWire(const Outcome& aOutcome)
{
  wire::ForwardReply reply;
  reply.set_outcome(ToWire(aOutcome.code));
  reply.set_body(aOutcome.body);
  reply.set_content_type(aOutcome.contentType);
  reply.set_reason(aOutcome.reason);
  reply.set_retry_after_ms(
    static_cast<uint32_t>(ToMilliseconds(aOutcome.retryAfter)));
  reply.set_not_owner(aOutcome.notOwner);
  reply.set_outdated(aOutcome.outdated);
  reply.set_id_reused(aOutcome.idReused);
  return reply;
}

Outcome
FromWire(const wire::ForwardReply& aReply)
{
  Outcome outcome;
  outcome.code = FromWire(aReply.outcome());
  outcome.body = aReply.body();
  outcome.contentType = aReply.content_type();
  outcome.reason = aReply.reason();
  outcome.retryAfter = std::chrono::milliseconds(aReply.retry_after_ms());
  outcome.notOwner = aReply.not_owner();
  outcome.outdated = aReply.outdated();
  outcome.idReused = aReply.id_reused();
  return outcome;
}

wire::IssueStamp
ToWire(const IssueStamp& aStamp)
{
  wire::IssueStamp stamp;
  stamp.set_revision(aStamp.revision);
  stamp.set_tick(aStamp.tick);
  return stamp;
}

IssueStamp
FromWire(const wire::IssueStamp& aStamp)
{
  return { aStamp.revision(), aStamp.tick() };
}

PeerClient::PeerClient(size_t aMaxChannels, RequestMemory& aMemory)
  : maxChannels(aMaxChannels)
  , memory(aMemory)
{
}

PeerClient::LinkPointer
PeerClient::Find(const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto known = this->byAddress.find(aAddress);
  if (known != this->byAddress.end()) {
    this->recent.splice(this->recent.begin(), this->recent, known->second);
    return *known->second;
  }
  auto link = std::make_shared<Link>();
  link->address = aAddress;
  link->channel = grpc::CreateCustomChannel(
    aAddress, grpc::InsecureChannelCredentials(), Arguments());
  link->stub = wire::Peer::NewStub(link->channel);
  this->recent.push_front(link);
  this->byAddress[aAddress] = this->recent.begin();
  if (this->recent.size() > this->maxChannels) {
    this->byAddress.erase(this->recent.back()->address);
    this->recent.pop_back();
  }
  return link;
}

PeerClient::LinkPointer
PeerClient::FindConnected(const std::string& aAddress, Duration aRemaining)
{
  LinkPointer link = this->Find(aAddress);
  if (link->channel->GetState(true) == GRPC_CHANNEL_READY) {
    return link;
  }
  Duration wait = std::min(aRemaining, kConnectTimeout);
  return link->channel->WaitForConnected(After(wait)) ? link : nullptr;
}

void
PeerClient::Drop(const LinkPointer& aLink)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto known = this->byAddress.find(aLink->address);
  if (known != this->byAddress.end() && *known->second == aLink) {
    this->recent.erase(known->second);
    this->byAddress.erase(known);
  }
}

CallResult
PeerClient::Finish(const LinkPointer& aLink,
                   const grpc::Status& aStatus,
                   const wire::ForwardReply& aReply)
{
  if (!aStatus.ok()) {
    // What comes next goes over a new connection.
    this->Drop(aLink);
    return { CallEnd::Lost,
             UnknownOutcome(aLink->address + ": " + aStatus.error_message()) };
  }
  this->memory.SeeStamp(FromWire(aReply.stamp()));
  return { CallEnd::Answered, FromWire(aReply) };
}

CallResult
PeerClient::Forward(const Owner& aOwner,
                    const Request& aRequest,
                    bool aIdempotent)
{
  LinkPointer link =
    this->FindConnected(aOwner.address, aRequest.deadline - BootClock::now());
  Duration remaining = aRequest.deadline - BootClock::now();
  if (!link || remaining <= Duration(0)) {
    return { CallEnd::NotSent, Outcome() };
  }
  wire::ForwardRequest request;
  request.set_request_id(aRequest.requestId);
  request.set_service(aRequest.service);
  request.set_request_class(aRequest.requestClass);
  request.set_key(aRequest.key);
  request.set_body(aRequest.body);
  request.set_remaining_ms(static_cast<uint32_t>(ToMilliseconds(remaining)));
  request.set_owner(aOwner.incarnation);
  request.set_idempotent(aIdempotent);
  *request.mutable_stamp() = ToWire(aRequest.stamp);
  request.set_attempt(aRequest.attempt);
  grpc::ClientContext context;
  context.set_deadline(After(remaining));
  wire::ForwardReply reply;
  auto status = link->stub->Forward(&context, request, &reply);
  return this->Finish(link, status, reply);
}

CallResult
PeerClient::Settle(const Owner& aOwner, const Request& aRequest)
{
  Duration remaining = aRequest.deadline - BootClock::now();
  LinkPointer link = this->FindConnected(aOwner.address, remaining);
  if (!link || remaining <= Duration(0)) {
    return { CallEnd::NotSent, Outcome() };
  }
  RequestIdentity identity = IdentityOf(aRequest);
  wire::SettleRequest request;
  request.set_request_id(identity.requestId);
  request.set_service(aRequest.service);
  request.set_key(aRequest.key);
  request.set_content(identity.content);
  *request.mutable_stamp() = ToWire(identity.stamp);
  request.set_owner(aOwner.incarnation);
  request.set_owned_since(aOwner.ownedSince);
  request.set_remaining_ms(static_cast<uint32_t>(ToMilliseconds(remaining)));
  grpc::ClientContext context;
  context.set_deadline(After(remaining));
  wire::ForwardReply reply;
  auto status = link->stub->Settle(&context, request, &reply);
  return this->Finish(link, status, reply);
}

Result<wire::Deltas>
PeerClient::Exchange(const std::string& aAddress, const wire::Deltas& aDeltas)
{
  grpc::ClientContext context;
  context.set_deadline(After(kExchangeTimeout));
  wire::Deltas reply;
  auto status = this->Find(aAddress)->stub->Exchange(&context, aDeltas, &reply);
  if (!status.ok()) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "exchange deltas",
                                 aAddress,
                                 status.error_message() });
  }
  return reply;
}

} // namespace fescuetiller
