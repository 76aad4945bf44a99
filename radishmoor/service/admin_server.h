// Serves the admin pages of a process: /healthz, /readyz, /metrics, /timeline
// and /status.
//
//   AdminServer admin(loop, {.ready = ..., .metrics = ..., .timeline = ...,
//                            .status = ...});
//   Endpoint bound = admin.Listen(endpoint);
//
// /healthz answers 200 while the process runs. /readyz, which load balancers
// ask, answers 200 while the process accepts work, else 503.

#ifndef RADISHMOOR_SERVICE_ADMIN_SERVER_H_
#define RADISHMOOR_SERVICE_ADMIN_SERVER_H_

#include <functional>
#include <string>

#include "radishmoor/net/http_server.h"

namespace radishmoor {

class EventLoop;

// Each function is called for every request of its page.
struct AdminPages {
  std::function<bool()> ready;
  std::function<std::string()> metrics;   // Text exposition format.
  std::function<std::string()> timeline;  // JSON.
  std::function<std::string()> status;    // JSON.
};

class AdminServer {
 public:
  AdminServer(EventLoop& loop, AdminPages pages);

  // Returns the bound endpoint; port 0 lets the kernel choose. Throws
  // std::system_error if the address cannot be bound.
  Endpoint Listen(const Endpoint& endpoint);

 private:
  HttpResponse HandleRequest(const HttpRequest& request) const;

  AdminPages pages_;
  HttpServer server_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_ADMIN_SERVER_H_
