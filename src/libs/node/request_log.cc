#include "libs/node/request_log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace turmericwinch {

namespace {

namespace json = boost::json;

json::object ToObject(const RequestRecord& record) {
  json::array attempts;
  for (const AttemptRecord& it : record.attempts) {
    attempts.push_back(
        json::object{{"target", it.target}, {"failure", it.failure}});
  }
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(record.elapsed);
  return {{"request_id", record.request_id},
          {"run_id", record.run_id},
          {"path", record.target},
          {"team", record.team},
          {"service", record.service},
          {"budget", record.budget},
          {"generation", record.generation},
          {"reserved_tokens", record.reserved_tokens},
          {"billed_tokens", record.billed_tokens},
          {"attempts", attempts},
          {"code", static_cast<int>(record.result)},
          {"result", NameOf(record.result)},
          {"reason", record.reason},
          {"elapsed_us", us.count()}};
}

}  // namespace

void RequestLog::AddRecord(std::shared_ptr<const RequestRecord> record) {
  std::lock_guard lock(mutex_);
  records_.push_back(std::move(record));
  if (records_.size() > max_records_)
    records_.pop_front();
}

std::vector<std::shared_ptr<const RequestRecord>> RequestLog::FindRecords(
    const std::string& request_id) const {
  std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<const RequestRecord>> found;
  for (const auto& it : records_) {
    if (it->request_id == request_id)
      found.push_back(it);
  }
  return found;
}

std::string ToJson(
    const std::vector<std::shared_ptr<const RequestRecord>>& records) {
  json::array items;
  for (const auto& it : records)
    items.push_back(ToObject(*it));
  return json::serialize(items);
}

}  // namespace turmericwinch
