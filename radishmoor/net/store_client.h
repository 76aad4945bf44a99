// The platform's table service, object store and host list, reached over HTTP.
// Another platform is supported by replacing store_client.cc.
//
//   StoreClient store(loop, endpoint, Seconds(2));
//   store.Execute(ReadRows{{"config/head"}}, [](StoreReply reply) { ... });

#ifndef RADISHMOOR_NET_STORE_CLIENT_H_
#define RADISHMOOR_NET_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "radishmoor/base/time.h"
#include "radishmoor/net/http_message.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

class EventLoop;

class StoreClient {
 public:
  // `timeout` bounds each request. At most 64 requests are outstanding; more
  // are answered with UnavailableReply, so that a slow store cannot make this
  // process hold unbounded memory.
  StoreClient(EventLoop& loop, const Endpoint& endpoint, Duration timeout);
  ~StoreClient();

  // Calls `callback` exactly once, not before Execute returns. A request that
  // was sent and not answered gives UnknownReply, one that was not sent
  // UnavailableReply.
  void Execute(const StoreRequest& request,
               std::function<void(StoreReply)> callback);

  // Requests by kind of reply, for the metrics endpoint.
  struct Counters {
    uint64_t requests = 0;
    uint64_t writes = 0;  // Of these, transactions and objects written.
    uint64_t unavailable = 0;
    uint64_t unknown = 0;
    uint64_t bytes_sent = 0;  // With HTTP headers.
    uint64_t bytes_received = 0;
  };
  const Counters& counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_STORE_CLIENT_H_
