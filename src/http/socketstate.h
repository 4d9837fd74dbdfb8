#pragma once

#include <cstdint>

#include <sys/types.h>

#include "http/messages.h"

namespace fescuetiller {

/** Checks without waiting whether data has arrived, and leaves it unread.
 * @return 1 if there is data, 0 if the peer closed the connection, -1 if there
 * is none yet (errno EAGAIN or EWOULDBLOCK) or the connection failed. */
ssize_t
PeekByte(Tcp::socket& aSocket);

/** Reads without waiting what has arrived.
 * @return Number of bytes; 0 if the peer closed the connection, -1 if there is
 * nothing yet (errno EAGAIN or EWOULDBLOCK) or the connection failed. */
ssize_t
ReadAvailable(Tcp::socket& aSocket, const asio::mutable_buffer& aBuffer);

/** Bytes that were written and that the peer has not acknowledged yet. */
uint64_t
BytesInFlight(Tcp::socket& aSocket);

/** Time that a message and its acknowledgement take at present, as the kernel
 * estimates it; 0 if it does not tell. */
Duration
RoundTripTime(Tcp::socket& aSocket);

/** Makes the kernel drop further attempts to connect to a listening socket.
 * Their clients repeat them, and find the address closed in the end. Those that
 * have been replied to are completed. */
void
DropConnectionAttempts(Tcp::acceptor& aAcceptor);

} // namespace fescuetiller
