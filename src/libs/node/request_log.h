// Records of the last finished requests of a host.

#ifndef SRC_LIBS_NODE_REQUEST_LOG_H_
#define SRC_LIBS_NODE_REQUEST_LOG_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "libs/node/request_record.h"

namespace turmericwinch {

// Keeps a bounded number of finished requests. Thread-safe.
class RequestLog {
 public:
  // At most `max_records` requests are kept; the oldest is removed first.
  explicit RequestLog(std::size_t max_records) : max_records_(max_records) {}

  void AddRecord(std::shared_ptr<const RequestRecord> record);
  // Returns the kept requests with this id, the oldest first.
  std::vector<std::shared_ptr<const RequestRecord>> FindRecords(
      const std::string& request_id) const;

 private:
  const std::size_t max_records_;
  mutable std::mutex mutex_;
  std::deque<std::shared_ptr<const RequestRecord>> records_;
};

// Returns the records as a JSON array.
std::string ToJson(
    const std::vector<std::shared_ptr<const RequestRecord>>& records);

}  // namespace turmericwinch

#endif  // SRC_LIBS_NODE_REQUEST_LOG_H_
