#include "radishmoor/jobs/adviser_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishmoor {
namespace {

// Time of a request whose queue does not state the adviser's pace.
constexpr Duration kDefaultRequestTime = Milliseconds(100);
// A request counts as not answered after this many times its expected time plus
// the margin, doubled with each missing answer in a row.
constexpr int64_t kTimeLimitFactor = 2;
constexpr Duration kTimeLimitMargin = Milliseconds(250);
constexpr Duration kMaxTimeLimit = Seconds(8);
// Pause after a refusal or a missing answer, doubled with each one in a row.
constexpr Duration kFirstPause = Milliseconds(100);
constexpr Duration kMaxPause = Seconds(1);
constexpr uint32_t kMaxDoublings = 6;
// Weight of an observation in the moving average of the slowness.
constexpr double kSlownessWeight = 0.5;
constexpr Duration kLoadLogPeriod = Seconds(1);

Duration Doubled(Duration first, uint32_t times, Duration most) {
  return std::min(first * (int64_t{1} << std::min(times, kMaxDoublings)), most);
}

}  // namespace

void AdviserQueue::Add(PlacementAdviceRequest request) {
  if (request.expected_time <= Duration::zero())
    request.expected_time = kDefaultRequestTime;
  waiting_.push_back(std::move(request));
}

bool AdviserQueue::MaySend(Time now) const {
  size_t limit = failures_ == 0 ? kMaxOpenRequests : 1;
  return !waiting_.empty() && open_.size() < limit && now >= paused_until_;
}

void AdviserQueue::Tick(Time now, Outbox& outbox) {
  while (MaySend(now))
    Send(now, outbox);
  LogLoad(now, outbox);
}

void AdviserQueue::Send(Time now, Outbox& outbox) {
  auto next = std::min_element(
      waiting_.begin(), waiting_.end(), [](const auto& a, const auto& b) {
        return std::tie(a.start_by, a.tag) < std::tie(b.start_by, b.tag);
      });
  PlacementAdviceRequest request = std::move(*next);
  waiting_.erase(next);
  auto expected = Duration(static_cast<int64_t>(
      static_cast<double>(request.expected_time.count()) * slowness_));
  expected_idle_at_ = std::max(now, expected_idle_at_) + expected;
  request.time_limit =
      Doubled(kTimeLimitFactor * (expected_idle_at_ - now) + kTimeLimitMargin,
              failures_, kMaxTimeLimit);
  open_[request.tag] = {now, request.expected_time};
  ++counters_.sent;
  outbox.PutBackAdviceRequest(std::move(request));
}

bool AdviserQueue::OnReply(Time now,
                           const PlacementAdviceReply& reply,
                           Outbox& outbox) {
  auto open = open_.extract(reply.tag);
  if (open.empty())
    return false;
  const OpenRequest& request = open.mapped();
  if (open_.empty())
    expected_idle_at_ = now;
  if (reply.answered) {
    ++counters_.answered;
    if (failures_ > 0)
      outbox.LogDecision(
          "adviser-regained",
          {{"failures", static_cast<int64_t>(failures_)},
           {"after_ms", WholeMilliseconds(now - failing_since_)}});
    failures_ = 0;
    double ratio = ToSeconds(now - std::max(request.sent_at, last_answer_at_)) /
                   ToSeconds(request.expected_time);
    slowness_ =
        std::max(1.0, slowness_ + kSlownessWeight * (ratio - slowness_));
    last_answer_at_ = now;
    return true;
  }
  ++(reply.refused ? counters_.refused : counters_.unanswered);
  if (failures_ == 0) {
    failing_since_ = now;
    outbox.LogDecision(
        "adviser-failing",
        {{"reason", std::string(reply.refused ? "refused" : "unanswered")},
         {"after_ms", WholeMilliseconds(now - request.sent_at)},
         {"open", static_cast<int64_t>(open_.size())},
         {"waiting", static_cast<int64_t>(waiting_.size())}});
  }
  paused_until_ =
      std::max(paused_until_, now + Doubled(kFirstPause, failures_, kMaxPause));
  ++failures_;
  return true;
}

void AdviserQueue::LogLoad(Time now, Outbox& outbox) {
  if (waiting_.empty() || now < next_load_log_)
    return;
  next_load_log_ = now + kLoadLogPeriod;
  outbox.LogDecision(
      "adviser-load",
      {{"open", static_cast<int64_t>(open_.size())},
       {"max_open", static_cast<int64_t>(kMaxOpenRequests)},
       {"waiting", static_cast<int64_t>(waiting_.size())},
       {"sent", static_cast<int64_t>(counters_.sent)},
       {"refused", static_cast<int64_t>(counters_.refused)},
       {"unanswered", static_cast<int64_t>(counters_.unanswered)},
       {"slowness_percent", static_cast<int64_t>(slowness_ * 100)}});
}

Time AdviserQueue::next_wake() const {
  size_t limit = failures_ == 0 ? kMaxOpenRequests : 1;
  bool blocked = waiting_.empty() || open_.size() >= limit;
  return blocked ? kTimeMax : paused_until_;
}

}  // namespace radishmoor
