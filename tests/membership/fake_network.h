// Simulates a network of hosts with message loss, pauses, partitions and a
// simulated clock.

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

// Host N, counted from 0, is named host-N and is in domain N % domains. Each
// message is delivered at the next step of the clock.
class FakeNetwork {
 public:
  using Time = Membership::Time;

  FakeNetwork(int hosts, int domains, std::uint64_t seed);

  static std::string NameOf(int host);
  // Starts a process of `host`; replaces the running process if there is one.
  void Start(int host, std::uint64_t incarnation);
  void Kill(int host);
  void SetPaused(int host, bool paused);
  void Run(Time duration);
  // `host` as the table of `observer` has it; nothing if it is not there.
  std::optional<Member> View(int observer, int host) const;
  // Number of other hosts whose table has `host` in `state`.
  int CountViews(int host, MemberState state) const;
  Membership& host(int n) { return *hosts_.at(n).membership; }

  double loss = 0;
  // Whether a message from the first to the second host is dropped.
  std::function<bool(int, int)> is_cut;
  // Called with each message sent, before any loss.
  std::function<void(const MembershipMessage&)> on_message;

 private:
  struct Host {
    std::unique_ptr<Membership> membership;
    bool paused = false;
    std::vector<MembershipMessage> undelivered;
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
