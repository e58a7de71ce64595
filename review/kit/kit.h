// Stand-ins for the review's scripts: the platform's store, workers and
// clients, over blocking sockets on loopback. One thread a connection.

#ifndef REVIEW_KIT_KIT_H_
#define REVIEW_KIT_KIT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <strings.h>
#include <thread>
#include <vector>

namespace kit {

using Clock = std::chrono::steady_clock;
namespace json = boost::json;

inline Clock::time_point& StartTime() {
  static Clock::time_point time = Clock::now();
  return time;
}

inline double Now() {
  return std::chrono::duration<double>(Clock::now() - StartTime()).count();
}

inline void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Writes lines to the record of the case, with the seconds since its start.
class Record {
 public:
  static void Open(const char* path) { File() = std::fopen(path, "w"); }
  __attribute__((format(printf, 1, 2))) static void Line(const char* format,
                                                         ...) {
    static std::mutex mutex;
    std::lock_guard lock(mutex);
    std::fprintf(File(), "%8.3f ", Now());
    va_list args;
    va_start(args, format);
    std::vfprintf(File(), format, args);
    va_end(args);
    std::fputc('\n', File());
    std::fflush(File());
  }

 private:
  static std::FILE*& File() {
    static std::FILE* file = stdout;
    return file;
  }
};

struct Headers {
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Get(const char* name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name) == 0)
        return value;
    }
    return "";
  }
  bool Has(const char* name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name) == 0)
        return true;
    }
    return false;
  }
};

struct Request {
  std::string method, target, body;
  Headers headers;
};

// A connected socket with a read buffer. All calls take a deadline.
class Channel {
 public:
  explicit Channel(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Channel() { Close(); }
  Channel(const Channel&) = delete;

  static std::unique_ptr<Channel> Connect(int port, double timeout) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    timeval limit{static_cast<time_t>(timeout),
                  static_cast<suseconds_t>((timeout - static_cast<int>(timeout)) *
                                           1e6)};
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
        0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Channel>(fd);
  }

  int fd() const { return fd_; }
  // Closes with a reset instead of an orderly end.
  void Reset() {
    if (fd_ < 0)
      return;
    linger off{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
    Close();
  }
  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }
  bool Write(const std::string& data) {
    for (std::size_t n = 0; n < data.size();) {
      const ssize_t done =
          send(fd_, data.data() + n, data.size() - n, MSG_NOSIGNAL);
      if (done <= 0)
        return false;
      n += static_cast<std::size_t>(done);
    }
    return true;
  }
  // Whether the peer has closed or reset the channel.
  bool IsClosed() const {
    char probe = 0;
    const ssize_t n = recv(fd_, &probe, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  enum class ReadResult { kData, kEnd, kReset, kTimeout };
  // Reads more bytes into the buffer.
  ReadResult Fill(double deadline) {
    const double left = deadline - Now();
    pollfd wait{fd_, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0)
      return ReadResult::kTimeout;
    char bytes[16384];
    const ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n == 0)
      return ReadResult::kEnd;
    if (n < 0)
      return ReadResult::kReset;
    buf_.append(bytes, static_cast<std::size_t>(n));
    return ReadResult::kData;
  }
  // Reads a head; returns false if the channel ended or at the deadline.
  bool ReadHead(std::string* first_line, Headers* headers, double deadline) {
    std::size_t end = 0;
    while ((end = buf_.find("\r\n\r\n")) == std::string::npos) {
      if (Fill(deadline) != ReadResult::kData)
        return false;
    }
    std::string head = buf_.substr(0, end + 2);
    buf_.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    *first_line = head.substr(0, at);
    headers->fields.clear();
    for (at += 2; at < head.size();) {
      const std::size_t stop = head.find("\r\n", at);
      const std::string line = head.substr(at, stop - at);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ')
          ++value;
        headers->fields.push_back({line.substr(0, colon), line.substr(value)});
      }
      at = stop + 2;
    }
    return true;
  }
  bool ReadBytes(std::size_t count, std::string* out, double deadline) {
    while (buf_.size() < count) {
      if (Fill(deadline) != ReadResult::kData)
        return false;
    }
    *out = buf_.substr(0, count);
    buf_.erase(0, count);
    return true;
  }
  // Reads a line without its line end.
  bool ReadLine(std::string* out, double deadline) {
    std::size_t end = 0;
    while ((end = buf_.find("\r\n")) == std::string::npos) {
      if (Fill(deadline) != ReadResult::kData)
        return false;
    }
    *out = buf_.substr(0, end);
    buf_.erase(0, end + 2);
    return true;
  }
  bool ReadRequest(Request* request, double deadline) {
    std::string line;
    if (!ReadHead(&line, &request->headers, deadline))
      return false;
    const std::size_t one = line.find(' ');
    const std::size_t two = line.rfind(' ');
    request->method = line.substr(0, one);
    request->target = line.substr(one + 1, two - one - 1);
    request->body.clear();
    const std::string length = request->headers.Get("Content-Length");
    return length.empty() || ReadBytes(std::strtoul(length.c_str(), nullptr, 10),
                                       &request->body, deadline);
  }
  std::string& buf() { return buf_; }

