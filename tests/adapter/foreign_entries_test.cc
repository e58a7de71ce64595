// Guards against entries of other writers that hide those of the platform or of
// the hosts: after a restart a host then knows no target, or an old list.

#include <CppUTest/TestHarness.h>

#include <boost/asio.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include "libs/routing/host_list_change.h"
#include "paged_store.h"
#include "platform/store_client.h"
#include "support/run_coroutine.h"

namespace turmericwinch::platform {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

constexpr PlatformRates kRates{100'000, 100'000};
constexpr int kTargets = 5;

std::string Entry(const std::string& quoted_name,
                  const std::string& spec,
                  const std::string& revision = "5") {
  return R"({"metadata":{"name":)" + quoted_name + R"(,"revision":)" +
         revision + R"(},"spec":)" + spec + R"(,"status":null})";
}

std::string Quoted(const std::string& name) {
  return json::serialize(json::string(name));
}

const std::string& TargetSpec() {
  static const std::string spec =
      R"({"service":"llm","address":"10.0.0.1:1","zone":"a","state":"ready",)"
      R"("born":5})";
  return spec;
}

// Names that need an encoding in a URL, in JSON text or in a header field, or
// that a path or a query treats in a special way.
std::vector<std::string> SpecialNames() {
  std::vector<std::string> names = {
      "a&b",         "a+b",      "a#b",
      "a%b",         "a%20b",    "a b",
      " ",           "a?b",      "a/b",
      "a=b",         "a;b",      "a&watch=1",
      "a\"b\\c",     "a<>{}|^`", "\xc3\xa9\xe2\x82\xac",
      "a\r\nX-H: 1", "a\tb",     "%00",
      "..",          "./x",      std::string("a\0b", 3)};
  // Every other byte of ASCII.
  for (char c = 1; c < 0x7f; ++c)
    names.emplace_back(1, c);
  return names;
}

}  // namespace

TEST_GROUP(ForeignEntries) {
  asio::io_context context{1};
  PagedStore store{context};
  StoreClient client{context, store.endpoint, kRates, 1};
  Reason reason;

  template <typename T>
  T Run(asio::awaitable<T> coroutine) {
    return RunCoroutine(context, std::move(coroutine));
  }

  static std::string TargetName(int n) {
    return "i-" + std::to_string(n);
  }

  // Stores the targets, and `entry` after the n-th of them, under the name
  // with this `suffix`.
  void Store(int n, const std::string& suffix, const std::string& entry) {
    store.objects.clear();
    for (int target = 1; target <= kTargets; ++target) {
      store.objects[TargetName(target)] =
          Entry(Quoted(TargetName(target)), TargetSpec());
    }
    store.objects[TargetName(n) + suffix] = entry;
    store.calls_left = 50;
  }

  void CheckTargets(const std::string& text) {
    const auto hosts = Run(client.HostsSince({}, milliseconds(0), &reason));
    CHECK_TEXT(hosts.has_value(), (text + ": " + reason.text).c_str());
    const auto list = ParseHostList(hosts->text, &reason);
    CHECK_TEXT(list.has_value(), text.c_str());
    LONGS_EQUAL_TEXT(kTargets, list->targets.size(), text.c_str());
    for (int n = 1; n <= kTargets; ++n)
      STRCMP_EQUAL(TargetName(n).c_str(), list->targets[n - 1].name.c_str());
  }
};

// The entry is alone on its page, so that its name is part of the next call, or
// at any place of a page with others.
TEST(ForeignEntries, NoNameHidesTheTargetsOnLaterPages) {
  for (std::size_t page_size : {1, 2, 3}) {
    store.page_size = page_size;
    for (const std::string& suffix : SpecialNames()) {
      for (int n = 0; n <= kTargets; ++n) {
        const std::string name = TargetName(n) + suffix;
        Store(n, suffix, Entry(Quoted(name), R"("other")"));
        CheckTargets(Quoted(name));
      }
    }
  }
}

