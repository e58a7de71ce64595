// Limits retries to a fraction of the traffic, so that they don't amplify an
// outage. Uses no clocks, threads or sockets.

#ifndef SRC_LIBS_DELIVERY_RETRY_BUDGET_H_
#define SRC_LIBS_DELIVERY_RETRY_BUDGET_H_

namespace turmericwinch {

// Each request earns a fraction of a retry, and earned retries accumulate up to
// a maximum. In any period, the number of retries is at most the maximum plus
// what the requests of the period earn.
class RetryBudget {
 public:
  RetryBudget() = default;
  // `ratio` is the number of retries that a request earns, `max_retries` the
  // maximum that accumulates.
  RetryBudget(double ratio, double max_retries) : ratio_(ratio) {
    SetMaxRetries(max_retries);
  }

  // Changes the maximum, for example when the number of hosts that share it
  // changes.
  void SetMaxRetries(double max_retries);
  // Records the first attempt of a request.
  void OnRequest();
  // Returns true and consumes one retry if one more attempt may be made.
  bool TakeRetry();

 private:
  static constexpr double kRetriesPerRequest = 0.2;
  static constexpr double kMaxRetries = 50;

  double ratio_ = kRetriesPerRequest;
  double max_retries_ = kMaxRetries;
  // Earned retries; starts at the maximum.
  double available_ = kMaxRetries;
  bool is_used_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_RETRY_BUDGET_H_
