#pragma once

namespace fescuetiller::headers {

/** Identifies one client attempt; echoed by the backend server. */
constexpr const char* kRequestId = "X-Request-Id";
/** Milliseconds for which the sender still waits for the response. */
constexpr const char* kTimeLeft = "X-Timeout-Ms";
/** The only backend server that may run the request. */
constexpr const char* kTargetServer = "X-Target-Instance";
/** Service of the instance where the request originated. */
constexpr const char* kCallerService = "X-Caller-Service";
/** Key of a request to a service that owns keys. */
constexpr const char* kKey = "X-Shard-Key";
/** Proves that the response comes from the backend server. */
constexpr const char* kSignature = "X-Server-Signature";
/** The backend server did not run the request. */
constexpr const char* kNotExecuted = "X-Not-Executed";
/** Load of the backend server: running requests, waiting requests, slots, and
 * of some servers how long work takes at this moment, in percent of the usual
 * time. */
constexpr const char* kLoad = "X-Server-Load";
/** Milliseconds for which the backend server stays cold; 0: it is warm. In
 * responses to status checks. */
constexpr const char* kColdTime = "X-Cold-Ms";
/** Requests per second that the backend server accepts from all daemons
 * together. */
constexpr const char* kRequestLimit = "Server-Limit";
/** Has the value kIsLeaving if the backend server is about to shut down. */
constexpr const char* kLeaving = "Server-Leaving";
constexpr const char* kIsLeaving = "1";
/** Seconds after which a client may retry; fractions are allowed. */
constexpr const char* kRetryAfter = "Retry-After";

/** Era of the store, in all of its responses; rises by one each time that the
 * store comes back from an older copy. */
constexpr const char* kStoreEra = "Store-Era";

/** Path of the check whether a daemon accepts new clients. */
constexpr const char* kReadinessPath = "/v1/ready";

/** Separates the id of a running request from the suffix that identifies a call
 * made by that request. */
constexpr char kCallSeparator = '.';

} // namespace fescuetiller::headers
