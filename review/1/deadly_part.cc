// One part of a prompt crashes each worker that begins to write an answer on it:
// the worker sends the first events of the stream and ends. Counts the requests
// with the part that still reach workers later than contact_ms after the fifth
// crash. With SEEN=1, the part is answered whole until kDeadlyFrom, and then
// crashes workers before the first event. With EVENTS=0, a new part crashes them
// before the first event.

#include "kit.h"

using namespace kit;

namespace {

constexpr double kContact = 3.0;
constexpr double kDeadlyFrom = 10.0;
constexpr double kEnd = 60.0;
constexpr double kDown = 3.0;
constexpr int kWorkers = 8;
constexpr int kTolerated = 3;
const std::string kPart = "5c1e07a2";

struct Arrival {
  double time;
  std::string worker;
};

std::mutex mutex;
std::vector<double> crashes;
std::vector<Arrival> arrivals;

bool HasPart(const Request& request) {
  const std::string parts = request.headers.Get("Turmericwinch-Prefix-Hash");
  return parts.find("," + kPart + ":") != std::string::npos;
}

json::value Config() {
  return {{"version", 7},
          {"routes",
           {json::object{{"name", "review"},
                         {"host", "shop.example"},
                         {"path_prefix", "/review/"},
                         {"type", "streaming"},
                         {"timeout_ms", 5000},
                         {"slo_ms", 500},
                         {"priority", 1},
                         {"service", "llm"},
                         {"max_attempts", 1},
                         {"public", false},
                         {"sticky", true},
                         {"resumable", false},
                         {"itl_target_ms", 250}}}},
          {"services",
           {json::object{{"name", "llm"},
                         {"health_path", "/healthz"},
                         {"max_conns", 370},
                         {"protocol", "h1"},
                         {"tls", false},
                         {"engine",
                          {{"slots", 16},
                           {"kv_capacity", 413482},
                           {"stride", 1},
                           {"models", {json::object{{"name", "m"}}}}}}}}},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           {json::object{{"name", "floor"},
                         {"api_keys", {"floorkey"}},
                         {"priority", 1},
                         {"prepaid", 50000000}}}}};
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments(argc, argv);
  const char* seen = std::getenv("SEEN");
  const bool seen_before = seen && std::string(seen) == "1";
  const char* count = std::getenv("EVENTS");
  const int events_before_crash =
      seen_before ? 0 : std::atoi(count ? count : "4");
  Store store;
  if (!store.Start(arguments.store_port))
    Finish(2);
  store.Put("config", "main", Config());

  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < kWorkers; ++n) {
    workers.push_back(std::make_unique<Worker>(
        store, "w" + std::to_string(n), "llm", n % 2 ? "zone-b" : "zone-a", 16,
        [&](Worker::Run& run) {
          if (run.request.method == "GET")
            return run.channel.Write(Answer(200, run.id, "{}"));
          const bool has_part = HasPart(run.request);
          if (has_part) {
            std::lock_guard lock(mutex);
            arrivals.push_back({Now(), run.worker.id()});
          }
          Sleep(0.03);
          const bool crashes_now =
              has_part && arguments.trouble && Now() >= kDeadlyFrom;
          const auto crash = [&] {
            {
              std::lock_guard lock(mutex);
              crashes.push_back(Now());
            }
            Record::Line("request %s with the part reached %s, which crashes",
                         run.id.c_str(), run.worker.id().c_str());
            run.worker.Crash(kDown);
            return false;
          };
          if (crashes_now && events_before_crash == 0)
            return crash();
          std::string text =
              AnswerHead(200, run.id,
                         "Content-Type: text/event-stream\r\n"
                         "Transfer-Encoding: chunked\r\n");
          if (!run.channel.Write(text))
            return false;
          for (int event = 1; event <= 12; ++event) {
            Sleep(0.02);
            if (crashes_now && event > events_before_crash)
              return crash();
            if (!run.channel.Write(Chunk("id: " + std::to_string(event) +
                                         "\ndata: token\n\n")))
              return false;
          }
          return run.channel.Write("0\r\n\r\n");
        }));
    if (!workers.back()->Start())
      Finish(2);
  }
  if (!arguments.WaitUntilReady(20))
    Finish(2);
  Sleep(1);
  StartTime() = Clock::now();
  Record::Line("gateways are ready; the part crashes workers from %.0f s on",
               kDeadlyFrom);

  // Clients send 10 requests a second, and of these one every 2 s with the part,
  // from kDeadlyFrom on (with SEEN=1, from the start). No two are alike.
  std::vector<std::thread> threads;
  std::atomic<int> sound{0}, sound_ok{0}, part_ok{0}, part_sent{0};
  for (int n = 0; Now() < kEnd; ++n) {
    const bool has_part = n % 20 == 0 && (seen_before || Now() >= kDeadlyFrom);
    threads.emplace_back([&, n, has_part] {
      const int port = arguments.frontends[(n / (has_part ? 20 : 1)) %
                                           arguments.frontends.size()];
      const std::string id = "r" + std::to_string(n);
      char own[32];
      std::snprintf(own, sizeof(own), "%08x:50", 0x10000 + n);
      const std::string parts =
          "91bd3f06:400," +
          (has_part ? kPart : std::string("e4402b") + std::to_string(n % 7)) +
          ":400," + own;
      const Reply reply =
          Call(port, "POST", "/review/batch",
               "Turmericwinch-Attempt-Id: " + id +
                   "\r\nTurmericwinch-Model: m\r\n"
                   "Turmericwinch-Token-Count: 850,20\r\n"
                   "Turmericwinch-Prefix-Hash: " +
                   parts +
                   "\r\nTurmericwinch-Deadline-Ms: 5000\r\n"
                   "Authorization: Token floorkey\r\n",
               "batch " + id, 5.0);
      const bool ok = reply.status == 200 && reply.complete;
      if (has_part) {
        ++part_sent;
        part_ok += ok;
        Record::Line("request %s with the part: status %d, %s", id.c_str(),
                     reply.status, ok ? "whole" : "not whole");
      } else {
        ++sound;
        sound_ok += ok;
        if (!ok)
          Record::Line("sound request %s: status %d, not whole", id.c_str(),
                       reply.status);
      }
    });
    Sleep(0.1);
  }
  for (std::thread& it : threads)
    it.join();

  std::lock_guard lock(mutex);
  int late = 0;
  if (crashes.size() >= 5) {
    const double bound = crashes[4] + kContact;
    for (const Arrival& it : arrivals)
      late += it.time > bound;
    Record::Line("fifth crash at %.3f s; bound %.3f s", crashes[4], bound);
  }
  Record::Line("%zu crashes; %d requests with the part sent, %zu reached "
               "workers, %d answered; %d of %d sound ones answered",
               crashes.size(), part_sent.load(), arrivals.size(),
               part_ok.load(), sound_ok.load(), sound.load());
  Record::Line("requests with the part that reached workers after the bound: "
               "%d; allowed: %d",
               late, kTolerated);
  Finish(late > kTolerated ? 1 : 0);
}
