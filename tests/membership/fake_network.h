// A network of membership tables with loss, pauses, partitions and a clock.

#ifndef TESTS_MEMBERSHIP_FAKE_NETWORK_H_
#define TESTS_MEMBERSHIP_FAKE_NETWORK_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "libs/membership/membership.h"

namespace turmericwinch {

// Hosts are named host-N, N from 0, in domain N % domains. Each message takes
// one step of the clock.
class FakeNetwork {
 public:
  using Time = Membership::Time;

  FakeNetwork(int hosts, int domains, std::uint64_t seed);

  static std::string NameOf(int host);
  // Starts a process of `host`, replacing one that runs.
  void Start(int host, std::uint64_t incarnation);
  void Kill(int host);
  void SetPaused(int host, bool paused);
  void Run(Time duration);
  // State of `host` in the table of `observer`; nothing if it is not there.
  std::optional<Member> View(int observer, int host) const;
  // Hosts whose table has `host` in `state`, the host itself left out.
  int CountViews(int host, MemberState state) const;
  Membership& host(int n) { return *hosts_.at(n).membership; }

  double loss = 0;
  // Whether a message between two hosts is cut off.
  std::function<bool(int, int)> is_cut;
  // Sees each message sent.
  std::function<void(const MembershipMessage&)> on_message;

 private:
  struct Host {
    std::unique_ptr<Membership> membership;
    bool paused = false;
    std::vector<MembershipMessage> held;
  };

  void Send(int from, Membership::Messages messages);
  void Deliver();

  std::map<int, Host> hosts_;
  std::map<std::string, int> by_address_;
  struct InFlight {
    int to;
    MembershipMessage message;
  };
  std::deque<InFlight> in_flight_;
  std::mt19937_64 random_;
  int domains_;
  Time now_{0};
};

}  // namespace turmericwinch

#endif  // TESTS_MEMBERSHIP_FAKE_NETWORK_H_
