// A tenant sends some requests that its remaining balance does not cover. Do its
// other requests, which the balance covers, still get answers afterwards?

#include "../stand-ins-2/stand_ins.h"

using namespace review;

namespace {

constexpr std::int64_t kPrepaid = 100'000;
// Each small request uses all tokens that it may use.
constexpr int kPromptTokens = 500;
constexpr int kEvents = 10;
constexpr int kTokensPerEvent = 6;
constexpr std::int64_t kSmallTokens = kPromptTokens + kEvents * kTokensPerEvent;
constexpr int kSmallBefore = 75;
constexpr int kSmallDuring = 50;
constexpr int kSmallAfter = 30;
// A long prompt: 60,000 tokens do not fit into what is left.
constexpr char kLargeBound[] = "59900,100";
constexpr int kLarge = 100;
constexpr int kIntervalMs = 70;
// contact_ms of the sheet, and a little more.
constexpr int kCalmMs = 3'500;

void ServeStreams(int fd) {
  Reader reader(fd);
  Message request;
  while (reader.Read(&request, false, 60'000)) {
    Log("worker: runs %s", request.Get("Turmericwinch-Attempt-Id").c_str());
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
    Sleep(20);
    WriteAll(fd, text + "0\r\n\r\n");
    request = Message();
  }
}

class Tenant {
 public:
  Tenant(std::vector<std::unique_ptr<Gateway>>& gateways)
      : gateways_(gateways) {}

  int Ask(const std::string& id, const std::string& bound, std::size_t machine) {
    Gateway& gateway = *gateways_[machine % gateways_.size()];
    const Message answer = review::Ask(
        gateway.port(), "POST", "/chat/1",
        {{"Turmericwinch-Attempt-Id", id},
         {"Turmericwinch-Model", "m"},
         {"Turmericwinch-Token-Count", bound},
         {"Turmericwinch-Prefix-Hash", "5c1e07a2:400,e4402b7d:100"},
         {"Turmericwinch-Deadline-Ms", "12000"},
         {"Authorization", "Token key"}},
        "a question", 13'000);
    Log("client: %s (%s) at %s answered with %d; %lld of %lld tokens used",
        id.c_str(), bound.c_str(), gateway.name().c_str(), answer.status,
        static_cast<long long>(used_), static_cast<long long>(kPrepaid));
    return answer.status;
  }

  // Sends one small request. Returns its status.
  int AskSmall() {
    const bool fits = used_ + kSmallTokens <= kPrepaid * 97 / 100;
    const std::string id = "small-" + std::to_string(sent_);
    const int status = Ask(id, "500,60", sent_++);
    // An answer that is not a refusal may have used all its tokens.
    if (status != 402 && status != 503)
      used_ += kSmallTokens;
    served_ += status == 200;
    if (status == 402 && fits) {
      Log("DENIED: %s was answered with 402", id.c_str());
      ++denied_;
    }
    Sleep(kIntervalMs);
    return status;
  }

  int sent() const { return static_cast<int>(sent_); }
  int served() const { return served_; }
  int denied() const { return denied_; }
  std::int64_t used() const { return used_; }

 private:
  std::vector<std::unique_ptr<Gateway>>& gateways_;
  std::size_t sent_ = 0;
  int served_ = 0;
  int denied_ = 0;
  std::int64_t used_ = 0;
};

int Run(bool trouble, const std::string& logs) {
  Store store;
  Server worker(ServeStreams);
  store.Put("servers", "i-1", WorkerEntry("llm", "zone-a", worker.address()));
  json::object config =
      Config({Route("/chat/", "streaming", "llm", 2, 12'000, true)},
             {EngineService("llm")}, kPrepaid);
  // Further tenants, which send nothing.
  const char* tenants = std::getenv("TENANTS");
  for (int n = 1; tenants && n < std::atoi(tenants); ++n) {
    config["tenants"].as_array().push_back(
        {{"name", "team" + std::to_string(n)},
         {"api_keys", json::array{"key" + std::to_string(n)}},
         {"priority", 1},
         {"prepaid", kPrepaid}});
  }
  store.Put("config", "main", std::move(config));
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (const char* zone : {"zone-a", "zone-b", "zone-c"}) {
    gateways.push_back(std::make_unique<Gateway>(std::string("edge-") + zone,
                                                 zone, store.address()));
    if (!gateways.back()->Start(logs + "/" + gateways.back()->name() + ".log"))
      return kNotRun;
  }
  for (auto& it : gateways) {
    if (!it->WaitUntilReady(10'000))
      return kNotRun;
  }
  Sleep(kCalmMs);
  Tenant tenant(gateways);
  for (int n = 0; n < kSmallBefore; ++n)
    tenant.AskSmall();
  for (int n = 0; n < kSmallDuring; ++n) {
    for (int m = 0; trouble && m < kLarge / kSmallDuring; ++m)
      tenant.Ask("large-" + std::to_string(n) + "-" + std::to_string(m),
                 kLargeBound, 0);
    tenant.AskSmall();
  }
  const int denied_before = tenant.denied();
  Sleep(kCalmMs);
  for (int n = 0; n < kSmallAfter; ++n)
    tenant.AskSmall();
  Log("account: %s", store.Spec("turmericwinch", "fleet-account").c_str());
  Log("%d small requests, %d served, %d denied, of these %d after the large "
      "ones; %lld of %lld tokens used",
      tenant.sent(), tenant.served(), tenant.denied(),
      tenant.denied() - denied_before, static_cast<long long>(tenant.used()),
      static_cast<long long>(kPrepaid));
  if (tenant.served() == 0)
    return kNotRun;
  return tenant.denied() > 5 + tenant.sent() / 500 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Run);
}
