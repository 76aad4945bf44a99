// Rules of the HTTP interface for callers: which pool a request is for, whether
// it is idempotent, which headers are forwarded, and the form of a refusal
// (section 5.1 of the design).

#ifndef RADISHMOOR_SERVICE_HTTP_RULES_H_
#define RADISHMOOR_SERVICE_HTTP_RULES_H_

#include <string_view>
#include <variant>

#include "radishmoor/entry/entry_messages.h"
#include "radishmoor/net/http_message.h"

namespace radishmoor {

// HTTP status and reason code for a request that is refused because it is not
// valid.
struct BadRequest {
  unsigned status = 400;
  std::string reason;
};

// Parses the target "/SERVICE/OPERATION/..." and the headers
// Radishmoor-Deadline-Ms, Radishmoor-Idempotent and Idempotency-Key.
std::variant<CallerRequest, BadRequest> ReadCallerRequest(
    RequestId id,
    const HttpRequest& request);

// Returns the request as it is sent to a backend server: without the headers
// that apply only to the caller's connection, and with the service as Host.
HttpRequest ForwardedRequest(const HttpRequest& request,
                             std::string_view service);

// Returns the answer as it is sent to the caller: without the headers that
// apply only to the connection to the backend server.
HttpResponse ForwardedAnswer(HttpResponse answer);

// Returns the response that tells the caller why the request was refused and
// whether it may have run.
HttpResponse RefusalResponse(const RefuseRequest& refusal);

}  // namespace radishmoor

#endif  // RADISHMOOR_SERVICE_HTTP_RULES_H_