 private:
  int fd_;
  std::string buf_;
};

// Accepts connections on a loopback port and serves each on a thread. Stop()
// closes the listener and cuts all connections, as a crashed process does.
class Server {
 public:
  using Handler = std::function<void(Channel&)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {}
  ~Server() { Stop(); }

  // 0 takes a free port. Returns whether the port could be taken.
  bool Start(int port) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (receive_buffer_ > 0)
      setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_,
                 sizeof(receive_buffer_));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        listen(fd_, 128) != 0) {
      close(fd_);
      return false;
    }
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    running_ = std::make_shared<std::atomic<bool>>(true);
    acceptor_ = std::thread([this, running = running_, fd = fd_] {
      while (*running) {
        pollfd wait{fd, POLLIN, 0};
        if (poll(&wait, 1, 50) <= 0)
          continue;
        const int peer = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0)
          continue;
        auto channel = std::make_shared<Channel>(peer);
        {
          std::lock_guard lock(mutex_);
          channels_.insert(channel);
        }
        std::thread([this, channel] {
          handler_(*channel);
          std::lock_guard lock(mutex_);
          channel->Close();
          channels_.erase(channel);
        }).detach();
      }
    });
    return true;
  }
  void Stop() {
    if (!running_ || !running_->exchange(false))
      return;
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
    if (acceptor_.joinable())
      acceptor_.join();
    std::lock_guard lock(mutex_);
    for (const auto& it : channels_) {
      if (it->fd() >= 0)
        shutdown(it->fd(), SHUT_RDWR);
    }
  }
  int port() const { return port_; }
  bool running() const { return running_ && *running_; }
  void SetReceiveBuffer(int bytes) { receive_buffer_ = bytes; }

 private:
  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
  int receive_buffer_ = 0;
  std::shared_ptr<std::atomic<bool>> running_;
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Channel>> channels_;
};

// The platform's store with linearizable objects and watches.
class Store {
 public:
  Store() : server_([this](Channel& channel) { Serve(channel); }) {}

  bool Start(int port) { return server_.Start(port); }
  int port() const { return server_.port(); }

  // The operator's and the workers' writes.
  void Put(const std::string& kind,
           const std::string& name,
           const json::value& spec) {
    std::lock_guard lock(mutex_);
    Object& object = kinds_[kind][name];
    if (object.revision != 0 && object.spec == spec)
      return;
    object.spec = spec;
    Changed(kind, name, object, false);
  }
  // All channels that are open now go silent for good: nothing that comes on them
  // is read, and no answer leaves. New channels work.
  void SilenceOpenChannels() {
    std::lock_guard lock(mutex_);
    ++silence_;
  }
  // When a watch of `kind` last began, in seconds.
  double WatchBegan(const std::string& kind) {
    std::lock_guard lock(mutex_);
    return watch_began_[kind];
  }
  void Remove(const std::string& kind, const std::string& name) {
    std::lock_guard lock(mutex_);
    auto& objects = kinds_[kind];
    auto it = objects.find(name);
    if (it == objects.end())
      return;
    Object gone = it->second;
    objects.erase(it);
    Changed(kind, name, gone, true);
  }

 private:
  struct Object {
    std::int64_t revision = 0, created = 0;
    json::value spec, status;
    json::value finalizers = json::array();
  };
  struct Event {
    std::int64_t revision;
    std::string kind;
    json::value content;
  };

