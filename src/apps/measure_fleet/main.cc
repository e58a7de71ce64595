// Measures membership at several sizes with library calls and a fake clock.
// Usage: measure_fleet [HOSTS [TROUBLE]], HOSTS being one of the sizes and
// TROUBLE "none", "20% loss" or "pauses".

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <deque>
#include <random>
#include <string_view>

#include "libs/peer/peer_codec.h"
#include "membership/fake_network.h"

namespace turmericwinch {

namespace {

using Time = FakeNetwork::Time;

constexpr std::uint64_t kSeed = 20;
constexpr Time kSettle{60'000};
constexpr Time kWindow{120'000};
constexpr Time kStep{500};
constexpr Time kDetectLimit{120'000};
constexpr int kVictims = 3;
// The largest size takes long; it is measured over less.
constexpr int kLargeSize = 400;
constexpr Time kLargeWindow{60'000};
// Until the news of a start at once is told, at eight hosts a message.
constexpr Time kLargeSettle{600'000};
constexpr int kLargeVictims = 1;
// One more host pauses in each second, for this long.
constexpr Time kPause{3'000};
constexpr Time kPausePeriod{1'000};
constexpr int kHeartbeatsMissed = 3;
constexpr double kSecondMs = 1000;
// Headers of IP and TCP, of the segment and of its acknowledgement.
constexpr std::size_t kSegmentBytes = 2 * 52;

struct Size {
  int hosts;
  int domains;
};

constexpr Size kSizes[] = {{8, 3}, {64, 7}, {420, 7}};

struct Trouble {
  const char* name;
  double loss;
  bool pauses;
};

constexpr Trouble kTroubles[] = {{"none", 0, false},
                                 {"20% loss", 0.2, false},
                                 {"pauses", 0, true}};

// Pauses one more host in each period, for kPause.
class Pauses {
 public:
  Pauses(FakeNetwork& network, Size size) : network_(network), size_(size) {}

  void Run(Time duration) {
    for (Time passed{0}; passed < duration; passed += kPausePeriod) {
      const int host = static_cast<int>(random_() % size_.hosts);
      if (std::count(paused_.begin(), paused_.end(), host) == 0) {
        network_.SetPaused(host, true);
        paused_.push_back(host);
      }
      network_.Run(kPausePeriod);
      if (paused_.size() >= static_cast<std::size_t>(kPause / kPausePeriod))
        EndOne();
    }
    while (!paused_.empty())
      EndOne();
  }

 private:
  void EndOne() {
    network_.SetPaused(paused_.front(), false);
    paused_.pop_front();
  }

  FakeNetwork& network_;
  Size size_;
  std::deque<int> paused_;
  std::mt19937_64 random_{kSeed};
};

struct Figures {
  double payload_bytes_s = 0;
  double wire_bytes_s = 0;
  double messages_s = 0;
  double cpu_percent = 0;
  std::uint64_t suspicions = 0;
  int unreachable = 0;
  double detect_domain_s = 0;
  double detect_all_s = 0;
};

Time WindowOf(Size size) {
  return size.hosts >= kLargeSize ? kLargeWindow : kWindow;
}

int CountUnreachable(FakeNetwork& network, int hosts) {
  int n = 0;
  for (int host = 0; host < hosts; ++host)
    n += network.CountViews(host, MemberState::kUnreachable);
  return n;
}

// Hosts of the victim's domain, or all, that still give it work.
int CountBelievers(FakeNetwork& network, Size size, int victim, bool all) {
  int n = 0;
  for (int host = 0; host < size.hosts; ++host) {
    if (host == victim ||
        (!all && host % size.domains != victim % size.domains))
      continue;
    std::optional<Member> view = network.View(host, victim);
    n += view && IsUsable(*view) ? 1 : 0;
  }
  return n;
}

void MeasureSteady(FakeNetwork& network,
                   Size size,
                   bool pauses,
                   Figures* figures) {
  std::size_t payload = 0;
  std::size_t messages = 0;
  network.on_message = [&](const MembershipMessage& message) {
    payload += EncodeFrame(message).size();
    ++messages;
  };
  std::uint64_t before = 0;
  for (int n = 0; n < size.hosts; ++n)
    before += network.host(n).counters().suspicions;
  const std::clock_t started = std::clock();
  const Time window = WindowOf(size);
  if (pauses)
    Pauses(network, size).Run(window);
  else
    network.Run(window);
  const double cpu_s =
      static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
  network.on_message = nullptr;
  const double host_s = size.hosts * window.count() / kSecondMs;
  figures->payload_bytes_s = static_cast<double>(payload) / host_s;
  figures->messages_s = static_cast<double>(messages) / host_s;
  figures->wire_bytes_s =
      static_cast<double>(payload + messages * kSegmentBytes) / host_s;
  figures->cpu_percent = 100 * cpu_s / host_s;
  for (int n = 0; n < size.hosts; ++n)
    figures->suspicions += network.host(n).counters().suspicions;
  figures->suspicions -= before;
  figures->unreachable = CountUnreachable(network, size.hosts);
}

void MeasureDetection(FakeNetwork& network, Size size, Figures* figures) {
  const int victims = size.hosts >= kLargeSize
                          ? kLargeVictims
                          : std::min(kVictims, size.hosts / 4);
  for (int k = 0; k < victims; ++k) {
    const int victim = 2 + k;
    network.SetPaused(victim, true);
    double domain_s = -1;
    Time passed{0};
    while (passed < kDetectLimit) {
      network.Run(kStep);
      passed += kStep;
      if (domain_s < 0 && CountBelievers(network, size, victim, false) == 0)
        domain_s = passed.count() / kSecondMs;
      if (CountBelievers(network, size, victim, true) == 0)
        break;
    }
    figures->detect_domain_s += domain_s / victims;
    figures->detect_all_s += passed.count() / kSecondMs / victims;
    network.SetPaused(victim, false);
    if (k + 1 < victims)
      network.Run(kSettle);
  }
}

Figures Measure(Size size, const Trouble& trouble) {
  Figures figures;
  FakeNetwork network(size.hosts, size.domains, kSeed);
  network.Run(size.hosts >= kLargeSize ? kLargeSettle : kSettle);
  network.loss = trouble.loss;
  MeasureSteady(network, size, trouble.pauses, &figures);
  MeasureDetection(network, size, &figures);
  return figures;
}

std::size_t HeartbeatBytes() {
  MembershipMessage message;
  message.sender = {"host-400", "domain-3", "10.0.0.100:7000", 1'700'000'000};
  return EncodeFrame(message).size() + kSegmentBytes;
}

void PrintAlternatives(Size size) {
  const int peers = size.hosts / size.domains;
  const double lost = std::pow(0.2, kHeartbeatsMissed);
  std::printf(
      "%5d  heartbeats in the domain: %7.0f B/s sent by a host, "
      "detection %d s, false deaths in 120 s at 20%% loss: %.0f\n",
      size.hosts, static_cast<double>(HeartbeatBytes()) * peers,
      kHeartbeatsMissed,
      lost * size.hosts * peers * kWindow.count() / kSecondMs);
  constexpr std::size_t kListEntryBytes = 105;
  std::printf(
      "%5d  platform's list each second: %7zu B/s read by a host, "
      "%d calls/s in all, detection: the list's lag + 1 s\n",
      size.hosts, kListEntryBytes * size.hosts, size.hosts);
}

int Main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::printf(
      "hosts domains   trouble  payload_B/s  wire_B/s  messages/s  cpu_%%  "
      "suspicions  unreachable  detect_domain_s  detect_all_s\n");
  for (const Size& size : kSizes) {
    if (argc > 1 && std::atoi(argv[1]) != size.hosts)
      continue;
    for (const Trouble& trouble : kTroubles) {
      if (argc > 2 && trouble.name != std::string_view(argv[2]))
        continue;
      const Figures it = Measure(size, trouble);
      std::printf(
          "%5d %7d  %8s  %11.0f  %8.0f  %10.2f  %5.3f  %10llu  %11d"
          "  %15.1f  %12.1f\n",
          size.hosts, size.domains, trouble.name, it.payload_bytes_s,
          it.wire_bytes_s, it.messages_s, it.cpu_percent,
          static_cast<unsigned long long>(it.suspicions), it.unreachable,
          it.detect_domain_s, it.detect_all_s);
    }
  }
  for (const Size& size : kSizes)
    PrintAlternatives(size);
  return 0;
}

}  // namespace

}  // namespace turmericwinch

int main(int argc, char** argv) {
  return turmericwinch::Main(argc, argv);
}
