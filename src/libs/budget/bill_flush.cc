#include "libs/budget/bill_flush.h"

#include <utility>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

BillFlush::BillFlush(std::string domain) : domain_(std::move(domain)) {}

std::optional<PlatformCall> BillFlush::NextCall(HostLedger& ledger) {
  if (done_)
    return std::nullopt;
  if (reading_existing_)
    return PlatformCall{.verb = PlatformVerb::kGet, .name = segment_name_};
  const std::vector<Bill> bills = ledger.UnconfirmedBills(kMaxBillsPerSegment);
  if (bills.empty()) {
    done_ = true;
    return std::nullopt;
  }
  segment_name_ =
      BillSegmentName(domain_, ledger.holder(), bills.front().sequence);
  last_sequence_ = bills.back().sequence;
  return PlatformCall{
      PlatformVerb::kCreate, segment_name_, {}, ToJson(bills), {}};
}

void BillFlush::HandleAnswer(const PlatformAnswer& answer, HostLedger& ledger) {
  if (!reading_existing_ && answer.reason.code == ResultCode::kPlatformExists) {
    reading_existing_ = true;
    return;
  }
  result_ = answer.reason;
  if (result_.code != ResultCode::kOk) {
    done_ = true;
    return;
  }
  if (reading_existing_) {
    std::optional<std::vector<Bill>> bills = ParseBills(answer.value, &result_);
    if (!bills || bills->empty()) {
      done_ = true;
      return;
    }
    last_sequence_ = bills->back().sequence;
    reading_existing_ = false;
  }
  ledger.ConfirmBills(last_sequence_);
}

}  // namespace turmericwinch