  static json::value ToJson(const std::string& name, const Object& object) {
    return {{"metadata",
             {{"name", name},
              {"revision", object.revision},
              {"created", object.created},
              {"finalizers", object.finalizers},
              {"deletion_pending", false}}},
            {"spec", object.spec},
            {"status", object.status}};
  }
  void Changed(const std::string& kind,
               const std::string& name,
               Object& object,
               bool deleted) {
    object.revision = ++revision_;
    if (object.created == 0)
      object.created = object.revision;
    events_.push_back(
        {revision_, kind,
         json::object{{"deleted", deleted}, {"object", ToJson(name, object)}}});
    changed_.notify_all();
  }
  static std::string Query(const std::string& target, const std::string& name) {
    const std::size_t question = target.find('?');
    if (question == std::string::npos)
      return "";
    std::string query = "&" + target.substr(question + 1);
    const std::size_t at = query.find("&" + name + "=");
    if (at == std::string::npos)
      return "";
    const std::size_t start = at + name.size() + 2;
    return query.substr(start, query.find('&', start) - start);
  }

  // Holds a silent channel until its peer closes it. Returns whether the channel
  // is silent.
  bool HoldIfSilent(Channel& channel, int silence_at_open) {
    {
      std::lock_guard lock(mutex_);
      if (silence_ == silence_at_open)
        return false;
    }
    for (char byte = 0; recv(channel.fd(), &byte, 1, 0) > 0;) {
    }
    return true;
  }
  void Serve(Channel& channel) {
    int silence_at_open = 0;
    {
      std::lock_guard lock(mutex_);
      silence_at_open = silence_;
    }
    Request request;
    while (channel.ReadRequest(&request, Now() + 60)) {
      if (HoldIfSilent(channel, silence_at_open))
        return;
      int status = 200;
      const std::string body = json::serialize(Answer(request, &status));
      if (HoldIfSilent(channel, silence_at_open))
        return;
      std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
      text += "Content-Type: application/json\r\nContent-Length: ";
      text += std::to_string(body.size()) + "\r\n\r\n" + body;
      if (!channel.Write(text))
        return;
    }
  }

  json::value Answer(const Request& request, int* status) {
    const std::string prefix = "/api/objects/";
    std::string path = request.target.substr(0, request.target.find('?'));
    if (path.rfind(prefix, 0) != 0) {
      *status = 404;
      return nullptr;
    }
    path.erase(0, prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : path.substr(slash + 1);
    std::unique_lock lock(mutex_);
    auto& objects = kinds_[kind];
    if (request.method == "GET" && name.empty()) {
      const std::string watch = Query(request.target, "watch");
      return watch.empty()
                 ? List(objects)
                 : Watch(kind, std::stoll(watch),
                         std::stod(Query(request.target, "wait_ms")) / 1000,
                         lock);
    }
    auto found = objects.find(name);
    if (request.method == "GET") {
      if (found != objects.end())
        return ToJson(name, found->second);
      *status = 404;
      return json::object();
    }
    boost::system::error_code ec;
    const json::value body = json::parse(
        request.body.empty() ? std::string("{}") : request.body, ec);
    const json::object* top = ec ? nullptr : body.if_object();
    if (!top) {
      *status = 400;
      return json::object();
    }
    const json::value* metadata = top->if_contains("metadata");
    if (request.method == "POST") {
      const std::string created(
          metadata->as_object().at("name").as_string());
      if (objects.count(created) > 0) {
        *status = 409;
        return ToJson(created, objects[created]);
      }
      Object& object = objects[created];
      Replace(object, *top);
      Changed(kind, created, object, false);
      return ToJson(created, object);
    }
    if (found == objects.end()) {
      *status = 404;
      return json::object();
    }
    Object& object = found->second;
    std::int64_t expected = 0;
    if (const json::value* it =
            metadata ? metadata->as_object().if_contains("revision") : nullptr)
      expected = it->to_number<std::int64_t>();
    const std::string in_query = Query(request.target, "revision");
    if (!in_query.empty())
      expected = std::stoll(in_query);
    if (expected != 0 && expected != object.revision) {
      *status = 409;
      return ToJson(name, object);
    }
    if (request.method == "DELETE") {
      Object gone = object;
      objects.erase(found);
      Changed(kind, name, gone, true);
      return json::object();
    }
    const json::value before = object.spec;
    Replace(object, *top);
    if (object.spec != before)
      Changed(kind, name, object, false);
    return ToJson(name, object);
  }
  static void Replace(Object& object, const json::object& body) {
    if (const json::value* spec = body.if_contains("spec"))
      object.spec = *spec;
  }
  json::value List(const std::map<std::string, Object>& objects) {
    json::array items;
    for (const auto& [name, object] : objects)
      items.push_back(ToJson(name, object));
    return json::object{
        {"items", std::move(items)}, {"has_more", false}, {"at", revision_}};
  }
  json::value Watch(const std::string& kind,
                    std::int64_t after,
                    double wait,
                    std::unique_lock<std::mutex>& lock) {
    const auto end = Clock::now() + std::chrono::duration<double>(wait);
    watch_began_[kind] = Now();
    for (;;) {
      json::array events;
      for (const Event& it : events_) {
        if (it.revision > after && it.kind == kind)
          events.push_back(it.content);
      }
      if (!events.empty() || Clock::now() >= end)
        return json::object{{"events", std::move(events)}, {"at", revision_}};
      changed_.wait_until(
          lock, std::chrono::time_point_cast<Clock::duration>(end));
    }
  }

  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t revision_ = 100;
  int silence_ = 0;
  std::map<std::string, double> watch_began_;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::vector<Event> events_;
};

// A worker: registers in the store, renews its entry, and serves requests by
// the handler that the case gives.
class Worker {
 public:
  struct Run {
    Worker& worker;
    Channel& channel;
    const Request& request;
    std::string id;
  };
  // Answers one request. Returns whether the channel goes on.
  using Handler = std::function<bool(Run&)>;

