#include "libs/gateway/event_splitter.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace turmericwinch {

TEST_GROUP(EventSplitter) {
  EventSplitter splitter;
};

TEST(EventSplitter, EventsAreTheSameHoweverTheBytesCome) {
  const std::string text =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 30\ndata: c\n\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    EventSplitter one;
    std::string bytes;
    std::vector<std::uint64_t> ids;
    for (std::size_t at = 0; at < text.size(); at += step) {
      one.Feed(text.substr(at, step));
      while (std::optional<RawEvent> event = one.Next()) {
        bytes += event->bytes;
        if (event->id)
          ids.push_back(*event->id);
      }
    }
    STRCMP_EQUAL(text.c_str(), bytes.c_str());
    LONGS_EQUAL(0, one.pending_bytes());
    CHECK((ids == std::vector<std::uint64_t>{1, 2, 30}));
  }
}

TEST(EventSplitter, AnEventThatIsCutIsNotGiven) {
  splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
  CHECK(splitter.Next().has_value());
  CHECK(!splitter.Next().has_value());
  CHECK(splitter.pending_bytes() > 0);
}

TEST(EventSplitter, AnIdThatIsNoNumberIsNone) {
  splitter.Feed("id: x\ndata: a\n\n");
  std::optional<RawEvent> event = splitter.Next();
  CHECK(event.has_value());
  CHECK(!event->id.has_value());
}

}  // namespace turmericwinch
