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

// Returns the value of the first header named `name`, ignoring case, or nullopt
// if there is none.
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
  // For a response that a server sends: closes the connection after it.
  bool close = false;
};

// An IP address and a TCP port.
struct Endpoint {
  std::string ip;
  uint16_t port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

// Parses "ip:port". Returns nullopt for anything else; host names are not
// resolved.
std::optional<Endpoint> ParseEndpoint(std::string_view text);
std::string FormatEndpoint(const Endpoint& endpoint);

}  // namespace radishmoor

#endif  // RADISHMOOR_NET_HTTP_MESSAGE_H_
