// Decides how the outcome of a claimed request is written to the platform when
// writes fail or their responses are lost. Uses no clocks, threads or sockets.

#ifndef SRC_LIBS_DELIVERY_CLAIM_SETTLEMENT_H_
#define SRC_LIBS_DELIVERY_CLAIM_SETTLEMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/base/store_version.h"
#include "libs/delivery/claim_record.h"

namespace turmericwinch {

// The next step of the host.
enum class SettleStep {
  // Replace the object name() at version() by record().
  kUpdate,
  // Delete the object name() at version().
  kDelete,
  // Read the object name().
  kRead,
  // The claim is settled.
  kDone,
  // The claim stays as it is: a retry with its key gets an unknown outcome.
  kGivenUp,
};

// Each write is conditional on a version that only this attempt's object can
// have, so a late or repeated write never changes the claim of another attempt.
class ClaimSettlement {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Replaces the claim at `version` by `record`, whose outcome is set.
  static ClaimSettlement Record(std::string name,
                                StoreVersion version,
                                ClaimRecord record,
                                Time now);
  // Deletes the claim of an attempt that did not and will not send its request.
  // `version` is not set if it is not known whether the object exists.
  static ClaimSettlement Abandon(std::string name,
                                 StoreVersion version,
                                 ClaimRecord record,
                                 Time now);

  SettleStep step() const { return step_; }
  const std::string& name() const { return name_; }
  StoreVersion version() const { return version_; }
  const ClaimRecord& record() const { return record_; }
  // Time to wait before the next step().
  std::chrono::milliseconds pause() const { return pause_; }
  // Size of the answer in the record, for limits on memory.
  std::size_t AnswerBytes() const;
  // Removes the answer from the record; the outcome stays.
  void DropAnswer();

  // Handles the result of kUpdate or kDelete: kOk, or why it failed.
  void OnWritten(ResultCode code, Time now);
  // Handle the result of kRead.
  void OnRead(StoreVersion version, const std::optional<ClaimRecord>& found);
  void OnReadFailed(ResultCode code, Time now);

 private:
  ClaimSettlement(std::string name,
                  StoreVersion version,
                  ClaimRecord record,
                  SettleStep write,
                  Time now);
  void RetryLater(Time now);

  std::string name_;
  StoreVersion version_;
  ClaimRecord record_;
  SettleStep write_;
  SettleStep step_;
  Time give_up_time_;
  std::chrono::milliseconds pause_{0};
  int absent_reads_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CLAIM_SETTLEMENT_H_
