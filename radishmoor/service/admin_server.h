// Admin pages of a process: /healthz, /readyz, /metrics, /timeline and /status.
//
//   AdminServer admin(loop, {.ready = ..., .metrics = ..., .timeline = ...,
//                            .status = ...});
//   Endpoint bound = admin.Listen(endpoint);
//
// /healthz answers 200 while the process runs. The load balancer asks /readyz:
// 200 when the process accepts work, else 503.

#ifndef RADISHMOOR_SERVICE_ADMIN_SERVER_H_
#define RADISHMOOR_SERVICE_ADMIN_SERVER_H_

#include <functional>
#include <string>

#include "radishmoor/net/http_server.h"

namespace radishmoor {

class EventLoop;

struct AdminPages {
  std::function<bool()> ready;
  std::function<std::string()> metrics;   // Text exposition format.
  std::function<std::string()> timeline;  // JSON.
  std::function<std::string()> status;    // JSON.
};

class AdminServer {
 public:
  AdminServer(EventLoop& loop, AdminPages pages);

  // Throws std::system_error when it cannot bind.
  Endpoint Listen(const Endpoint& endpoint);

 private:
  HttpResponse Page(const HttpRequest& request) const;

  AdminPages pages_;
  HttpServer server_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_ADMIN_SERVER_H_
