#include "radishmoor/net/store_client.h"

#include <utility>

#include "radishmoor/net/event_loop.h"
#include "radishmoor/net/http_client.h"
#include "radishmoor/net/store_json.h"

namespace radishmoor {
namespace {

constexpr uint32_t kMaxOutstandingRequests = 64;

}  // namespace

struct StoreClient::Impl {
  EventLoop& loop;
  Endpoint endpoint;
  Duration timeout;
  HttpFetcher fetcher;
  Counters counters;
  uint32_t outstanding = 0;

  StoreReply ToStoreReply(const StoreRequest& request,
                          HttpFetcher::Result result);
};

StoreReply StoreClient::Impl::ToStoreReply(const StoreRequest& request,
                                           HttpFetcher::Result result) {
  if (auto* failure = std::get_if<HttpFetcher::Failure>(&result)) {
    if (!failure->sent) {
      ++counters.unavailable;
      return UnavailableReply{failure->error};
    }
    ++counters.unknown;
    return UnknownReply{failure->error};
  }
  const HttpResponse& response = std::get<HttpResponse>(result);
  try {
    StoreReply reply = DecodeStoreReply(request, response);
    if (std::holds_alternative<UnavailableReply>(reply))
      ++counters.unavailable;
    return reply;
  } catch (const StoreFormatError& error) {
    // Without a readable answer, a write may or may not have taken effect.
    ++counters.unknown;
    return UnknownReply{error.what()};
  }
}

StoreClient::StoreClient(EventLoop& loop,
                         const Endpoint& endpoint,
                         Duration timeout)
    : impl_(new Impl{loop, endpoint, timeout, HttpFetcher(loop), {}, 0}) {}

StoreClient::~StoreClient() = default;

void StoreClient::Execute(const StoreRequest& request,
                          std::function<void(StoreReply)> callback) {
  ++impl_->counters.requests;
  if (std::holds_alternative<CommitRows>(request) ||
      std::holds_alternative<PutObject>(request))
    ++impl_->counters.writes;
  if (impl_->outstanding >= kMaxOutstandingRequests) {
    ++impl_->counters.unavailable;
    impl_->loop.Post([callback = std::move(callback)] {
      callback(UnavailableReply{"too many outstanding store requests"});
    });
    return;
  }
  ++impl_->outstanding;
  HttpRequest message = EncodeStoreRequest(request);
  impl_->fetcher.Fetch(
      impl_->endpoint, std::move(message), impl_->timeout,
      [impl = std::weak_ptr(impl_), request,
       callback = std::move(callback)](HttpFetcher::Result result) {
        auto self = impl.lock();
        if (!self)
          return;
        --self->outstanding;
        callback(self->ToStoreReply(request, std::move(result)));
      });
}

const StoreClient::Counters& StoreClient::counters() const {
  impl_->counters.bytes_sent = impl_->fetcher.counters().bytes_sent;
  impl_->counters.bytes_received = impl_->fetcher.counters().bytes_received;
  return impl_->counters;
}

}  // namespace radishmoor
