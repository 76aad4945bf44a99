// Messages to EntryCore (entry_core.h) and the actions that it returns.

#ifndef RADISHMOOR_ENTRY_ENTRY_MESSAGES_H_
#define RADISHMOOR_ENTRY_ENTRY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "radishmoor/backend/backend_pool.h"
#include "radishmoor/base/ids.h"
#include "radishmoor/base/time.h"
#include "radishmoor/base/timeline.h"
#include "radishmoor/config/config_view.h"
#include "radishmoor/membership/peers.h"
#include "radishmoor/slots/slot_shares.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

// A caller's request, parsed by the HTTP layer.
struct CallerRequest {
  RequestId id;
  PoolId service;
  // Second path segment. Run times are recorded for each operation.
  std::string operation;
  bool idempotent = true;
  std::string key;         // Idempotency key; may be empty.
  uint64_t body_hash = 0;  // Hash of method, target and body.
  // Time from the arrival to the deadline; 0 for the default of the service.
  Duration deadline{};
};

// The answer of a backend server. `encoded` holds the whole answer, which is
// stored and returned to later requests with the same key. It may be left empty
// unless EntryCore::keyed(connection).
struct BackendAnswer {
  ConnectionId connection;
  unsigned status = 200;
  bool not_run = false;  // Radishmoor-Run: not-run
  bool leaving = false;  // Radishmoor-Leaving: 1
  // The connection may carry another exchange.
  bool reusable = true;
  std::string encoded;
};

// First message of a process that was given the receiver as a seed address. The
// receiver then sends it heartbeats.
struct PeerHello {
  MemberId from;
  ZoneId zone;
  std::string address;
};

// Lists hosts whose backend servers announced to the sender that they are
// leaving. Sent immediately, and repeated each second while they are leaving.
struct LeavingNotice {
  std::vector<HostId> hosts;
};

using PeerMessage = std::variant<PeerHello,
                                 Heartbeat,
                                 ConfigPeerMessage,
                                 SlotDemand,
                                 SlotGrant,
                                 LeavingNotice>;

struct OpenBackendConnection {
  ConnectionId connection;
  HostId host;
  std::string address;
};
struct WriteBackendRequest {
  ConnectionId connection;
  RequestId request;
};
// Writes a request that does no work (OPTIONS *) and that any HTTP server
// answers.
struct WriteBackendProbe {
  ConnectionId connection;
};
struct CloseBackendConnection {
  ConnectionId connection;
};
// Delivers the backend answer with which EntryCore was called. It came on
// `connection`.
struct DeliverAnswer {
  RequestId request;
  ConnectionId connection;
};
// Delivers the stored answer of an earlier request with the same key.
struct ReplayAnswer {
  RequestId request;
  std::string encoded;
};
struct RefuseRequest {
  RequestId request;
  unsigned status = 503;
  std::string reason;
  bool may_have_run = false;
  Duration retry_after{};
};
// Ends a request that its caller cancelled. Nothing is delivered.
struct DropRequest {
  RequestId request;
};
struct SendPeerMessage {
  MemberId to;
  std::string address;
  PeerMessage message;
};
struct RecordEvent {
  TimelineEvent event;
};
// This process must end, because a newer one has the same member id.
struct EndProcess {
  std::string why;
};

using EntryAction = std::variant<OpenBackendConnection,
                                 WriteBackendRequest,
                                 WriteBackendProbe,
                                 CloseBackendConnection,
                                 DeliverAnswer,
                                 ReplayAnswer,
                                 RefuseRequest,
                                 DropRequest,
                                 StoreCall,
                                 SendPeerMessage,
                                 RecordEvent,
                                 EndProcess>;
using EntryActions = std::vector<EntryAction>;

}  // namespace radishmoor

#endif  // RADISHMOOR_ENTRY_ENTRY_MESSAGES_H_
