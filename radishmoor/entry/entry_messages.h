// Messages into and actions out of the entry process without I/O
// (entry_core.h).

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

// A request as the HTTP layer read it.
struct CallerRequest {
  RequestId id;
  PoolId service;
  std::string operation;  // Second path segment; run times are learned by it.
  bool idempotent = true;
  std::string key;         // Idempotency key; may be empty.
  uint64_t body_hash = 0;  // Of method, target and body.
  Duration deadline{};     // 0: the default of the service.
};

// What a backend server answered. `encoded` holds the whole answer for a repeat
// of the same key; it is needed only when EntryCore::keyed(connection).
struct BackendAnswer {
  ConnectionId connection;
  unsigned status = 200;
  bool not_run = false;  // Radishmoor-Run: not-run
  bool leaving = false;  // Radishmoor-Leaving: 1
  bool reusable = true;
  std::string encoded;
};

// A process of a seed address introduces itself; answered by heartbeats.
struct PeerHello {
  MemberId from;
  ZoneId zone;
  std::string address;
};

// Hosts whose backend servers told the sender that they are leaving. Sent at
// once and repeated each second for as long as it holds.
struct LeavingNotice {
  std::vector<HostId> hosts;
};

using PeerMessage = std::variant<PeerHello,
                                 Heartbeat,
                                 ConfigPeerMessage,
                                 SlotDemand,
                                 SlotGrant,
                                 LeavingNotice>;

// Actions.

struct OpenBackendConnection {
  ConnectionId connection;
  HostId host;
  std::string address;
};
struct WriteBackendRequest {
  ConnectionId connection;
  RequestId request;
};
// A request that does no work (OPTIONS *), answered by any HTTP server.
struct WriteBackendProbe {
  ConnectionId connection;
};
struct CloseBackendConnection {
  ConnectionId connection;
};
// Deliver the answer that the connection carried in this call.
struct DeliverAnswer {
  RequestId request;
  ConnectionId connection;
};
// Deliver the stored answer of an earlier request with the same key.
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
// The request was cancelled by its caller: nothing is delivered.
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
// Another process with the same id took over: this one must end.
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
