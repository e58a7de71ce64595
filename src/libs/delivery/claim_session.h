// Decides whether an attempt of a request that may run at most once may be
// sent. Uses no clocks, threads or sockets.

#ifndef SRC_LIBS_DELIVERY_CLAIM_SESSION_H_
#define SRC_LIBS_DELIVERY_CLAIM_SESSION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/base/store_version.h"
#include "libs/delivery/claim_record.h"

namespace turmericwinch {

// The next step of the host.
enum class ClaimStep {
  // Create the object name() with record(), if it doesn't exist.
  kCreate,
  // Read the object name().
  kRead,
  // The claim is held: call MaySend() just before the first send.
  kHeld,
  // Give the caller the stored answer of stored_claim().
  kReplay,
  // Refuse the request with reason() and ran().
  kRefuse,
};

// A claim is never taken over: a host that finds the claim of another attempt
// does not run the request. So a holder that pauses and resumes later, or that
// failed, can't cause a second run.
class ClaimSession {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // `record` is the claim to create; `start` is a time before the call that
  // creates it.
  ClaimSession(std::string name, ClaimRecord record, Time start);

  ClaimStep step() const { return step_; }

  // Handle the result of kCreate.
  void OnCreated(StoreVersion version);
  void OnCreateFailed(const Reason& reason);
  // Handle the result of kRead. `now_ms` is the current UTC time in
  // milliseconds.
  void OnRead(StoreVersion version,
              const std::optional<ClaimRecord>& found,
              std::int64_t now_ms);
  void OnReadFailed(const Reason& reason);

  // Whether the claim is held and the first send may happen at `now`. If a held
  // claim is too old, the step becomes kRefuse and the claim must be abandoned.
  bool MaySend(Time now);

  // Whether the request is refused, but the claim object of this attempt exists
  // or may still be created, so that it should be removed.
  bool NeedsAbandon() const;

  const std::string& name() const { return name_; }
  const ClaimRecord& record() const { return record_; }
  // Version of the claim's object; 0 if it is not known to exist.
  StoreVersion version() const { return version_; }
  const ClaimRecord& stored_claim() const { return stored_claim_; }
  const Reason& reason() const { return reason_; }
  RanState ran() const { return ran_; }

 private:
  void Refuse(ResultCode code, std::string text, RanState ran);

  std::string name_;
  ClaimRecord record_;
  Time start_;
  ClaimStep step_ = ClaimStep::kCreate;
  StoreVersion version_;
  bool create_unresolved_ = false;
  bool exists_ = false;
  int reads_ = 0;
  ClaimRecord stored_claim_;
  Reason reason_;
  RanState ran_ = RanState::kNotRun;
};

// Why another attempt with the same key and the digest `body_digest` is refused
// because of the claim `found`; nullopt if the stored answer can be replayed.
struct ClaimRefusal {
  Reason reason;
  RanState ran = RanState::kUnknown;
};
std::optional<ClaimRefusal> RefusalOf(const ClaimRecord& found,
                                      const std::string& body_digest,
                                      std::int64_t now_ms);

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CLAIM_SESSION_H_
