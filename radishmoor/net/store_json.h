// Encodes store requests and replies as HTTP messages with JSON bodies. Used by
// the store client and by the platform stand-in.
//
//   POST /table/read    {"keys": [...]}                   -> {"rows": [...]}
//   POST /table/scan    {"prefix", "after", "limit"}      -> {"rows": [...]}
//   POST /table/commit  {"operation", "expects", "writes"}
//        200 {"versions": [...]}  or  409 {"rows": [...]}
//   PUT  /object/<key>, GET /object/<key>, GET /objects?prefix=<prefix>
//   GET  /hosts                                           -> {"hosts": [...]}
//
// A row is {"key", "version", "value"}; a value with bytes outside ASCII is in
// "value_hex" instead. Status 503 means that the request had no effect.

#ifndef RADISHMOOR_NET_STORE_JSON_H_
#define RADISHMOOR_NET_STORE_JSON_H_

#include <stdexcept>

#include "radishmoor/net/http_message.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

// Thrown for a message that does not have the form above.
class StoreFormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

HttpRequest EncodeStoreRequest(const StoreRequest& request);
// Throws StoreFormatError.
StoreRequest DecodeStoreRequest(const HttpRequest& request);

HttpResponse EncodeStoreReply(const StoreReply& reply);
// Decodes the response to `request`. Throws StoreFormatError.
StoreReply DecodeStoreReply(const StoreRequest& request,
                            const HttpResponse& response);

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_STORE_JSON_H_
