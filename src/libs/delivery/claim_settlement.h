// Decides how the end of a claimed request gets into the platform, though
// writes fail or their answers are lost. Free of clocks, threads and sockets.

#ifndef SRC_LIBS_DELIVERY_CLAIM_SETTLEMENT_H_
#define SRC_LIBS_DELIVERY_CLAIM_SETTLEMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "libs/base/reason.h"
#include "libs/delivery/claim_record.h"

namespace turmericwinch {

// What the host has to do next.
enum class SettleStep {
  // Replace the object name() at version() by record().
  kUpdate,
  // Delete the object name() at version().
  kDelete,
  // Read the object name().
  kRead,
  // The claim is settled.
  kDone,
  // It stays as it is: a retry of the key is answered with `unknown`.
  kGivenUp,
};

// Each write names a version that only this attempt's object can have, so a
// late or repeated write never touches the claim of another attempt.
class ClaimSettlement {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // Records `record`, whose outcome is set, over `version`.
  static ClaimSettlement Record(std::string name,
                                std::uint64_t version,
                                ClaimRecord record,
                                Time now);
  // Removes the claim of an attempt that sent nothing and never will.
  // `version` is 0 if the object may or may not exist.
  static ClaimSettlement Abandon(std::string name,
                                 std::uint64_t version,
                                 ClaimRecord record,
                                 Time now);

  SettleStep step() const { return step_; }
  const std::string& name() const { return name_; }
  std::uint64_t version() const { return version_; }
  const ClaimRecord& record() const { return record_; }
  // Pause before step() is taken.
  std::chrono::milliseconds pause() const { return pause_; }
  // Bytes of the kept answer, for bounds on memory.
  std::size_t AnswerBytes() const;
  // Gives up the answer and keeps the outcome.
  void DropAnswer();

  // Result of kUpdate or kDelete: kOk, or why it failed.
  void OnWritten(ResultCode code, Time now);
  // Result of kRead.
  void OnRead(std::uint64_t version, const std::optional<ClaimRecord>& found);
  void OnReadFailed(ResultCode code, Time now);

 private:
  ClaimSettlement(std::string name,
                  std::uint64_t version,
                  ClaimRecord record,
                  SettleStep write,
                  Time now);
  void RetryLater(Time now);

  std::string name_;
  std::uint64_t version_;
  ClaimRecord record_;
  SettleStep write_;
  SettleStep step_;
  Time give_up_;
  std::chrono::milliseconds pause_{0};
  int absent_reads_ = 0;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_CLAIM_SETTLEMENT_H_
