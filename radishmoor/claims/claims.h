// At most once for non-idempotent requests: before the send, the row
// `claim/<key>` is inserted with an own token; afterwards it holds the result.
// Performs no I/O.
//
//   Claims claims(options);
//   for (ClaimAction& a : claims.Begin(now, wall, {request, key, hash,
//   deadline})) claims.Handle(now, wall, store_answer);      // Granted,
//   Replay, Rejected. if (claims.MaySend(now, request)) ...        // Just
//   before the send. claims.Finish(now, request, ClaimCompleted{answer});
//   claims.Tick(now);                            // At next_wake() or later.
//
// Each Begin ends in exactly one of ClaimGranted, ClaimReplay, ClaimRejected;
// each granted request needs one Finish. A row of another holder is never taken
// over unless that holder released it because the request did not run.
//
// A row whose key is older than the row `claim-horizon` may be removed. Every
// insert expects the version of that row, so no repeat meets a removed claim,
// whatever the wall clocks say.
//
// Cost: one transaction in flight, at most 30 a second, with up to 64 claims.

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

// Milliseconds since the epoch in a UUID version 7 (RFC 9562); absent when the
// text is not one.
std::optional<WallMillis> UuidV7Time(std::string_view key);

enum class ClaimState : uint8_t {
  kClaimed,   // The holder may send, or has sent, the request.
  kDone,      // Completed; the answer is stored.
  kUnknown,   // May have run, or completed with an answer too large to store.
  kReleased,  // Did not run; another process may claim the key.
};

// The value of the row `claim/<key>`.
struct ClaimRecord {
  ClaimState state = ClaimState::kClaimed;
  uint64_t token = 0;  // Of one Begin.
  uint64_t body_hash = 0;
  WallMillis deadline = 0;
  std::string answer;  // Arbitrary bytes.

  friend bool operator==(const ClaimRecord&, const ClaimRecord&) = default;
};

inline constexpr char kClaimPrefix[] = "claim/";
inline constexpr char kClaimHorizonKey[] = "claim-horizon";
std::string EncodeClaim(const ClaimRecord& record);
std::optional<ClaimRecord> DecodeClaim(std::string_view text);

// Reasons of 5.1.
enum class ClaimRefusal : uint8_t {
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
std::string_view ReasonCode(ClaimRefusal reason);
int HttpStatus(ClaimRefusal reason);

struct ClaimBegin {
  RequestId request;
  std::string key;  // As received; may be empty or malformed.
  uint64_t body_hash = 0;
  Time deadline;
};

struct ClaimCompleted {
  std::string answer;  // The whole answer, encoded by the caller.
};
struct ClaimNotRun {};
struct ClaimMayHaveRun {};
using ClaimResult = std::variant<ClaimCompleted, ClaimNotRun, ClaimMayHaveRun>;

// The request may be sent until `valid_until`.
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
  ClaimRefusal reason = ClaimRefusal::kStoreUnavailable;
  bool may_have_run = false;
};

using ClaimAction =
    std::variant<StoreCall, ClaimGranted, ClaimReplay, ClaimRejected>;

struct ClaimsOptions {
  uint64_t seed = 1;  // Must differ between processes and starts.
  size_t max_claims = 20'000;
};

