// Stand-ins for the cases of the second review: the platform's store, workers,
// clients, and gateways that are started with the command of the deploy file.
// Everything runs on loopback addresses and the real clock.

#ifndef REVIEW_STAND_INS_2_STAND_INS_H_
#define REVIEW_STAND_INS_2_STAND_INS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

inline const Clock::time_point g_start = Clock::now();

inline int NowMs() {
  return static_cast<int>(
      std::chrono::duration_cast<milliseconds>(Clock::now() - g_start).count());
}

inline void Sleep(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// Writes record.txt in the folder of the case.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { file_.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f  ", NowMs() / 1000.0);
    file_ << time << text << "\n";
    file_.flush();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

__attribute__((format(printf, 1, 2))) inline void Log(const char* format, ...) {
  char text[2048];
  va_list args;
  va_start(args, format);
  std::vsnprintf(text, sizeof(text), format, args);
  va_end(args);
  Record::Get().Line(text);
}

// ---------------------------------------------------------------- sockets

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A listener on a free port; -1 on failure.
inline int Listen(int port = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(fd, 1024) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// Ports that were free a moment ago, below those that the system gives to
// clients.
inline std::vector<int> FreePorts(int count) {
  constexpr int kFirst = 12'000;
  constexpr int kPorts = 18'000;
  static std::atomic<int> next{static_cast<int>(::getpid()) * 61 % kPorts};
  std::vector<int> ports;
  while (static_cast<int>(ports.size()) < count) {
    const int port = kFirst + next++ % kPorts;
    const int fd = Listen(port);
    if (fd < 0)
      continue;
    ::close(fd);
    ports.push_back(port);
  }
  return ports;
}

inline int Connect(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

inline bool WriteAll(int fd, std::string_view data) {
  while (!data.empty()) {
    const ssize_t n = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    data.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// ---------------------------------------------------------------- HTTP

struct Message {
  // Of a request.
  std::string method;
  std::string target;
  // Of a response; 0 if there was none.
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Whether the message came to its end as its framing says.
  bool whole = false;

  std::string Get(std::string_view name) const {
    for (const auto& [key, value] : headers) {
      if (key.size() == name.size() &&
          ::strncasecmp(key.data(), name.data(), name.size()) == 0)
        return value;
    }
    return "";
  }
};

// Reads messages from one socket.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  // Reads the next message. False if the peer closed before its head was whole
  // or `timeout_ms` passed.
  bool Read(Message* message, bool is_response, int timeout_ms) {
    end_ = Clock::now() + milliseconds(timeout_ms);
    std::size_t head_end = 0;
    while ((head_end = buf_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill())
        return false;
    }
    std::istringstream lines(buf_.substr(0, head_end + 2));
    buf_.erase(0, head_end + 4);
    std::string line;
    std::getline(lines, line);
    std::istringstream first(line);
    std::string word;
    if (is_response)
      first >> word >> message->status;
    else
      first >> message->method >> message->target;
    while (std::getline(lines, line)) {
      while (!line.empty() && line.back() == '\r')
        line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos)
        continue;
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message->headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
    }
    if (message->Get("Transfer-Encoding") == "chunked") {
      message->whole = ReadChunks(message);
    } else if (!message->Get("Content-Length").empty()) {
      const std::size_t size = std::stoul(message->Get("Content-Length"));
      while (buf_.size() < size && Fill()) {
      }
      message->whole = buf_.size() >= size;
      message->body = buf_.substr(0, size);
      buf_.erase(0, size);
    } else if (is_response) {
      while (Fill()) {
      }
      message->whole = closed_;
      message->body = std::exchange(buf_, "");
    } else {
      message->whole = true;
    }
    return true;
  }
  bool closed() const { return closed_; }

 private:
  bool ReadChunks(Message* message) {
    for (;;) {
      std::size_t line_end = 0;
      while ((line_end = buf_.find("\r\n")) == std::string::npos) {
        if (!Fill())
          return false;
      }
      const std::size_t size = std::stoul(buf_.substr(0, line_end), nullptr, 16);
      while (buf_.size() < line_end + 2 + size + 2) {
        if (!Fill()) {
          message->body += buf_.substr(line_end + 2);
          return false;
        }
      }
      message->body += buf_.substr(line_end + 2, size);
      buf_.erase(0, line_end + 2 + size + 2);
      if (size == 0)
        return true;
    }
  }

  bool Fill() {
    const auto left =
        std::chrono::duration_cast<milliseconds>(end_ - Clock::now()).count();
    pollfd poll_fd{fd_, POLLIN, 0};
    if (left <= 0 || ::poll(&poll_fd, 1, static_cast<int>(left)) <= 0)
      return false;
    char piece[16384];
    const ssize_t n = ::recv(fd_, piece, sizeof(piece), 0);
    if (n <= 0) {
      closed_ = true;
      return false;
    }
    buf_.append(piece, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string buf_;
  Clock::time_point end_;
  bool closed_ = false;
};

// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int fd)>;

  explicit Server(Handler handler) : handler_(std::move(handler)) {
    fd_ = Listen();
    port_ = PortOf(fd_);
    thread_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }

  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Stops to accept and ends all connections, as the end of a process does.
  void Stop() {
    if (stopped_.exchange(true))
      return;
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
    {
      std::lock_guard lock(mutex_);
      for (int it : open_)
        ::shutdown(it, SHUT_RDWR);
    }
    while (connections_ > 0)
      Sleep(5);
  }

 private:
  void Accept() {
    while (!stopped_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!stopped_)
          Sleep(5);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      ++connections_;
      {
        std::lock_guard lock(mutex_);
        open_.push_back(fd);
      }
      std::thread([this, fd] {
        handler_(fd);
        {
          std::lock_guard lock(mutex_);
          std::erase(open_, fd);
        }
        ::close(fd);
        --connections_;
      }).detach();
    }
  }

  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_{false};
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  std::vector<int> open_;
  std::thread thread_;
};

inline std::string Response(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// ---------------------------------------------------------------- the store

// The platform's store: objects by kind and name, conditional writes, watches.
class Store {
 public:
  Store() : server_([this](int fd) { Serve(fd); }) {}

  std::string address() const { return server_.address(); }

  // Writes an object as the operator or a worker does.
  void Put(const std::string& kind, const std::string& name, json::value spec) {
    std::lock_guard lock(mutex_);
    json::object object;
    auto found = kinds_[kind].find(name);
    const std::uint64_t next = revision_ + 1;
    object["metadata"] = {
        {"name", name},
        {"revision", next},
        {"created", found == kinds_[kind].end()
                        ? json::value(next)
                        : found->second.at("metadata").at("created")},
        {"finalizers", json::array()},
        {"deletion_pending", false}};
    object["spec"] = std::move(spec);
    object["status"] = nullptr;
    Change(kind, name, std::move(object), false);
  }
  void Remove(const std::string& kind, const std::string& name) {
    std::lock_guard lock(mutex_);
    auto found = kinds_[kind].find(name);
    if (found != kinds_[kind].end())
      Change(kind, name, found->second, true);
  }
  // The stored text of an object; empty if there is none.
  std::string Spec(const std::string& kind, const std::string& name) {
    std::lock_guard lock(mutex_);
    auto found = kinds_[kind].find(name);
    return found == kinds_[kind].end()
               ? ""
               : json::serialize(found->second.at("spec"));
  }

 private:
  struct Event {
    std::uint64_t revision;
    std::string kind;
    json::object event;
  };

  // Called with the lock held.
  void Change(const std::string& kind,
              const std::string& name,
              json::object object,
              bool deleted) {
    ++revision_;
    object["metadata"].as_object()["revision"] = revision_;
    history_.push_back(
        {revision_, kind, {{"object", object}, {"deleted", deleted}}});
    if (deleted)
      kinds_[kind].erase(name);
    else
      kinds_[kind][name] = std::move(object);
    changed_.notify_all();
  }

  static std::string Field(const std::string& query, const std::string& name) {
    std::istringstream parts(query);
    std::string part;
    while (std::getline(parts, part, '&')) {
      if (part.rfind(name + "=", 0) == 0)
        return part.substr(name.size() + 1);
    }
    return "";
  }

  static std::string Json(int status, const json::value& value) {
    return Response(status, {{"Content-Type", "application/json"}},
                    json::serialize(value));
  }

  std::string Handle(const Message& request) {
    const std::string prefix = "/api/objects/";
    const std::size_t mark = request.target.find('?');
    const std::string query =
        mark == std::string::npos ? "" : request.target.substr(mark + 1);
    std::string path = request.target.substr(0, mark);
    if (path.rfind(prefix, 0) != 0)
      return Json(404, json::object());
    path = path.substr(prefix.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
    std::unique_lock lock(mutex_);
    if (request.method == "GET" && !Field(query, "watch").empty())
      return Watch(lock, kind, std::stoull(Field(query, "watch")),
                   std::stoi(Field(query, "wait_ms")));
    if (request.method == "GET" && name.empty()) {
      json::array items;
      for (const auto& [key, object] : kinds_[kind]) {
        if (key > Field(query, "since_revision"))
          items.push_back(object);
      }
      return Json(200, {{"items", std::move(items)},
                        {"has_more", false},
                        {"at", revision_}});
    }
    auto found = kinds_[kind].find(name);
    if (request.method == "GET") {
      return found == kinds_[kind].end() ? Json(404, json::object())
                                         : Json(200, found->second);
    }
    return Write(request, query, kind, std::move(name));
  }

  std::string Write(const Message& request,
                    const std::string& query,
                    const std::string& kind,
                    std::string name) {
    json::object body;
    if (!request.body.empty())
      body = json::parse(request.body).as_object();
    json::object metadata;
    if (body.contains("metadata"))
      metadata = body["metadata"].as_object();
    if (request.method == "POST")
      name = std::string(metadata["name"].as_string());
    auto found = kinds_[kind].find(name);
    const bool exists = found != kinds_[kind].end();
    if (request.method == "POST" && exists)
      return Json(409, found->second);
    if (request.method != "POST" && !exists)
      return Json(404, json::object());
    std::string condition = Field(query, "revision");
    if (metadata.contains("revision"))
      condition = json::serialize(metadata["revision"]);
    if (exists && !condition.empty() &&
        condition !=
            json::serialize(found->second.at("metadata").at("revision")))
      return Json(409, found->second);
    if (request.method == "DELETE") {
      Change(kind, name, found->second, true);
      return Json(200, json::object());
    }
    if (exists && found->second.at("spec") == body["spec"])
      return Json(200, found->second);
    json::object object;
    object["metadata"] = {
        {"name", name},
        {"revision", revision_ + 1},
        {"created", exists ? found->second.at("metadata").at("created")
                           : json::value(revision_ + 1)},
        {"finalizers", json::array()},
        {"deletion_pending", false}};
    object["spec"] = body["spec"];
    object["status"] = nullptr;
    Change(kind, name, std::move(object), false);
    return Json(200, kinds_[kind][name]);
  }

  std::string Watch(std::unique_lock<std::mutex>& lock,
                    const std::string& kind,
                    std::uint64_t after,
                    int wait_ms) {
    const auto end = Clock::now() + milliseconds(wait_ms);
    json::array events;
    for (;;) {
      for (const Event& it : history_) {
        if (it.revision > after && it.kind == kind)
          events.push_back(it.event);
      }
      if (!events.empty() ||
          changed_.wait_until(lock, end) == std::cv_status::timeout)
        break;
    }
    return Json(200, {{"events", std::move(events)}, {"at", revision_}});
  }

  void Serve(int fd) {
    Reader reader(fd);
    Message request;
    while (reader.Read(&request, false, 60'000)) {
      // The store answers in 4 ms.
      Sleep(4);
      if (!WriteAll(fd, Handle(request)))
        return;
      request = Message();
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, json::object>> kinds_;
  std::vector<Event> history_;
  std::uint64_t revision_ = 1;
  // The last member, as its threads use the others.
  Server server_;
};

// ---------------------------------------------------------------- gateways

inline std::string ReplaceAll(std::string text,
                              const std::string& from,
                              const std::string& to) {
  for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos;
       at += to.size())
    text.replace(at, from.size(), to);
  return text;
}

// The machine's memory in the sheet of the small installation, in MB.
inline constexpr int kMachineMemoryMb = 195;

// One machine of the installation. The command line is that of the deploy file.
class Gateway {
 public:
  Gateway(std::string name, std::string zone, std::string store)
      : name_(std::move(name)), zone_(std::move(zone)), store_(std::move(store)) {
    const std::vector<int> ports = FreePorts(4);
    port_ = ports[0];
    health_ = ports[1];
    metrics_ = ports[2];
    peer_ = ports[3];
  }
  ~Gateway() { Kill(); }

  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  const std::string& name() const { return name_; }

  // Starts the process; its log goes to `log_path`.
  bool Start(const std::string& log_path) {
    const std::vector<std::string> words = Command();
    if (words.empty())
      return false;
    std::vector<char*> args;
    for (const std::string& it : words)
      args.push_back(const_cast<char*>(it.c_str()));
    args.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
      // The process must not outlive the case.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                             0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      ::execv(args[0], args.data());
      ::_exit(127);
    }
    Log("%s: process started", name_.c_str());
    return pid_ > 0;
  }
  void Signal(int number) {
    if (pid_ > 0)
      ::kill(pid_, number);
  }
  // SIGKILL, and waits for the end.
  void Kill() {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
    Log("%s: process killed", name_.c_str());
  }
  bool HasEnded() {
    if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
      pid_ = -1;
    return pid_ <= 0;
  }
  // Whether the process answers the platform's readiness probe with 200.
  bool IsReady() const {
    const int fd = Connect(health_);
    if (fd < 0)
      return false;
    Message response;
    Reader reader(fd);
    WriteAll(fd, "GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n");
    const bool read = reader.Read(&response, true, 1'000);
    ::close(fd);
    return read && response.status == 200;
  }
  bool WaitUntilReady(int timeout_ms) {
    const int end = NowMs() + timeout_ms;
    while (NowMs() < end) {
      if (IsReady())
        return true;
      Sleep(50);
    }
    return false;
  }
  // A field of the process's status in kB; 0 if it has ended.
  long StatusKb(const std::string& field) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.rfind(field + ":", 0) == 0)
        return std::stol(line.substr(field.size() + 1));
    }
    return 0;
  }

 private:
  // Fills in the template of the deploy file.
  std::vector<std::string> Command() const {
    std::ifstream file("deploy/system.toml");
    std::string line;
    std::string run;
    while (std::getline(file, line)) {
      if (line.rfind("run = \"", 0) == 0)
        run = line.substr(7, line.rfind('"') - 7);
    }
    const std::string open = "{{#zones}}";
    const std::string close = "{{/zones}}";
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    for (std::size_t at = 0; (at = run.find(open)) != std::string::npos;) {
      const std::size_t end = run.find(close, at);
      const std::string body =
          run.substr(at + open.size(), end - at - open.size());
      std::string text;
      for (std::size_t n = 0; n < zones.size(); ++n) {
        std::string part = ReplaceAll(body, "{{@}}", zones[n]);
        part = ReplaceAll(part, "{{.}}", "region");
        text += ReplaceAll(part, "{{,}}", n + 1 < zones.size() ? "," : "");
      }
      run.replace(at, end + close.size() - at, text);
    }
    const auto local = [](int port) {
      return "127.0.0.1:" + std::to_string(port);
    };
    const std::map<std::string, std::string> values = {
        {"node_name", name_},
        {"zone", zone_},
        {"region", "region"},
        {"ip", "127.0.0.1"},
        {"listen.frontend", local(port_)},
        {"listen.readiness", local(health_)},
        {"port_range.0", std::to_string(metrics_)},
        {"port_range.1", std::to_string(peer_)},
        {"platform.address", store_},
        {"platform.reads_per_s", "2000"},
        {"platform.writes_per_s", "400"},
        {"platform.max_value_bytes", "1048576"},
        {"limits.link_mbps", "750.0"},
        {"limits.memory_mb", std::to_string(kMachineMemoryMb)},
        {"limits.max_fds", "3075"},
        {"limits.cores", "1"},
        {"limits.cpu_fraction", "0.19"},
        {"bounds.retry_budget_ratio", "0.2"},
        {"bounds.budget_slack", "56"},
        {"bounds.contact_ms", "3000"},
        {"bounds.drain_ms", "2000"},
        {"bounds.grace_s", "8"},
        {"bounds.config_apply_ms", "2000"},
        {"contracts", "base,drain,config,cost,retry,recover,engine,stream,"
                      "tenants,platform"}};
    for (const auto& [name, value] : values)
      run = ReplaceAll(run, "{{" + name + "}}", value);
    // What the installation does not have is empty.
    for (std::size_t at = 0; (at = run.find("{{")) != std::string::npos;)
      run.erase(at, run.find("}}", at) + 2 - at);
    std::vector<std::string> words;
    std::istringstream stream(run);
    for (std::string word; stream >> word;)
      words.push_back(word);
    return words;
  }

  std::string name_;
  std::string zone_;
  std::string store_;
  int port_ = 0;
  int health_ = 0;
  int metrics_ = 0;
  int peer_ = 0;
  pid_t pid_ = -1;
};

// ---------------------------------------------------------------- clients

// Sends one request on a new connection and reads the answer to its end.
// Returns a status of 0 if the connection ended without one.
inline Message Ask(int port,
                   const std::string& method,
                   const std::string& path,
                   const std::vector<std::pair<std::string, std::string>>& headers,
                   const std::string& body,
                   int timeout_ms) {
  Message answer;
  const int fd = Connect(port);
  if (fd < 0)
    return answer;
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: h.example\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (WriteAll(fd, text)) {
    Reader reader(fd);
    reader.Read(&answer, true, timeout_ms);
  }
  ::close(fd);
  return answer;
}

// ---------------------------------------------------------------- workers

// The entry with which a worker registers itself.
inline json::object WorkerEntry(const std::string& service,
                                const std::string& zone,
                                const std::string& address) {
  const auto born = std::chrono::duration_cast<milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
  return {{"service", service},   {"address", address},
          {"zone", zone},         {"version", "v1"},
          {"slots", 64},          {"state", "ready"},
          {"cold_remaining_ms", 0}, {"sequence", 1},
          {"born", born}};
}

// The headers of a worker's own answer to `request`.
inline std::vector<std::pair<std::string, std::string>> AnswerHeaders(
    const Message& request) {
  const std::string id = request.Get("Turmericwinch-Attempt-Id");
  return {{"Turmericwinch-Attempt-Id", id},
          {"Turmericwinch-Response-Signature", "mac." + id}};
}

// The configuration of a small installation with one tenant.
inline json::object Config(json::array routes,
                           json::array services,
                           std::int64_t prepaid) {
  return {{"version", 7},
          {"routes", std::move(routes)},
          {"services", std::move(services)},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants",
           json::array{{{"name", "team"},
                        {"api_keys", json::array{"key"}},
                        {"priority", 1},
                        {"prepaid", prepaid}}}}};
}

inline json::object Route(const std::string& prefix,
                          const std::string& type,
                          const std::string& service,
                          int attempts,
                          int timeout_ms,
                          bool resumable = false) {
  return {{"name", "r-" + service + prefix}, {"host", "h.example"},
          {"path_prefix", prefix},  {"type", type},
          {"timeout_ms", timeout_ms}, {"slo_ms", 300},
          {"priority", 0},          {"service", service},
          {"max_attempts", attempts}, {"public", false},
          {"sticky", true},         {"resumable", resumable},
          {"itl_target_ms", 300}};
}

inline json::object PlainService(const std::string& name) {
  return {{"name", name},
          {"health_path", "/healthz"},
          {"max_conns", 110},
          {"protocol", "h1"},
          {"tls", false}};
}

inline json::object EngineService(const std::string& name) {
  json::object service = PlainService(name);
  service["max_conns"] = 370;
  service["engine"] = {{"slots", 64},
                       {"kv_capacity", 400328},
                       {"kv_token_bytes", 18432},
                       {"stride", 6},
                       {"models", json::array{{{"name", "m"}}}}};
  return service;
}

// ---------------------------------------------------------------- the case

// Parts of a case's main(): sets the record and ends with its verdict. `run`
// gets whether the disruption is on and the folder for logs.
inline int RunCase(
    int argc,
    char** argv,
    const std::function<int(bool trouble, const std::string& logs)>& run) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::string setting = argc == 3 ? argv[2] : "";
  if (setting != "on" && setting != "off") {
    std::cerr << "usage: case FOLDER on|off\n";
    return kNotRun;
  }
  Record::Get().Open(std::string(argv[1]) + "/record.txt");
  const bool trouble = setting == "on";
  const char* temporary = std::getenv("TMPDIR");
  std::string logs = std::string(temporary ? temporary : "/tmp") + "/caseXXXXXX";
  if (!::mkdtemp(logs.data()))
    return kNotRun;
  Log("trouble: %s", trouble ? "on" : "off");
  const int verdict = run(trouble, logs);
  Log("verdict: %s", verdict == kHeld     ? "the rule held"
                     : verdict == kBroken ? "the rule was broken"
                                          : "the case could not run");
  std::error_code ignored;
  if (!std::getenv("KEEP_LOGS"))
    std::filesystem::remove_all(logs, ignored);
  // The threads of the stand-ins may still wait for connections.
  ::_exit(verdict);
}

}  // namespace review

#endif  // REVIEW_STAND_INS_2_STAND_INS_H_
