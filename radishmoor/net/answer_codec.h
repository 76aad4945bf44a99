// Encoding of a whole answer for storage with its claim.

#ifndef RADISHMOOR_NET_ANSWER_CODEC_H_
#define RADISHMOOR_NET_ANSWER_CODEC_H_

#include <optional>
#include <string>

#include "radishmoor/net/http_message.h"

namespace radishmoor {

std::string EncodeAnswer(const HttpResponse& answer);
std::optional<HttpResponse> DecodeAnswer(const std::string& bytes);

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_ANSWER_CODEC_H_