// A call with such a name would exceed the size of a request's head.
TEST(ForeignEntries, ALongNameHidesNoOtherTarget) {
  const std::string suffix(100'000, '&');
  for (int n = 0; n <= kTargets; ++n) {
    Store(n, suffix, Entry(Quoted(TargetName(n) + suffix), "1"));
    CheckTargets("long name");
  }
}

// A well-formed registration under a name that no header field can hold names
// no target: it would split the header of requests.
TEST(ForeignEntries, ARegistrationUnderAnUnusableNameIsNoTarget) {
  for (const char* suffix : {" b", "\r\nX-Header: 1", "\t", "\xc3\xa9"}) {
    const std::string name = TargetName(2) + suffix;
    Store(2, suffix, Entry(Quoted(name), TargetSpec()));
    CheckTargets(Quoted(name));
  }
}

// The name or the revision cannot be read, so only the other entries can say
// where the next page begins.
TEST(ForeignEntries, UnreadableMetadataHidesNoOtherTarget) {
  const std::string deep = std::string(10'000, '[') + std::string(10'000, ']');
  for (int n = 0; n <= kTargets; ++n) {
    Store(n, "x", Entry("\"" + TargetName(n) + "x\xff\"", "1"));
    CheckTargets("invalid UTF-8");
    Store(n, "x", Entry(R"("\ud800")", deep));
    CheckTargets("lone surrogate");
    Store(n, "x", Entry(Quoted(TargetName(n) + "x"), "1", "null"));
    CheckTargets("no revision");
    Store(n, "x", Entry("7", "1"));
    CheckTargets("name of another type");
    Store(n, "x", "null");
    CheckTargets("no object");
  }
}

TEST(ForeignEntries, NoSpecHidesTheTargetsOnLaterPages) {
  const std::string deep = std::string(10'000, '{') + std::string(10'000, '}');
  const std::string specs[] = {deep,
                               R"({"a":1e99999999999})",
                               R"({"items":[],"has_more":false,"at":1})",
                               "\"\xff\xfe\"",
                               R"("\udc00")",
                               "NaN",
                               "{\"a\":\"]}\\\"\",\"b\":[{\"c\":\xff}]}",
                               "\"" + std::string(1'000'000, 'x') + "\"",
                               "null"};
  for (const std::string& spec : specs) {
    for (int n = 0; n <= kTargets; ++n) {
      Store(n, "&x", Entry(Quoted(TargetName(n) + "&x"), spec));
      CheckTargets(spec.substr(0, 40));
    }
  }
}

// Targets that change in the same answer are used although an entry of another
// writer is added, replaces a target's, or is removed.
TEST(ForeignEntries, EntriesAddedLaterHideNoChange) {
  const auto event = [](const std::string& entry, const char* deleted) {
    return R"({"deleted":)" + std::string(deleted) + R"(,"object":)" + entry +
           "}";
  };
  for (const std::string& name : SpecialNames()) {
    for (const char* deleted : {"true", "false"}) {
      store.events = R"({"events":[)" +
                     event(Entry(Quoted(name), "1"), deleted) + "," +
                     event(Entry("\"\xff\"", "1"), deleted) + "," +
                     event("null", deleted) + "," +
                     event(Entry(R"("i-1")", TargetSpec()), "false") + "," +
                     event(Entry(R"("i-2")", "[7]"), "false") + R"(],"at":12})";
      store.calls_left = 1;
      const auto hosts =
          Run(client.HostsSince({0, 9}, milliseconds(10), &reason));
      CHECK_TEXT(hosts.has_value(), reason.text.c_str());
      LONGS_EQUAL(12, hosts->version.revision);
      const auto changes = ParseHostListChanges(hosts->text, &reason);
      CHECK_TEXT(changes.has_value(), Quoted(name).c_str());
      const HostListChange& target = (*changes)[changes->size() - 2];
      STRCMP_EQUAL("i-1", target.member.name.c_str());
      CHECK(!target.removed);
      STRCMP_EQUAL("i-2", changes->back().member.name.c_str());
      CHECK(changes->back().removed);
    }
  }
}

// The hosts' own kinds are listed in the same way.
TEST(ForeignEntries, NoNameHidesTheHostsOwnObjects) {
  store.page_size = 1;
  for (const std::string& suffix : SpecialNames()) {
    for (int n = 0; n <= kTargets; ++n) {
      const std::string name = TargetName(n) + suffix;
      Store(n, suffix, Entry(Quoted(name), R"("other")"));
      const auto names = Run(client.NamesSince(
          PlatformDuty::kConfig, "evacuations", {}, milliseconds(0), &reason));
      CHECK_TEXT(names.has_value(), Quoted(name).c_str());
      LONGS_EQUAL(kTargets + 1, names->present.size());
      const auto object = Run(client.Watch(PlatformDuty::kConfig, "config/i-5",
                                           {}, milliseconds(0), &reason));
      CHECK_TEXT(object.has_value(), Quoted(name).c_str());
      STRCMP_EQUAL(TargetSpec().c_str(), object->value.c_str());
    }
  }
}

// An incomplete list would make the targets that it lacks look removed.
TEST(ForeignEntries, AListThatDoesNotContinueIsAnError) {
  Store(1, "x", "null");
  store.page_size = 1;
  CHECK(!Run(client.HostsSince({}, milliseconds(0), &reason)));
  CHECK(reason.code == ResultCode::kPlatformRejected);
}

// Another writer may have replaced an object that hosts read by name.
TEST(ForeignEntries, AnObjectWithUnreadableContentsKeepsItsVersion) {
  const std::string deep = std::string(100, '[') + std::string(100, ']');
  store.object = Entry(R"("prompt-parts")", deep, "31");
  const auto object = Run(
      client.Get(PlatformDuty::kCaches, "quarantine/prompt-parts", &reason));
  CHECK(object.has_value());
  LONGS_EQUAL(31, object->version.revision);
  STRCMP_EQUAL("null", object->value.c_str());
}

}  // namespace turmericwinch::platform
