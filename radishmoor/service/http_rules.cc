#include "radishmoor/service/http_rules.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "radishmoor/base/hash.h"

namespace radishmoor {
namespace {

constexpr std::string_view kDeadlineHeader = "Radishmoor-Deadline-Ms";
constexpr std::string_view kIdempotentHeader = "Radishmoor-Idempotent";
constexpr std::string_view kKeyHeader = "Idempotency-Key";

// Longer deadlines are shortened to this. The drain gate of the control
// processes relies on it: no request that an unreachable entry process has
// accepted can still be answered after this time.
constexpr int64_t kMaxDeadlineMs = 600'000;

// Headers that are not forwarded: those that apply to one connection only (RFC
// 9110, 7.6.1), Content-Length, which is computed again, and
// Radishmoor-Leaving, with which a backend server tells the entry process that
// it is leaving.
constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "Connection", "Keep-Alive",     "Proxy-Connection",
    "TE",         "Trailer",        "Transfer-Encoding",
    "Upgrade",    "Content-Length", "Radishmoor-Leaving"};

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(
      kConnectionHeaders.begin(), kConnectionHeaders.end(),
      [name](std::string_view h) { return boost::beast::iequals(h, name); });
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  HttpHeaders result;
  for (const auto& header : headers) {
    if (!IsConnectionHeader(header.first))
      result.push_back(header);
  }
  return result;
}

// Splits "/service/operation/...?query" into {"service", "operation"}.
std::pair<std::string_view, std::string_view> SplitTarget(
    std::string_view target) {
  target = target.substr(0, target.find('?'));
  if (!target.starts_with('/'))
    return {};
  target.remove_prefix(1);
  size_t slash = target.find('/');
  if (slash == std::string_view::npos)
    return {target, {}};
  std::string_view rest = target.substr(slash + 1);
  return {target.substr(0, slash), rest.substr(0, rest.find('/'))};
}

bool IdempotentMethod(std::string_view method) {
  return method == "GET" || method == "HEAD" || method == "PUT" ||
         method == "DELETE" || method == "OPTIONS";
}

std::optional<int64_t> ReadDeadlineMs(std::string_view text) {
  int64_t value = 0;
  auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value < 1)
    return std::nullopt;
  return std::min(value, kMaxDeadlineMs);
}

uint64_t ContentHash(const HttpRequest& request) {
  uint64_t hash = StableHash(request.method);
  hash = StableHash(request.target, hash);
  return StableHash(request.body, hash);
}

}  // namespace

std::variant<CallerRequest, BadRequest> ReadCallerRequest(
    RequestId id,
    const HttpRequest& request) {
  auto [service, operation] = SplitTarget(request.target);
  if (service.empty())
    return BadRequest{404, "unknown-service"};
  CallerRequest result;
  result.id = id;
  result.service = PoolId(service);
  result.operation = std::string(operation);
  result.idempotent = IdempotentMethod(request.method);
  if (auto marked = FindHeader(request.headers, kIdempotentHeader)) {
    if (marked != "true" && marked != "false")
      return BadRequest{400, "bad-idempotent-header"};
    result.idempotent = marked == "true";
  }
  if (auto deadline = FindHeader(request.headers, kDeadlineHeader)) {
    auto millis = ReadDeadlineMs(*deadline);
    if (!millis)
      return BadRequest{400, "bad-deadline-header"};
    result.deadline = Milliseconds(*millis);
  }
  if (auto key = FindHeader(request.headers, kKeyHeader))
    result.key = std::string(*key);
  result.body_hash = ContentHash(request);
  return result;
}

HttpRequest ForwardedRequest(const HttpRequest& request,
                             std::string_view service) {
  HttpRequest forwarded{request.method, request.target,
                        EndToEndHeaders(request.headers), request.body};
  std::erase_if(forwarded.headers, [](const auto& header) {
    return boost::beast::iequals(header.first, "Host");
  });
  forwarded.headers.emplace_back("Host", std::string(service));
  return forwarded;
}

HttpResponse ForwardedAnswer(HttpResponse answer) {
  answer.headers = EndToEndHeaders(answer.headers);
  return answer;
}

HttpResponse RefusalResponse(const RefuseRequest& refusal) {
  std::string_view run = refusal.may_have_run ? "may-have-run" : "not-run";
  HttpResponse response;
  response.status = refusal.status;
  response.headers = {{"Content-Type", "application/json"},
                      {"Radishmoor-Run", std::string(run)},
                      {"Radishmoor-Reason", refusal.reason}};
  boost::json::object body{{"run", run}, {"reason", refusal.reason}};
  if (refusal.retry_after > Duration::zero()) {
    int64_t seconds = SecondsRoundedUp(refusal.retry_after);
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
    body["retry_after_s"] = seconds;
  }
  response.body = boost::json::serialize(body) + "\n";
  return response;
}

}  // namespace radishmoor
