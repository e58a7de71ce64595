// Finds requests that crash the targets that run them. Free of clocks, threads
// and sockets.

#ifndef SRC_LIBS_DELIVERY_QUARANTINE_H_
#define SRC_LIBS_DELIVERY_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace turmericwinch {

// A request, by the digest of its team and body, that is refused for `hold`
// from the time of the verdict.
struct QuarantineVerdict {
  std::string digest;
  std::chrono::milliseconds hold{0};
};

// A request that was in flight on two lost targets is refused. Requests that
// were lost together, both times, are refused for a short time only: one of
// them is to blame, and the others are answered when they come again.
class Quarantine {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // A target was lost while it ran the request `digest`, here or at another
  // host. Answers a verdict if this makes one that other hosts should learn.
  // What is heard of one target's loss again counts once.
  std::optional<QuarantineVerdict> OnLost(const std::string& digest,
                                          const std::string& target,
                                          Time now);
  // A target answered the request: it is no suspect any more. Answers whether
  // it was one.
  bool OnAnswered(const std::string& digest);
  // Whether the request is to be refused.
  bool IsQuarantined(const std::string& digest, Time now) const;
  // Takes over the verdict of another host.
  void AddVerdict(const QuarantineVerdict& verdict, Time now);
  // Forgets what is no longer held.
  void Expire(Time now);

  std::size_t suspects() const { return suspects_.size(); }

 private:
  struct Suspect {
    int losses = 0;
    // Losses in which other requests were lost on the same target.
    int shared_losses = 0;
    Time last;
    std::chrono::milliseconds hold{0};
  };
  struct Loss {
    Time time;
    std::set<std::string> digests;
  };

  void MarkShared(const std::string& digest);

  std::map<std::string, Suspect> suspects_;
  std::map<std::string, Loss> losses_;
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_DELIVERY_QUARANTINE_H_
