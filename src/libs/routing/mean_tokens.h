// Moving average of the tokens of requests.

#ifndef SRC_LIBS_ROUTING_MEAN_TOKENS_H_
#define SRC_LIBS_ROUTING_MEAN_TOKENS_H_

#include <algorithm>

#include "libs/routing/routing_constants.h"

namespace turmericwinch {

// The plain mean of the first requests, so that a long first one does not count
// for many later ones.
class MeanTokens {
 public:
  void Record(double tokens) {
    mean_ += weight_ * (tokens - mean_);
    weight_ = std::max(weight_ / (1 + weight_), kPromptAverageWeight);
  }
  double mean() const { return mean_; }

 private:
  double mean_ = 0;
  // Weight of the next request: 1, 1/2, 1/3 and so on.
  double weight_ = 1;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_ROUTING_MEAN_TOKENS_H_
