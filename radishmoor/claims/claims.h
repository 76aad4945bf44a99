// Ensures that a non-idempotent request runs at most once per idempotency key.
// Before the request is sent, Claims inserts the row `claim/<key>` with a
// random token of its own into the store; afterwards it stores the result in
// that row. A repeat of the request with the same key finds the row. Performs
// no I/O: it returns the store calls to make as actions.
//
//   Claims claims(options);
//   // Each of these returns actions: store calls, grants, replays, rejections.
//   claims.Begin(now, wall, {request, key, body_hash, deadline});
//   claims.Handle(now, wall, store_answer);
//   claims.Tick(now);  // At next_wake() or later.
//
//   // After ClaimGranted, directly before sending the request:
//   if (claims.MaySend(now, request)) ...
//   claims.Finish(now, request, ClaimCompleted{answer});
//
// Each Begin() ends in exactly one ClaimGranted, ClaimReplay or ClaimRejected,
// unless Finish() withdraws the request first. Each granted request needs one
// Finish(). The row of another process is never overwritten, unless that
// process released it because the request did not run.
//
// The row `claim-horizon` holds a time. Claims whose key is older may be
// removed. Every insert expects the horizon row at the version last read, and
// no key older than the horizon is claimed. So a repeat cannot run again
// because its claim was removed, whatever the wall clocks of the processes say.
//
// Cost: at most one store call in flight and 30 transactions per second, each
// with up to 64 claims.

#ifndef RADISHMOOR_CLAIMS_CLAIMS_H_
#define RADISHMOOR_CLAIMS_CLAIMS_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "radishmoor/base/ids.h"
#include "radishmoor/base/random.h"
#include "radishmoor/base/time.h"
#include "radishmoor/store/table.h"

