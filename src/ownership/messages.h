#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "ownership/records.h"

namespace fescuetiller {

/** A holder asks its grantor to extend its lease. */
struct Renewal
{
  Incarnation holder = kNoIncarnation;
  Incarnation grantor = kNoIncarnation;
  uint64_t sequence = 0;
};

/** The grantor's promise for one renewal. */
struct RenewalAck
{
  Incarnation holder = kNoIncarnation;
  Incarnation grantor = kNoIncarnation;
  uint64_t sequence = 0;
};

/** What became of a transaction that was started. */
struct TransactionAnswer
{
  uint64_t id = 0;
  Result<TransactionResult> result;
};

/** Rows learned from the table service or from another daemon. */
struct RowsLearned
{
  std::vector<Row> rows;
};

/** The backend server beside this daemon announced itself. */
struct BackendAnnounced
{
  std::string service;
  std::string address;
  uint32_t slots = 0;
  uint32_t connections = 0;
  bool checksGrant = false;
};

/** The backend server beside this daemon no longer answers. */
struct BackendLost
{
  /** When the latest grants that were sent to it lapse. */
  Time grantsLapseAt;
};

/** The backend server answers again. */
struct BackendReturned
{};

/** Whether the table service answered the last read. */
struct StoreReachable
{
  bool reachable = true;
};

/** No request of a partition that stopped admitting is running any more. */
struct PartitionIdle
{
  PartitionId partition;
};

/** Give up every partition and take none; undo with aDrain false. */
struct DrainRequested
{
  bool drain = true;
};

/** An operator vouches that a member's process runs no more. */
struct MemberDeclaredLost
{
  Incarnation member = kNoIncarnation;
};

/** Leave for good once every partition has been handed over. */
struct StopRequested
{};

/** Busy slots, smoothed, as this daemon measured them for its partitions. */
struct LoadMeasured
{
  std::map<PartitionId, double> partitions;
};

/** Busy slots, smoothed, of other daemons' backend servers. */
struct PeerLoadsLearned
{
  std::map<Incarnation, double> servers;
};

/** Everything that reaches the ownership systems between two ticks. */
using Input = std::variant<Renewal,
                           RenewalAck,
                           TransactionAnswer,
                           RowsLearned,
                           BackendAnnounced,
                           BackendLost,
                           BackendReturned,
                           StoreReachable,
                           PartitionIdle,
                           DrainRequested,
                           MemberDeclaredLost,
                           StopRequested,
                           LoadMeasured,
                           PeerLoadsLearned>;

/** Send a renewal to a peer's control address. */
struct SendRenewal
{
  std::string address;
  Renewal renewal;
};

/** Send an acknowledgement to the address its renewal came from. */
struct SendAck
{
  std::string address;
  RenewalAck ack;
};

/** Start a transaction; its TransactionAnswer carries the same id. */
struct StartTransaction
{
  uint64_t id = 0;
  Transaction transaction;
};

/** Send rows to another daemon that acts on them, e.g. a new owner. */
struct PushRows
{
  std::string address;
  std::vector<Row> rows;
};

/** Everything that the ownership systems ask for in one tick. */
using Output = std::variant<SendRenewal, SendAck, StartTransaction, PushRows>;

} // namespace fescuetiller
