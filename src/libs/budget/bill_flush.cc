#include "libs/budget/bill_flush.h"

#include <utility>
#include <vector>

#include "libs/budget/bill.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

BillFlush::BillFlush(std::string domain) : domain_(std::move(domain)) {}

std::optional<PlatformCall> BillFlush::NextCall(HostLedger& ledger) {
  if (over_)
    return std::nullopt;
  if (reading_)
    return PlatformCall{PlatformVerb::kGet, segment_, 0, "", {}};
  const std::vector<Bill> bills = ledger.UnconfirmedBills(kMaxBillsPerSegment);
  if (bills.empty()) {
    over_ = true;
    return std::nullopt;
  }
  segment_ = BillSegmentName(domain_, ledger.holder(), bills.front().sequence);
  last_sequence_ = bills.back().sequence;
  return PlatformCall{PlatformVerb::kCreate, segment_, 0, ToJson(bills), {}};
}

void BillFlush::HandleAnswer(const PlatformAnswer& answer, HostLedger& ledger) {
  if (!reading_ && answer.reason.code == ResultCode::kPlatformExists) {
    reading_ = true;
    return;
  }
  result_ = answer.reason;
  if (result_.code != ResultCode::kOk) {
    over_ = true;
    return;
  }
  if (reading_) {
    std::optional<std::vector<Bill>> bills = ParseBills(answer.value, &result_);
    if (!bills || bills->empty()) {
      over_ = true;
      return;
    }
    last_sequence_ = bills->back().sequence;
    reading_ = false;
  }
  ledger.ConfirmBills(last_sequence_);
}

}  // namespace turmericwinch
