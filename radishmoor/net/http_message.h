// HTTP requests and responses as plain values, free of Beast types.

#ifndef RADISHMOOR_NET_HTTP_MESSAGE_H_
#define RADISHMOOR_NET_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace radishmoor {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// First value of a header, compared without case; nullopt when it is absent.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name);

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  unsigned status = 200;
  HttpHeaders headers;
  std::string body;
  // Of a server: the connection ends with this response.
  bool close = false;
};

// A TCP endpoint: an IP number and a port.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Parses "ip:port". Returns nullopt for anything else, names included.
std::optional<Endpoint> ParseEndpoint(std::string_view text);
std::string FormatEndpoint(const Endpoint& endpoint);

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_HTTP_MESSAGE_H_
