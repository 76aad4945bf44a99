// The addresses of settings as endpoints of the network layer. The two types
// differ because settings may not depend on the network layer.

#ifndef RADISHMOOR_SERVICE_ENDPOINTS_H_
#define RADISHMOOR_SERVICE_ENDPOINTS_H_

#include "radishmoor/net/http_message.h"
#include "radishmoor/ops/settings.h"

namespace radishmoor {

inline Endpoint EndpointOf(const SocketAddress& address) {
  return {address.ip, address.port};
}

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_ENDPOINTS_H_
