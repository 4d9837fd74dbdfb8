#pragma once

namespace fescuetiller::headers {

/** Identifies one client attempt; echoed by the backend server. */
constexpr const char* kRequestId = "X-Request-Id";
/** Milliseconds that the sender still waits for the answer. */
constexpr const char* kTimeLeft = "X-Timeout-Ms";
/** The only backend server that may run the request. */
constexpr const char* kTargetServer = "X-Target-Instance";
/** Service of the machine where the request began. */
constexpr const char* kCallerService = "X-Caller-Service";
/** Key of a request to a service that owns keys. */
constexpr const char* kKey = "X-Shard-Key";
/** Proof that the answer is the backend server's. */
constexpr const char* kSignature = "X-Server-Signature";
/** The backend server did not run the request. */
constexpr const char* kNotExecuted = "X-Not-Executed";
/** Running requests, waiting requests, slots. */
constexpr const char* kLoad = "X-Server-Load";
/** Seconds after which a client may come back; fractions are allowed. */
constexpr const char* kRetryAfter = "Retry-After";

/** Answer to the question whether a daemon takes new clients. */
constexpr const char* kReadinessPath = "/v1/ready";

/** Between the id of a running request and the rest of the id of a call that it
 * makes. */
constexpr char kCallSeparator = '.';

} // namespace fescuetiller::headers
