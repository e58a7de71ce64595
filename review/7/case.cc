// All machines lose power at the same time, twice. Does a tenant that
// has used a small part of its prepaid tokens still get answers?

#include "../stand-ins-2/stand_ins.h"

using namespace review;

namespace {

// Each request uses all tokens that it may use.
constexpr int kPromptTokens = 500;
constexpr int kEvents = 10;
constexpr int kTokensPerEvent = 6;
constexpr std::int64_t kRequestTokens = kPromptTokens + kEvents * kTokensPerEvent;
constexpr int kRounds = 5;
constexpr int kRequestsPerRound = 50;
// All machines lose power after each of the first rounds.
constexpr int kLosses = 2;
constexpr int kRequestIntervalMs = 100;
// The sheet's factor: the tenant has prepaid 1.3 times what it asks for.
constexpr std::int64_t kPrepaid =
    kRounds * kRequestsPerRound * kRequestTokens * 13 / 10;
// Time for which the machines are dark.
constexpr int kDarkMs = 3'000;
// Time that the machines run before the next request, so that they are in
// touch.
constexpr int kCalmMs = 3'500;

void ServeStreams(int fd) {
  Reader reader(fd);
  Message request;
  while (reader.Read(&request, false, 60'000)) {
    std::string text =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n";
    for (const auto& [name, value] : AnswerHeaders(request))
      text += name + ": " + value + "\r\n";
    text += "\r\n";
    for (int n = 1; n <= kEvents; ++n) {
      const std::string event =
          "id: " + std::to_string(n) + "\ndata: six tokens\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      text += size + event + "\r\n";
    }
    Log("worker: runs %s", request.Get("Turmericwinch-Attempt-Id").c_str());
    Sleep(20);
    WriteAll(fd, text + "0\r\n\r\n");
    request = Message();
  }
}

int Run(bool trouble, const std::string& logs) {
  Store store;
  Server worker(ServeStreams);
  store.Put("servers", "i-1", WorkerEntry("llm", "zone-a", worker.address()));
  store.Put("config", "main",
            Config({Route("/chat/", "streaming", "llm", 2, 12'000, true)},
                   {EngineService("llm")}, kPrepaid));
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
    gateways.push_back(std::make_unique<Gateway>(std::string("edge-") + zone,
                                                 zone, store.address()));
  }
  const auto start_all = [&] {
    for (auto& it : gateways) {
      if (!it->Start(logs + "/" + it->name() + ".log"))
        return false;
    }
    return std::all_of(gateways.begin(), gateways.end(), [](auto& it) {
      return it->WaitUntilReady(10'000);
    });
  };
  if (!start_all())
    return kNotRun;
  // The most that all requests so far may have used, whether they ran or not.
  std::int64_t used_at_most = 0;
  int sent = 0;
  int served = 0;
  int denied = 0;
  for (int round = 0; round < kRounds; ++round) {
    Sleep(kCalmMs);
    for (int n = 0; n < kRequestsPerRound; ++n) {
      Gateway& gateway = *gateways[static_cast<std::size_t>(n) % 3];
      const std::string id = "chat-" + std::to_string(sent++);
      const std::int64_t with_this = used_at_most + kRequestTokens;
      const Message answer =
          Ask(gateway.port(), "POST", "/chat/1",
              {{"Turmericwinch-Attempt-Id", id},
               {"Turmericwinch-Model", "m"},
               {"Turmericwinch-Token-Count", "500,60"},
               {"Turmericwinch-Prefix-Hash", "5c1e07a2:400,e4402b7d:100"},
               {"Turmericwinch-Deadline-Ms", "12000"},
               {"Authorization", "Token key"}},
              "a question", 13'000);
      Log("client: %s at %s answered with %d; all requests so far can have "
          "used %lld of %lld tokens",
          id.c_str(), gateway.name().c_str(), answer.status,
          static_cast<long long>(used_at_most),
          static_cast<long long>(kPrepaid));
      used_at_most = with_this;
      served += answer.status == 200 && answer.whole;
      if (answer.status == 402 && with_this <= kPrepaid * 97 / 100) {
        Log("DENIED: %s was answered with 402", id.c_str());
        ++denied;
      }
      Sleep(kRequestIntervalMs - 30);
    }
    Log("account: %s", store.Spec("turmericwinch", "fleet-account").c_str());
    if (round + 1 == kRounds)
      break;
    if (trouble && round < kLosses) {
      Log("all machines lose power");
      for (auto& it : gateways)
        it->Kill();
      Sleep(kDarkMs);
      if (!start_all())
        return kNotRun;
    }
  }
  Log("%d requests, %d served, %d denied although %lld of %lld tokens at most "
      "were used",
      sent, served, denied, static_cast<long long>(used_at_most),
      static_cast<long long>(kPrepaid));
  if (served == 0)
    return kNotRun;
  return denied > 5 + sent / 500 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Run);
}
