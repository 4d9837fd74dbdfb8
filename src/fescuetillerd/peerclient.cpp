#include "fescuetillerd/peerclient.h"

#include <algorithm>

#include <grpcpp/grpcpp.h>

namespace fescuetiller {

namespace {

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
  return outcome;
}

PeerClient::PeerClient(size_t aMaxChannels)
  : maxChannels(aMaxChannels)
{
}

PeerClient::Stub
PeerClient::Find(const std::string& aAddress)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto known = this->byAddress.find(aAddress);
  if (known != this->byAddress.end()) {
    this->recent.splice(this->recent.begin(), this->recent, known->second);
    return known->second->second;
  }
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  auto channel = grpc::CreateCustomChannel(
    aAddress, grpc::InsecureChannelCredentials(), arguments);
  Stub stub = wire::Peer::NewStub(channel);
  this->recent.emplace_front(aAddress, stub);
  this->byAddress[aAddress] = this->recent.begin();
  if (this->recent.size() > this->maxChannels) {
    this->byAddress.erase(this->recent.back().first);
    this->recent.pop_back();
  }
  return stub;
}

Outcome
PeerClient::Forward(const std::string& aAddress, const Request& aRequest)
{
  Duration remaining = aRequest.deadline - BootClock::now();
  if (remaining <= Duration(0)) {
    return NotRun("deadline passed", Duration(0));
  }
  wire::ForwardRequest request;
  request.set_request_id(aRequest.requestId);
  request.set_service(aRequest.service);
  request.set_request_class(aRequest.requestClass);
  request.set_key(aRequest.key);
  request.set_body(aRequest.body);
  request.set_remaining_ms(static_cast<uint32_t>(ToMilliseconds(remaining)));
  grpc::ClientContext context;
  context.set_deadline(After(remaining));
  wire::ForwardReply reply;
  auto status = this->Find(aAddress)->Forward(&context, request, &reply);
  if (!status.ok()) {
    return UnknownOutcome("forward to " + aAddress + ": " +
                          status.error_message());
  }
  return FromWire(reply);
}

Result<wire::Deltas>
PeerClient::Exchange(const std::string& aAddress, const wire::Deltas& aDeltas)
{
  grpc::ClientContext context;
  context.set_deadline(After(kExchangeTimeout));
  wire::Deltas reply;
  auto status = this->Find(aAddress)->Exchange(&context, aDeltas, &reply);
  if (!status.ok()) {
    return tl::unexpected(Error{ ErrorCode::Unavailable,
                                 "exchange deltas",
                                 aAddress,
                                 status.error_message() });
  }
  return reply;
}

} // namespace fescuetiller