class Claims {
 public:
  static constexpr size_t kGroupSize = 64;
  // 30 transactions a second: nine entry hosts stay below 270 writes/s.
  static constexpr Duration kWriteGap = Microseconds(33'334);
  // What one second's transactions carry; more would wait past kClaimWait.
  static constexpr size_t kMaxQueue = 30 * kGroupSize;
  // A request without a claim after this long is refused not-run.
  static constexpr Duration kClaimWait = Seconds(1);
  // A claim is sent under at most this long after its Begin.
  static constexpr Duration kRight = Seconds(600);
  static constexpr Duration kCallTimeout = Seconds(2);
  static constexpr Duration kMinBackoff = Milliseconds(50);
  static constexpr Duration kMaxBackoff = Seconds(1);
  // After this many failed calls in a row new requests are refused at once.
  static constexpr uint32_t kDownAfter = 3;
  static constexpr size_t kMaxAnswerBytes = 4096;
  // Above this, results that wait for the store keep only their state.
  static constexpr size_t kMaxWaitingBytes = size_t{16} * 1024 * 1024;
  // Keys are refused one hour before their claims may be removed.
  static constexpr WallMillis kMaxKeyAge = WallMillis{23} * 3600 * 1000;
  static constexpr WallMillis kRetention = WallMillis{24} * 3600 * 1000;
  static constexpr WallMillis kMaxKeySkew = WallMillis{5} * 60 * 1000;
  // One step of the horizon. Each step costs every process one conflict.
  static constexpr WallMillis kHorizonStep = WallMillis{10} * 60 * 1000;
  static constexpr Duration kRemovalPeriod = Seconds(600);
  static constexpr Duration kRemovalPause = Milliseconds(100);

  struct Counters {
    uint64_t begun = 0;
    uint64_t granted = 0;
    uint64_t replayed = 0;
    uint64_t rejected = 0;
    uint64_t transactions = 0;
    uint64_t writes = 0;  // Rows in committed transactions.
    uint64_t conflicts = 0;
    uint64_t read_backs = 0;
    uint64_t store_failures = 0;
    uint64_t removed = 0;
    uint64_t answers_dropped = 0;  // Stored as a state only.
  };

  explicit Claims(ClaimsOptions options);

  std::vector<ClaimAction> Begin(Time now, WallMillis wall, ClaimBegin begin);
  // Also withdraws a request that is not granted yet, with ClaimNotRun; that
  // request then gets no further action.
  std::vector<ClaimAction> Finish(Time now,
                                  RequestId request,
                                  ClaimResult result);
  std::vector<ClaimAction> Handle(Time now,
                                  WallMillis wall,
                                  const StoreAnswer& answer);
  std::vector<ClaimAction> Tick(Time now);
  Time next_wake() const;

  // Whether the granted request may still be sent now.
  bool MaySend(Time now, RequestId request) const;

  // Claims in memory, including those that only wait to be released.
  size_t size() const { return claims_.size(); }
  const Counters& counters() const { return counters_; }

 private:
  enum class Stage : uint8_t { kInsert, kHeld, kResult, kRelease };
  enum class CallKind : uint8_t {
    kNone,
    kGroup,
    kReadBack,
    kOldest,   // Removal: scan of the oldest claims.
    kWitness,  // Removal: a key that proves the time.
    kHorizon,
    kRemove,
  };
  struct Claim {
    RequestId request;
    ClaimRecord record;  // What the next write stores.
    WallMillis key_time = 0;
    Time valid_until;
    Time give_up;
    Stage stage = Stage::kInsert;
    RowVersion expected = 0;
    // Expected version of a write whose outcome is unknown. Such a write can
    // take effect only while the row still has this version.
    std::optional<RowVersion> outstanding;
    bool owned = false;  // The row holds the own token.
    bool in_call = false;
    bool queued = false;
  };
  struct Operation {
    std::string key;
    Stage stage;  // At the time of the write.
  };
  using Actions = std::vector<ClaimAction>;

  void Reject(RequestId request, ClaimRefusal reason, Actions& out);
  void RejectClaim(Claim& claim, ClaimRefusal reason, Actions& out);
  void BeginRepeat(const ClaimBegin& begin, const Claim& claim, Actions& out);
  void GiveUp(const std::string& key, ClaimRefusal reason, Actions& out);
  void Grant(Time now, const std::string& key, Claim& claim, Actions& out);
  void StopWaiting(Claim& claim);
  // Ends the part of a claim for which no request waits: releases the row when
  // it may hold the own token, forgets the claim otherwise.
  void Settle(const std::string& key, Claim& claim);
  void Enqueue(const std::string& key, Claim& claim, bool front);
  void Erase(const std::string& key);

  void Pump(Time now, Actions& out);
  void SendGroup(Time now, Actions& out);
  void SendReadBack(Time now, Actions& out);
  void SendRemovalStep(Time now, Actions& out);
  void Call(Time now, CallKind kind, StoreRequest request, Actions& out);
  void CallFailed(Time now, CallKind kind, bool may_have_effect);

  void OnCommitted(Time now,
                   const std::vector<RowVersion>& versions,
                   Actions& out);
  void OnRows(Time now,
              WallMillis wall,
              const std::vector<Row>& rows,
              Actions& out);
  void Requeue(const Operation& operation);
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
  void OnOldest(Time now, WallMillis wall, const std::vector<Row>& rows);
  void EndRemoval(Time now, bool more);

  ClaimsOptions options_;
  Random random_;
  std::unordered_map<std::string, Claim> claims_;
  std::unordered_map<RequestId, std::string> by_request_;
  std::set<std::pair<Time, RequestId>> waiting_;  // By time to give up.
  std::deque<std::string> queue_;                 // Keys with a row to write.
  size_t waiting_bytes_ = 0;

  bool horizon_known_ = false;
  WallMillis horizon_ = 0;
  RowVersion horizon_version_ = 0;

  CallKind call_ = CallKind::kNone;
  uint64_t next_tag_ = 1;
  uint64_t tag_ = 0;
  Time call_sent_;
  std::vector<Operation> group_;
  bool read_back_ = false;  // The outcome of group_ is unknown.
  Time next_write_;
  Time next_call_;  // Back-off.
  uint32_t failures_ = 0;

  CallKind removal_ = CallKind::kOldest;  // Next step.
  Time next_removal_;
  bool removal_last_ = false;  // The last transaction was of the removal.
  bool started_ = false;
  WallMillis next_horizon_ = 0;
  std::vector<std::string> removable_;

  Counters counters_;
};

}  // namespace radishmoor

#endif  // RADISHMOOR_CLAIMS_CLAIMS_H_