  Worker(Store& store,
         std::string name,
         std::string service,
         std::string zone,
         int slots,
         Handler handler)
      : store_(store),
        name_(std::move(name)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        slots_(slots),
        handler_(std::move(handler)),
        server_([this](Channel& channel) { Serve(channel); }) {}
  ~Worker() {
    stopped_ = true;
    if (beat_.joinable())
      beat_.join();
  }

  // Starts a new boot under a new id, on the same address as before.
  bool Start() {
    if (!server_.Start(server_.port()))
      return false;
    const int boot = ++boot_;
    {
      std::lock_guard lock(mutex_);
      id_ = name_ + "-" + std::to_string(boot);
    }
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    alive_ = true;
    Beat();
    if (!beat_.joinable()) {
      beat_ = std::thread([this] {
        while (!stopped_) {
          Sleep(1.2);
          if (alive_)
            Beat();
        }
      });
    }
    return true;
  }
  // The process ends at once: connections break, the port refuses. The entry
  // lapses after three liveness reports. Starts again after `down` seconds.
  void Crash(double down) {
    if (!alive_.exchange(false))
      return;
    const std::string old = id();
    std::thread([this, old, down] {
      server_.Stop();
      Sleep(down);
      store_.Remove("servers", old);
      while (!stopped_ && !Start())
        Sleep(0.1);
      Record::Line("worker %s is back as %s", name_.c_str(), id().c_str());
    }).detach();
  }
  bool alive() const { return alive_; }
  std::string id() const {
    std::lock_guard lock(mutex_);
    return id_;
  }
  Server& server() { return server_; }

 private:
  void Beat() {
    store_.Put("servers", id(),
               json::object{{"service", service_},
                            {"address", "127.0.0.1:" +
                                            std::to_string(server_.port())},
                            {"zone", zone_},
                            {"version", "v1"},
                            {"slots", slots_},
                            {"state", "ready"},
                            {"cold_remaining_ms", 0},
                            {"born", born_},
                            {"sequence", ++sequence_}});
  }
  void Serve(Channel& channel) {
    Request request;
    while (alive_ && channel.ReadRequest(&request, Now() + 30)) {
      const std::string id = request.headers.Get("Turmericwinch-Attempt-Id");
      const std::string target =
          request.headers.Get("Turmericwinch-Target-Instance");
      if (!target.empty() && target != this->id()) {
        if (!channel.Write("HTTP/1.1 421 Misdirected Request\r\n"
                           "Turmericwinch-Attempt-Id: " +
                           id + "\r\nTurmericwinch-Instance-Id: " + this->id() +
                           "\r\nContent-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      Run run{*this, channel, request, id};
      if (!handler_(run))
        return;
    }
  }

  Store& store_;
  std::string name_, service_, zone_;
  int slots_;
  Handler handler_;
  Server server_;
  std::thread beat_;
  mutable std::mutex mutex_;
  std::string id_;
  int boot_ = 0;
  std::int64_t born_ = 0;
  std::atomic<std::int64_t> sequence_{0};
  std::atomic<bool> alive_{false}, stopped_{false};
};

inline std::string AnswerHead(int status,
                              const std::string& id,
                              const std::string& more) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nTurmericwinch-Attempt-Id: " + id +
         "\r\nTurmericwinch-Response-Signature: sig." + id + "\r\n" + more +
         "\r\n";
}

inline std::string Answer(int status,
                          const std::string& id,
                          const std::string& body,
                          const std::string& more = "") {
  return AnswerHead(status, id,
                    more + "Content-Length: " + std::to_string(body.size()) +
                        "\r\n") +
         body;
}

inline std::string Chunk(const std::string& data) {
  char size[24];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

// What a client saw of one request.
struct Reply {
  int status = 0;
  Headers headers;
  std::string body;
  // Whether the answer came whole.
  bool complete = false;
  // When the head and the end came, or when the channel ended.
  double sent_at = 0, head_at = 0, end_at = 0;
  bool timed_out = false;
};

// Sends one request on a new channel and reads its answer until `limit` seconds
// after it was sent; then the client closes its channel.
inline Reply Call(int port,
                  const std::string& method,
                  const std::string& path,
                  const std::string& headers,
                  const std::string& body,
                  double limit) {
  Reply reply;
  reply.sent_at = Now();
  const double deadline = reply.sent_at + limit;
  auto channel = Channel::Connect(port, 1.0);
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n";
  text += headers;
  if (method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  std::string line;
  if (!channel || !channel->Write(text) ||
      !channel->ReadHead(&line, &reply.headers, deadline)) {
    reply.end_at = Now();
    reply.timed_out = reply.end_at >= deadline;
    return reply;
  }
  reply.head_at = Now();
  reply.status = std::atoi(line.c_str() + line.find(' '));
  if (strcasecmp(reply.headers.Get("Transfer-Encoding").c_str(), "chunked") ==
      0) {
    std::string size;
    while (channel->ReadLine(&size, deadline)) {
      const std::size_t n = std::strtoul(size.c_str(), nullptr, 16);
      std::string piece;
      if (n == 0) {
        reply.complete = channel->ReadLine(&piece, deadline);
        break;
      }
      if (!channel->ReadBytes(n, &piece, deadline))
        break;
      reply.body += piece;
      if (!channel->ReadLine(&piece, deadline))
        break;
    }
  } else {
    const std::size_t n = std::strtoul(
        reply.headers.Get("Content-Length").c_str(), nullptr, 10);
    reply.complete = channel->ReadBytes(n, &reply.body, deadline);
  }
  reply.end_at = Now();
  reply.timed_out = !reply.complete && reply.end_at >= deadline;
  return reply;
}

// The arguments of a case: STORE-PORT RECORD FRONTEND:READINESS...
struct Arguments {
  int store_port = 0;
  bool trouble = true;
  std::vector<int> frontends, readiness;

  Arguments(int argc, char** argv) {
    store_port = std::atoi(argv[1]);
    Record::Open(argv[2]);
    for (int n = 3; n < argc; ++n) {
      frontends.push_back(std::atoi(argv[n]));
      readiness.push_back(std::atoi(std::strchr(argv[n], ':') + 1));
    }
    const char* text = std::getenv("TROUBLE");
    trouble = !text || std::string(text) != "0";
    Record::Line("trouble: %s", trouble ? "yes" : "no");
  }
  // Waits until all gateways say that they are ready.
  bool WaitUntilReady(double timeout) const {
    const double end = Now() + timeout;
    for (int port : readiness) {
      for (;;) {
        const Reply reply =
            Call(port, "GET", "/api/readyz", "", "", 1.0);
        if (reply.status == 200)
          break;
        if (Now() > end)
          return false;
        Sleep(0.1);
      }
    }
    return true;
  }
};

// Ends the process without waiting for threads that still serve.
[[noreturn]] inline void Finish(int code) {
  Record::Line("exit %d", code);
  std::fflush(nullptr);
  _exit(code);
}

}  // namespace kit

#endif  // REVIEW_KIT_KIT_H_
