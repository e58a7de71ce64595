// Decides, for one attempt at a request that may run at most once, whether it
// may be sent. Free of clocks, threads and sockets.

#ifndef SRC_LIBS_DELIVERY_CLAIM_SESSION_H_
#define SRC_LIBS_DELIVERY_CLAIM_SESSION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/delivery/claim_record.h"

namespace turmericwinch {

// What the attempt's host has to do next.
enum class ClaimStep {
  // Create the object name() with record(), if it is absent.
  kCreate,
  // Read the object name().
  kRead,
  // The claim is held: ask MaySend() just before the first send.
  kHeld,
  // Give the caller the kept answer of kept().
  kReplay,
  // Refuse the request with reason() and ran().
  kRefuse,
};

// A claim is never taken over: who finds another's claim does not run the
// request, so that a paused or lost holder can do no harm.
class ClaimSession {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // `record` is the claim to be made; `start` the time before it is asked for,
  // `now_ms` the same moment in UTC milliseconds.
  ClaimSession(std::string name, ClaimRecord record, Time start);

  ClaimStep step() const { return step_; }

  // Results of kCreate.
  void OnCreated(std::uint64_t version);
  void OnCreateFailed(const Reason& reason);
  // Results of kRead. `now_ms` is the present UTC time.
  void OnRead(std::uint64_t version,
              const std::optional<ClaimRecord>& found,
              std::int64_t now_ms);
  void OnReadFailed(const Reason& reason);

  // Whether a held claim may be followed by the first send at `now`. If not,
  // the step becomes kRefuse and the claim is to be abandoned.
  bool MaySend(Time now);

  // Whether an object of this attempt is or may come to be in the platform
  // although the request is refused, so that it should be removed.
  bool NeedsAbandon() const;

  const std::string& name() const { return name_; }
  const ClaimRecord& record() const { return record_; }
  // Version of the claim's object; 0 if it is not known to exist.
  std::uint64_t version() const { return version_; }
  const ClaimRecord& kept() const { return kept_; }
  const Reason& reason() const { return reason_; }
  RanState ran() const { return ran_; }

 private:
  void Refuse(ResultCode code, std::string text, RanState ran);

  std::string name_;
  ClaimRecord record_;
  Time start_;
  ClaimStep step_ = ClaimStep::kCreate;
  std::uint64_t version_ = 0;
  bool create_in_doubt_ = false;
  bool exists_ = false;
  int reads_ = 0;
  ClaimRecord kept_;
  Reason reason_;
  RanState ran_ = RanState::kNotRun;
};

// What a claim found in the platform says to another attempt with its key and
// the digest `body_digest`: nothing if its answer can be replayed.
struct ClaimRefusal {
  Reason reason;
  RanState ran = RanState::kUnknown;
};
std::optional<ClaimRefusal> RefusalOf(const ClaimRecord& found,
                                      const std::string& body_digest,
                                      std::int64_t now_ms);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CLAIM_SESSION_H_
