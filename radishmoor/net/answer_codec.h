// Encoding of a backend server's answer as it is stored in the claim row of a
// request with an idempotency key. The format is Thrift's compact protocol with
// the struct StoredAnswer of idl/peer.thrift.

#ifndef RADISHMOOR_NET_ANSWER_CODEC_H_
#define RADISHMOOR_NET_ANSWER_CODEC_H_

#include <optional>
#include <string>

#include "radishmoor/net/http_message.h"

namespace radishmoor {

std::string EncodeAnswer(const HttpResponse& answer);
// Returns nullopt if `bytes` is not a valid encoding.
std::optional<HttpResponse> DecodeAnswer(const std::string& bytes);

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_ANSWER_CODEC_H_
