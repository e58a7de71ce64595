// Keeps retries to a share of the traffic, so that they never multiply an
// outage. Free of clocks, threads and sockets.

#ifndef SRC_LIBS_DELIVERY_RETRY_BUDGET_H_
#define SRC_LIBS_DELIVERY_RETRY_BUDGET_H_

namespace turmericwinch {

// Each request earns a part of a retry; what is earned is kept up to a bound.
class RetryBudget {
 public:
  // Counts a request's first attempt.
  void OnRequest();
  // Whether one more attempt may be made now; if so it is counted.
  bool TakeRetry();

 private:
  // Earned retries, in parts of a retry; starts at the bound.
  int parts_ = kMostParts;

  static constexpr int kPartsPerRetry = 10;
  static constexpr int kPartsPerRequest = 2;
  static constexpr int kMostRetries = 50;
  static constexpr int kMostParts = kMostRetries * kPartsPerRetry;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_RETRY_BUDGET_H_
