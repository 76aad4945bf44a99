#include "radishmoor/jobs/outbox.h"

#include <utility>

namespace radishmoor {
namespace {

// Removes the actions of one type and returns them in the order in which they
// were added.
template <typename Action>
std::vector<Action> TakeActions(std::vector<JobAction>& actions) {
  std::vector<Action> taken;
  std::erase_if(actions, [&taken](JobAction& action) {
    auto* match = std::get_if<Action>(&action);
    if (match == nullptr)
      return false;
    taken.push_back(std::move(*match));
    return true;
  });
  return taken;
}

}  // namespace

uint64_t Outbox::CallStore(StoreRequest request, Duration timeout) {
  uint64_t tag = next_tag_++;
  actions_.emplace_back(StoreCall{tag, std::move(request), timeout});
  return tag;
}

uint64_t Outbox::SendOrder(const ServerId& server,
                           const std::string& address,
                           FencingToken token,
                           ServerOrder order) {
  uint64_t tag = next_tag_++;
  actions_.emplace_back(
      OrderToServer{tag, server, address, token, std::move(order)});
  return tag;
}

uint64_t Outbox::RequestAdvice(PlacementAdviceRequest advice_request) {
  advice_request.tag = next_tag_++;
  uint64_t tag = advice_request.tag;
  actions_.emplace_back(std::move(advice_request));
  return tag;
}

uint64_t Outbox::RequestServerList() {
  uint64_t tag = next_tag_++;
  actions_.emplace_back(ListServers{tag});
  return tag;
}

uint64_t Outbox::WatchOperators(RowVersion after, Duration wait) {
  uint64_t tag = next_tag_++;
  actions_.emplace_back(WatchOperatorChanges{tag, after, wait});
  return tag;
}

uint64_t Outbox::CallHostApi(FencingToken token,
                             HostRequest request,
                             Time valid_until) {
  uint64_t tag = next_tag_++;
  actions_.emplace_back(HostCall{tag, token, std::move(request), valid_until});
  return tag;
}

uint64_t Outbox::SendWaveReport(uint64_t wave, bool completed) {
  uint64_t tag = next_tag_++;
  actions_.emplace_back(ReportWave{tag, wave, completed});
  return tag;
}

void Outbox::SendToPeer(const MemberId& to,
                        const std::string& address,
                        JobPeerMessage message) {
  actions_.emplace_back(SendJobPeer{to, address, std::move(message)});
}

void Outbox::Broadcast(std::vector<PeerAddress> to, JobPeerMessage message) {
  if (!to.empty())
    actions_.emplace_back(BroadcastToPeers{std::move(to), std::move(message)});
}

void Outbox::AnswerCaller(JobCallAnswer answer) {
  actions_.emplace_back(std::move(answer));
}

void Outbox::LogDecision(std::string_view event,
                         std::vector<DecisionField> fields) {
  actions_.emplace_back(Decision{event, std::move(fields)});
}

void Outbox::EndProcess() {
  actions_.emplace_back(EndJobProcess{});
}

std::vector<JobPeerMessage> Outbox::TakeMessagesTo(const MemberId& to) {
  std::vector<JobPeerMessage> messages;
  std::erase_if(actions_, [&](JobAction& action) {
    auto* send = std::get_if<SendJobPeer>(&action);
    if (send == nullptr || send->to != to)
      return false;
    messages.push_back(std::move(send->message));
    return true;
  });
  return messages;
}

std::vector<OrderToServer> Outbox::TakeOrders() {
  return TakeActions<OrderToServer>(actions_);
}

void Outbox::PutBackOrder(OrderToServer order) {
  actions_.emplace_back(std::move(order));
}

std::vector<PlacementAdviceRequest> Outbox::TakeAdviceRequests() {
  return TakeActions<PlacementAdviceRequest>(actions_);
}

void Outbox::PutBackAdviceRequest(PlacementAdviceRequest request) {
  actions_.emplace_back(std::move(request));
}

std::vector<JobAction> Outbox::TakeAllActions() {
  return std::exchange(actions_, {});
}

}  // namespace radishmoor