namespace radishmoor {

// Returns the time of a UUID version 7 (RFC 9562), in milliseconds since the
// epoch, or nothing if `key` is not one.
std::optional<WallMillis> UuidV7Time(std::string_view key);

enum class ClaimState : uint8_t {
  kClaimed,   // The holder may send, or has sent, the request.
  kDone,      // Completed; the row holds the answer.
  kUnknown,   // May have run, or completed with an answer too large to store.
  kReleased,  // Did not run; another process may claim the key.
};

// The value of the row `claim/<key>`.
struct ClaimRecord {
  ClaimState state = ClaimState::kClaimed;
  uint64_t token = 0;  // Random; identifies the Begin() that wrote the row.
  uint64_t body_hash = 0;
  WallMillis deadline = 0;  // The holder does not send the request after this.
  std::string answer;       // Arbitrary bytes.

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

inline constexpr char kClaimPrefix[] = "claim/";
inline constexpr char kClaimHorizonKey[] = "claim-horizon";
std::string EncodeClaim(const ClaimRecord& record);
// Returns nothing if `text` is not an encoded claim.
std::optional<ClaimRecord> DecodeClaim(std::string_view text);

// Why a request was rejected. ReasonCode() returns the code for the caller,
// HttpStatus() the status of the response.
enum class ClaimRejectReason : uint8_t {
  kKeyRequired,
  kBadKey,
  kKeyExpired,
  kKeyReused,
  kDuplicateInProgress,
  kDuplicateUnknown,
  kStoreUnavailable,
  kDeadline,
  kQueueFull,
};
std::string_view ReasonCode(ClaimRejectReason reason);
int HttpStatus(ClaimRejectReason reason);

struct ClaimRequest {
  RequestId request;
  std::string key;  // Idempotency key as received; may be empty or malformed.
  uint64_t body_hash = 0;
  Time deadline;
};

struct ClaimCompleted {
  std::string answer;  // The whole response, encoded by the caller.
};
struct ClaimNotRun {};
struct ClaimMayHaveRun {};
using ClaimResult = std::variant<ClaimCompleted, ClaimNotRun, ClaimMayHaveRun>;

// The request may be sent before `valid_until`.
struct ClaimGranted {
  RequestId request;
  Time valid_until;
};
// The request ran before; `answer` is its stored answer.
struct ClaimReplay {
  RequestId request;
  std::string answer;
};
struct ClaimRejected {
  RequestId request;
  ClaimRejectReason reason = ClaimRejectReason::kStoreUnavailable;
  // Whether another request with the same key may have run.
  bool may_have_run = false;
};

using ClaimAction =
    std::variant<StoreCall, ClaimGranted, ClaimReplay, ClaimRejected>;

struct ClaimsOptions {
  // Must differ between processes and between starts of a process, so that
  // tokens differ.
  uint64_t seed = 1;
  size_t max_claims = 20'000;
};

class Claims {
 public:
  static constexpr size_t kMaxBatchSize = 64;
  // Minimum time between two transactions. At 30 transactions/s per process,
  // nine entry hosts stay below 270 write transactions/s.
  static constexpr Duration kTransactionInterval = Microseconds(33'334);
  // Number of claims that the transactions of one second can write. Further
  // ones would wait longer than kClaimTimeout.
  static constexpr size_t kMaxQueueSize = 30 * kMaxBatchSize;
  // A request that has no claim this long after its Begin() is rejected as not
  // run.
  static constexpr Duration kClaimTimeout = Seconds(1);
  // A granted request may be sent at most this long after its Begin().
  static constexpr Duration kMaxSendWindow = Seconds(600);
  static constexpr Duration kStoreCallTimeout = Seconds(2);
  static constexpr Duration kMinBackoff = Milliseconds(50);
  static constexpr Duration kMaxBackoff = Seconds(1);
  // After this many consecutive failed calls the store counts as down: new
  // requests are rejected at once, except one at a time that probes the store.
  static constexpr uint32_t kFailuresUntilDown = 3;
  // Of longer answers only the state is stored.
  static constexpr size_t kMaxAnswerBytes = 4096;
  // Limit of the memory for answers that are not stored yet. Above it, only the
  // state of a result is stored.
  static constexpr size_t kMaxPendingAnswerBytes = size_t{16} * 1024 * 1024;
  // Older keys are rejected: one hour before their claims may be removed.
  static constexpr WallMillis kMaxKeyAge = WallMillis{23} * 3600 * 1000;
  static constexpr WallMillis kClaimRetention = WallMillis{24} * 3600 * 1000;
  // Keys further ahead of the wall clock are rejected.
  static constexpr WallMillis kMaxKeyClockSkew = WallMillis{5} * 60 * 1000;
  // How far the horizon moves at once. Each move costs every process one
  // conflicting transaction.
  static constexpr WallMillis kHorizonStep = WallMillis{10} * 60 * 1000;
  // A pass that removes old claims starts half to one period after the previous
  // pass.
  static constexpr Duration kRemovalPeriod = Seconds(600);
  // Pause before the next pass if old claims are left.
  static constexpr Duration kRemovalPause = Milliseconds(100);

  struct Counters {
    uint64_t begins = 0;
    uint64_t granted = 0;
    uint64_t replayed = 0;
    uint64_t rejected = 0;
    uint64_t transactions = 0;
    uint64_t writes = 0;  // Rows in committed transactions.
    uint64_t conflicts = 0;
    uint64_t read_backs = 0;
    uint64_t store_call_failures = 0;
    uint64_t removed = 0;
    uint64_t answers_dropped = 0;  // Answers of which only the state is stored.
  };

  explicit Claims(ClaimsOptions options);

  // Claims the request's key. `wall` is the wall clock of this process.
  std::vector<ClaimAction> Begin(Time now,
                                 WallMillis wall,
                                 ClaimRequest claim_request);
  // Reports the result of a granted request. With ClaimNotRun it also withdraws
  // a request that is not granted yet, which then gets no further action.
  // Ignores requests that are unknown or already ended.
  std::vector<ClaimAction> Finish(Time now,
                                  RequestId request,
                                  ClaimResult result);
  // Handles the store's answer to the call in flight. Ignores other answers.
  std::vector<ClaimAction> Handle(Time now,
                                  WallMillis wall,
                                  const StoreAnswer& answer);
  // Rejects requests whose time is over and sends the next store call. Call it
  // at next_wake() or later.
  std::vector<ClaimAction> Tick(Time now);
  Time next_wake() const;

  // Returns whether the request is granted and may still be sent now.
  bool MaySend(Time now, RequestId request) const;

  // Number of claims in memory, including those whose row waits to be released.
  size_t size() const { return claims_.size(); }
  const Counters& counters() const { return counters_; }

 private:
  enum class Stage : uint8_t {
    kInsert,  // The row is to be inserted.
    kHeld,    // The request is granted; Finish() is due.
    kResult,  // The result is to be written to the row.
    kRelease  // The request did not run; the row is to be released.
  };
  enum class CallKind : uint8_t {
    kNone,
    kCommitBatch,
    kReadBack,
    // The steps of a removal pass, in this order.
    kScanOldest,  // Scans the oldest claims.
    // Looks for a claim that is kMaxKeyAge newer than the horizon to be
    // written.
    kScanNewer,
    kWriteHorizon,  // Moves the horizon.
    kDeleteRows,    // Deletes the rows of claims older than the horizon.
  };
  struct Claim {
    RequestId request;
    ClaimRecord record;  // Value that the next write stores.
    WallMillis key_time = 0;
    Time valid_until;
    Time grant_by;  // The request is rejected if not granted by then.
    Stage stage = Stage::kInsert;
    RowVersion expected = 0;  // Last known version of the row.
    // Version that a write with unknown outcome expected. Such a write can take
    // effect only while the row still has this version.
    std::optional<RowVersion> unresolved_version;
    bool owned = false;     // The row holds this claim's token.
    bool in_batch = false;  // Part of `batch_`.
    bool queued = false;    // Its key is in `queue_`.
  };
  struct BatchEntry {
    std::string key;
    Stage stage;  // Stage of the claim when the batch was sent.
  };
  using Actions = std::vector<ClaimAction>;

  void Reject(RequestId request, ClaimRejectReason reason, Actions& out);
  void RejectClaim(Claim& claim, ClaimRejectReason reason, Actions& out);
  void BeginRepeat(const ClaimRequest& claim_request,
                   const Claim& claim,
                   Actions& out);
  void GiveUp(const std::string& key, ClaimRejectReason reason, Actions& out);
  void Grant(Time now, const std::string& key, Claim& claim, Actions& out);
  void ForgetRequest(Claim& claim);
  // Ends a claim under which no request ran or will run: releases the row if it
  // may hold the claim's token, erases the claim otherwise.
  void ReleaseOrErase(const std::string& key, Claim& claim);
  void Enqueue(const std::string& key, Claim& claim, bool front);
  void Erase(const std::string& key);

  void StartNextCall(Time now, Actions& out);
  void SendBatch(Time now, Actions& out);
  void SendReadBack(Time now, Actions& out);
  void SendRemovalStep(Time now, Actions& out);
  void StartCall(Time now, CallKind kind, StoreRequest request, Actions& out);
  void OnCallFailed(Time now, CallKind kind, bool may_have_effect);

  void OnCommitted(Time now,
                   const std::vector<RowVersion>& versions,
                   Actions& out);
  void OnRows(Time now,
              WallMillis wall,
              const std::vector<Row>& rows,
              Actions& out);
  void Requeue(const BatchEntry& entry);
  void Resolve(Time now,
               WallMillis wall,
               const std::string& key,
               const Row& row,
               Actions& out);
  void ResolveInsert(Time now,
                     WallMillis wall,
                     const std::string& key,
                     Claim& claim,
                     const Row& row,
                     const std::optional<ClaimRecord>& current,
                     Actions& out);
  void ResolveRelease(const std::string& key,
                      Claim& claim,
                      const std::optional<ClaimRecord>& current);
  void OnHorizon(const Row& row);
  void OnOldestClaims(Time now, WallMillis wall, const std::vector<Row>& rows);
  void EndRemovalPass(Time now, bool more_left);

  ClaimsOptions options_;
  Random random_;
  std::unordered_map<std::string, Claim> claims_;
  std::unordered_map<RequestId, std::string> by_request_;
  std::set<std::pair<Time, RequestId>> awaiting_grant_;  // By Claim::grant_by.
  std::deque<std::string> queue_;  // Keys with a row to write.
  size_t pending_answer_bytes_ = 0;

  bool horizon_known_ = false;
  WallMillis horizon_ = 0;
  RowVersion horizon_version_ = 0;

  CallKind call_kind_ = CallKind::kNone;
  uint64_t next_tag_ = 1;
  uint64_t call_tag_ = 0;
  Time call_sent_at_;
  std::vector<BatchEntry> batch_;
  bool read_back_needed_ = false;  // The outcome of `batch_` is unknown.
  Time next_transaction_at_;
  Time next_call_at_;  // Later than now during backoff after a failed call.
  uint32_t consecutive_failures_ = 0;

  CallKind next_removal_step_ = CallKind::kScanOldest;
  Time next_removal_at_;
  bool last_call_was_removal_ = false;
  bool started_ = false;                // Tick() was called.
  WallMillis target_horizon_ = 0;       // Horizon that the removal pass writes.
  std::vector<std::string> removable_;  // Row keys that the pass deletes.

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_CLAIMS_CLAIMS_H_
