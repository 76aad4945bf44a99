#include "radishmoor/net/http_message.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>
#include <charconv>

namespace radishmoor {

std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name) {
  for (const auto& [key, value] : headers) {
    if (boost::beast::iequals(key, name))
      return value;
  }
  return std::nullopt;
}

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  std::string ip(text.substr(0, colon));
  std::string_view digits = text.substr(colon + 1);
  uint16_t port = 0;
  auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size())
    return std::nullopt;
  boost::system::error_code bad_address;
  boost::asio::ip::make_address(ip, bad_address);
  if (bad_address)
    return std::nullopt;
  return Endpoint{std::move(ip), port};
}

std::string FormatEndpoint(const Endpoint& endpoint) {
  return endpoint.ip + ":" + std::to_string(endpoint.port);
}

}  // namespace radishmoor
