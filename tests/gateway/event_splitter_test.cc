#include "libs/gateway/event_splitter.h"

#include <CppUTest/TestHarness.h>

#include <vector>

namespace turmericwinch {

TEST_GROUP(EventSplitter) {
  EventSplitter splitter;
};

TEST(EventSplitter, EventsDoNotDependOnThePieceSize) {
  const std::string text =
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 30\ndata: c\n\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    EventSplitter fed_in_steps;
    std::string bytes;
    std::vector<std::string> ids;
    for (std::size_t at = 0; at < text.size(); at += step) {
      fed_in_steps.Feed(text.substr(at, step));
      while (std::optional<RawEvent> event = fed_in_steps.NextEvent()) {
        bytes += event->bytes;
        if (event->id)
          ids.push_back(event->id->text());
      }
    }
    STRCMP_EQUAL(text.c_str(), bytes.c_str());
    LONGS_EQUAL(0, fed_in_steps.pending_bytes());
    CHECK((ids == std::vector<std::string>{"1", "2", "30"}));
  }
}

TEST(EventSplitter, AnIncompleteEventIsNotReturned) {
  splitter.Feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
  CHECK(splitter.NextEvent().has_value());
  CHECK(!splitter.NextEvent().has_value());
  CHECK(splitter.pending_bytes() > 0);
}

TEST(EventSplitter, AnIdThatIsNotANumberIsIgnored) {
  for (const char* id : {"x", "1.5", "12x"}) {
    splitter.Feed(std::string("id: ") + id + "\ndata: a\n\n");
    std::optional<RawEvent> event = splitter.NextEvent();
    CHECK(event.has_value());
    CHECK_TEXT(!event->id.has_value(), id);
  }
}

}  // namespace turmericwinch
