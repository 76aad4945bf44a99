// Collects the actions of one step of the scheduler. Each request gets a tag,
// which its answer carries too.
//
//   Outbox outbox;
//   uint64_t tag = outbox.CallStore(ReadRows{{"owner/a/lease"}});
//   for (JobAction& action : outbox.TakeAllActions()) ...

#ifndef RADISHMOOR_JOBS_OUTBOX_H_
#define RADISHMOOR_JOBS_OUTBOX_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "radishmoor/jobs/messages.h"

namespace radishmoor {

class Outbox {
 public:
  // Each of these adds a request and returns the tag that its answer carries.
  uint64_t CallStore(StoreRequest request, Duration timeout = Duration::zero());
  uint64_t SendOrder(const ServerId& server,
                     const std::string& address,
                     FencingToken token,
                     ServerOrder order);
  uint64_t RequestAdvice(PlacementAdviceRequest advice_request);
  uint64_t RequestServerList();
  uint64_t WatchOperators(RowVersion after, Duration wait);
  uint64_t CallHostApi(FencingToken token,
                       HostRequest request,
                       Time valid_until = kTimeMax);
  uint64_t SendWaveReport(uint64_t wave, bool completed);

  void SendToPeer(const MemberId& to,
                  const std::string& address,
                  JobPeerMessage message);
  void Broadcast(std::vector<PeerAddress> to, JobPeerMessage message);
  void AnswerCaller(JobCallAnswer answer);
  void LogDecision(std::string_view event, std::vector<DecisionField> fields);
  void EndProcess();

  // Removes the messages to process `to` and returns them in the order in which
  // they were added.
  std::vector<JobPeerMessage> TakeMessagesTo(const MemberId& to);

  // Removes the orders to servers and returns them in the same way.
  std::vector<OrderToServer> TakeOrders();
  // Adds an order that TakeOrders() returned.
  void PutBackOrder(OrderToServer order);

  // The same for requests to the placement adviser.
  std::vector<PlacementAdviceRequest> TakeAdviceRequests();
  void PutBackAdviceRequest(PlacementAdviceRequest request);

  // Removes all actions and returns them in the order in which they were added.
  std::vector<JobAction> TakeAllActions();

 private:
  uint64_t next_tag_ = 1;
  std::vector<JobAction> actions_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_JOBS_OUTBOX_H_
