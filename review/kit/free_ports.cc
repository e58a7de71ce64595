// Prints COUNT free loopback ports, one a line. They lie below the range from
// which the kernel takes ports for sockets that name none, so that neither the
// stand-ins nor their connections can take them before the gateways do.

#include <random>

#include "kit.h"

int main(int argc, char** argv) {
  constexpr int kFirst = 18000;
  constexpr int kLast = 32000;
  const int count = argc > 1 ? std::atoi(argv[1]) : 1;
  std::mt19937 random(std::random_device{}());
  std::vector<std::unique_ptr<kit::Server>> servers;
  for (int tries = 0;
       tries < 10000 && static_cast<int>(servers.size()) < count; ++tries) {
    auto server = std::make_unique<kit::Server>([](kit::Channel&) {});
    if (!server->Start(kFirst + static_cast<int>(random() % (kLast - kFirst))))
      continue;
    std::printf("%d\n", server->port());
    servers.push_back(std::move(server));
  }
  return static_cast<int>(servers.size()) == count ? 0 : 2;
}
