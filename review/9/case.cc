// A worker numbers the events of its streams from 0, and crashes after the
// first event of some. Does the client get each event once?

#include "../stand-ins-2/stand_ins.h"

using namespace review;

namespace {

constexpr int kEvents = 12;
constexpr int kStreams = 60;
// The worker crashes this often: a share of 0.17 of the workers, each for some
// seconds.
constexpr int kCrashes = 3;
constexpr int kFirstCrash = 10;
constexpr int kStreamsBetweenCrashes = 15;

// A worker of the model service. It honours Last-Event-Id.
class Worker {
 public:
  explicit Worker(std::string id) : id_(std::move(id)), server_([this](int fd) {
    Serve(fd);
  }) {}

  std::string address() const { return server_.address(); }
  // The next stream that the worker begins ends after its first event, as the
  // worker crashes.
  static std::atomic<bool> crashes_next;
  static std::atomic<int> crashes;

 private:
  static std::string Chunk(int n) {
    const std::string event = "id: " + std::to_string(n) + "\ndata: piece " +
                              std::to_string(n) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    return size + event + "\r\n";
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request, false, 60'000)) {
      const std::string id = request.Get("Turmericwinch-Attempt-Id");
      const std::string last = request.Get("Last-Event-Id");
      const int first = last.empty() ? 0 : std::stoi(last) + 1;
      Log("%s: runs %s from piece %d", id_.c_str(), id.c_str(), first);
      std::string head =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n";
      for (const auto& [name, value] : AnswerHeaders(request))
        head += name + ": " + value + "\r\n";
      WriteAll(fd, head + "\r\n");
      for (int n = first; n < kEvents; ++n) {
        if (!WriteAll(fd, Chunk(n)))
          return;
        Sleep(10);
        if (n == 0 && crashes_next.exchange(false)) {
          Log("%s: crashes", id_.c_str());
          ++crashes;
          const linger reset{1, 0};
          ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
          return;
        }
      }
      WriteAll(fd, "0\r\n\r\n");
      request = Message();
    }
  }

  std::string id_;
  Server server_;
};

std::atomic<bool> Worker::crashes_next{false};
std::atomic<int> Worker::crashes{0};

int Run(bool trouble, const std::string& logs) {
  Store store;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int n = 0; n < 6; ++n) {
    const std::string id = "i-" + std::to_string(n);
    workers.push_back(std::make_unique<Worker>(id));
    store.Put("servers", id,
              WorkerEntry("llm", "zone-a", workers.back()->address()));
  }
  store.Put("config", "main",
            Config({Route("/chat/", "streaming", "llm", 2, 12'000, true)},
                   {EngineService("llm")}, 10'000'000));
  Gateway gateway("edge-1", "zone-a", store.address());
  if (!gateway.Start(logs + "/edge-1.log") || !gateway.WaitUntilReady(10'000))
    return kNotRun;
  std::string expected;
  for (int n = 0; n < kEvents; ++n)
    expected += "piece " + std::to_string(n) + ";";
  int whole = 0;
  int out_of_order = 0;
  for (int n = 0; n < kStreams; ++n) {
    if (trouble && n >= kFirstCrash &&
        (n - kFirstCrash) % kStreamsBetweenCrashes == 0 &&
        Worker::crashes < kCrashes)
      Worker::crashes_next = true;
    const std::string id = "chat-" + std::to_string(n);
    const Message answer =
        Ask(gateway.port(), "POST", "/chat/1",
            {{"Turmericwinch-Attempt-Id", id},
             {"Turmericwinch-Model", "m"},
             {"Turmericwinch-Token-Count", "500,100"},
             {"Turmericwinch-Prefix-Hash", "5c1e07a2:400,e4402b7d:100"},
             {"Turmericwinch-Deadline-Ms", "12000"},
             {"Authorization", "Token key"}},
            "a question", 13'000);
    std::string pieces;
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("data: ", 0) == 0)
        pieces += line.substr(6) + ";";
    }
    Log("client: %s answered with %d, %s: %s", id.c_str(), answer.status,
        answer.whole ? "whole" : "cut", pieces.c_str());
    whole += answer.status == 200 && answer.whole;
    // A stream that was cut must be a beginning of the right one.
    const bool in_order = answer.whole ? pieces == expected
                                       : expected.rfind(pieces, 0) == 0;
    if (answer.status == 200 && !in_order) {
      Log("ORDER: the pieces of %s are missing, doubled or joined", id.c_str());
      ++out_of_order;
    }
    Sleep(100);
  }
  Log("%d streams, %d whole, %d crashes, %d out of order", kStreams, whole,
      Worker::crashes.load(), out_of_order);
  if (whole < kStreams / 2 || (trouble && Worker::crashes == 0))
    return kNotRun;
  return out_of_order > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return RunCase(argc, argv, Run);
}
