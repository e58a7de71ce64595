// Keeps retries to a share of the traffic, so that they never multiply an
// outage. Free of clocks, threads and sockets.

#ifndef SRC_LIBS_DELIVERY_RETRY_BUDGET_H_
#define SRC_LIBS_DELIVERY_RETRY_BUDGET_H_

namespace turmericwinch {

// Each request earns a part of a retry; what is earned is kept up to a bound.
// In any span of time no more retries are made than the bound and what the
// span's requests earn.
class RetryBudget {
 public:
  RetryBudget() = default;
  // `ratio` is what a request earns, `most` how many retries are kept.
  RetryBudget(double ratio, double most) : ratio_(ratio) {
    SetMaxRetries(most);
  }

  // Changes the bound, as when other hosts join those that share it.
  void SetMaxRetries(double most);
  // Counts a request's first attempt.
  void OnRequest();
  // Whether one more attempt may be made now; if so it is counted.
  bool TakeRetry();

 private:
  static constexpr double kRatio = 0.2;
  static constexpr double kMostRetries = 50;

  double ratio_ = kRatio;
  double most_ = kMostRetries;
  // Earned retries; starts at the bound.
  double earned_ = kMostRetries;
  bool used_ = false;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_RETRY_BUDGET_H_
