#include "radishmoor/net/answer_codec.h"

#include <peer_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <memory>

namespace radishmoor {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

std::string EncodeAnswer(const HttpResponse& answer) {
  wire::StoredAnswer stored;
  stored.status = static_cast<int32_t>(answer.status);
  for (const auto& [name, value] : answer.headers) {
    wire::Header header;
    header.name = name;
    header.value = value;
    stored.headers.push_back(std::move(header));
  }
  stored.body = answer.body;
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocol protocol(buffer);
  stored.write(&protocol);
  return buffer->getBufferAsString();
}

std::optional<HttpResponse> DecodeAnswer(const std::string& bytes) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  buffer->write(reinterpret_cast<const uint8_t*>(bytes.data()),
                static_cast<uint32_t>(bytes.size()));
  // Without limits, a damaged length is allocated before it is refused.
  auto limit =
      static_cast<int32_t>(std::clamp<size_t>(bytes.size(), 1, INT32_MAX));
  TCompactProtocol protocol(buffer, limit, limit);
  wire::StoredAnswer stored;
  try {
    stored.read(&protocol);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  HttpResponse answer;
  answer.status = static_cast<unsigned>(stored.status);
  for (const wire::Header& header : stored.headers)
    answer.headers.emplace_back(header.name, header.value);
  answer.body = stored.body;
  return answer;
}

}  // namespace radishmoor
