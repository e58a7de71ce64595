#include "libs/budget/bill.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/json_fields.h"
#include "libs/budget/budget_constants.h"

namespace turmericwinch {

namespace {

namespace json = boost::json;

constexpr std::size_t kSequenceDigits = 12;
// The holder that is charged follows only if it is another than the writer.
constexpr std::size_t kRowItems = 8;
constexpr std::size_t kChargedRowItems = 9;

std::optional<Bill> BillOf(const json::value& value) {
  const json::array* row = value.if_array();
  if (!row || (row->size() != kRowItems && row->size() != kChargedRowItems))
    return std::nullopt;
  for (std::size_t n : {0, 5, 6, 7}) {
    if (!(*row)[n].is_int64())
      return std::nullopt;
  }
  for (std::size_t n : {1, 2, 3, 4}) {
    if (!(*row)[n].is_string())
      return std::nullopt;
  }
  const bool charged = row->size() == kChargedRowItems;
  if (charged && !row->back().is_string())
    return std::nullopt;
  const auto text = [&](std::size_t n) {
    return std::string((*row)[n].get_string());
  };
  return Bill{static_cast<std::uint64_t>((*row)[0].get_int64()),
              text(1),
              text(2),
              text(3),
              text(4),
              (*row)[5].get_int64(),
              (*row)[6].get_int64(),
              (*row)[7].get_int64(),
              charged ? text(kRowItems) : ""};
}

}  // namespace

std::string ToJson(const std::vector<Bill>& bills) {
  json::array rows;
  for (const Bill& it : bills) {
    json::array row{static_cast<std::int64_t>(it.sequence),
                    it.request_id,
                    it.budget,
                    it.team,
                    it.service,
                    it.tokens,
                    it.time_ms,
                    it.settled_total};
    if (!it.charged_to.empty())
      row.emplace_back(it.charged_to);
    rows.push_back(std::move(row));
  }
  return json::serialize(rows);
}

std::optional<std::vector<Bill>> ParseBills(std::string_view text,
                                            Reason* reason) {
  std::optional<json::value> value = ParseJson(text);
  const json::array* rows = value ? value->if_array() : nullptr;
  if (!rows) {
    return Fail(reason, ResultCode::kPlatformRejected,
                "a bill segment is not a JSON array");
  }
  std::vector<Bill> bills;
  for (const json::value& it : *rows) {
    std::optional<Bill> bill = BillOf(it);
    if (!bill) {
      return Fail(reason, ResultCode::kPlatformRejected,
                  "a bill segment has a malformed row");
    }
    bills.push_back(std::move(*bill));
  }
  return bills;
}

std::string BillSegmentName(std::string_view domain,
                            std::string_view holder,
                            std::uint64_t first_sequence) {
  std::string digits = std::to_string(first_sequence);
  digits.insert(0, kSequenceDigits - std::min(kSequenceDigits, digits.size()),
                '0');
  return kBillPrefix + std::string(domain) + "-" + std::string(holder) + "-" +
         digits;
}

}  // namespace turmericwinch
