// Converts addresses from the settings to endpoints of the network layer. There
// are two types because ops/ may not depend on net/.

#ifndef RADISHMOOR_SERVICE_ENDPOINTS_H_
#define RADISHMOOR_SERVICE_ENDPOINTS_H_

#include "radishmoor/net/http_message.h"
#include "radishmoor/ops/settings.h"

namespace radishmoor {

inline Endpoint ToEndpoint(const SocketAddress& address) {
  return {address.ip, address.port};
}

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_ENDPOINTS_H_
