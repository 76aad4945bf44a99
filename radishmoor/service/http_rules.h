// The HTTP interface towards callers: which pool a request is for, whether it
// is idempotent, what is passed on, and how a refusal looks (design 5.1).

#ifndef RADISHMOOR_SERVICE_HTTP_RULES_H_
#define RADISHMOOR_SERVICE_HTTP_RULES_H_

#include <string_view>
#include <variant>

#include "radishmoor/entry/entry_messages.h"
#include "radishmoor/net/http_message.h"

namespace radishmoor {

// Input that cannot become a request.
struct BadRequest {
  unsigned status = 400;
  std::string reason;
};

std::variant<CallerRequest, BadRequest> ReadCallerRequest(
    RequestId id,
    const HttpRequest& request);

// The request as sent to a backend server: without headers that concern only
// the caller's connection, and with the service as Host.
HttpRequest ForwardedRequest(const HttpRequest& request,
                             std::string_view service);

// The answer as sent to the caller.
HttpResponse ForwardedAnswer(HttpResponse answer);

HttpResponse RefusalResponse(const RefuseRequest& refusal);

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_HTTP_RULES_H_
