// Client of the platform's table service, object store and host list over HTTP.
// Supporting another platform means replacing store_client.cc.
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
  // `timeout` applies to each request. At most 64 requests are outstanding;
  // further ones get UnavailableReply, so that a slow store cannot make the
  // memory of this process grow without bound.
  StoreClient(EventLoop& loop, const Endpoint& endpoint, Duration timeout);
  ~StoreClient();

  // Calls `callback` exactly once, after Execute() has returned, unless this
  // object is destroyed first. The reply is UnknownReply if the request was
  // sent but its answer is missing or cannot be decoded, and UnavailableReply
  // if it was not sent or the platform answered that it had no effect.
  void Execute(const StoreRequest& request,
               std::function<void(StoreReply)> callback);

  struct Counters {
    uint64_t requests = 0;
    uint64_t writes = 0;       // Requests that are CommitRows or PutObject.
    uint64_t unavailable = 0;  // Requests with UnavailableReply.
    uint64_t unknown = 0;      // Requests with UnknownReply.
    uint64_t bytes_sent = 0;   // Estimated, with HTTP headers.
    uint64_t bytes_received = 0;
  };
  const Counters& counters() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_STORE_CLIENT_H_
