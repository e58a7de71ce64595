#include "apps/measure_capacity/measure.h"
#include "apps/measure_capacity/slopes.h"
#include "libs/node/host_list_copy.h"
#include "libs/peer/peer_codec.h"
#include "libs/routing/host_list_change.h"

namespace turmericwinch {

namespace {

constexpr std::size_t kRowCounts[] = {22, 130, 2'320};
constexpr int kRounds = 50;

HostList ListOf(std::size_t rows) {
  HostList list;
  for (std::size_t n = 0; n < rows; ++n) {
    list.targets.push_back({"target-" + std::to_string(10'000 + n), "domain-1",
                            "10.1.0.1:8000", "1733300000", "llm-large", false});
  }
  return list;
}

// A reader takes a change from the platform, another host takes it from it.
void MeasureList(std::size_t rows) {
  Reason reason;
  HostList list = ListOf(rows);
  HostListCopy reader;
  const std::size_t before = HeapBytes();
  reader.HandlePlatformAnswer({{0, 1}, true, ToJson(list)}, &reason);
  PrintRow("host list copy in memory", rows,
           static_cast<double>(HeapBytes() - before), "B");
  HostListCopy other = reader;
  std::uint64_t revision = 1;
  HostListPart part;
  const auto change = [&] {
    HostListChange it{true, false, list.targets[0]};
    it.member.leaving = revision % 2 == 1;
    const std::string text = "{\"changes\":" + ToJson({it}) + "}";
    part =
        *reader.HandlePlatformAnswer({{0, ++revision}, false, text}, &reason);
  };
  const double read_us = MicrosecondsOf(kRounds, change);
  PrintRow("host list change, at a reader", rows, read_us, "us");
  other = reader;
  const double both_us = MicrosecondsOf(kRounds, [&] {
    change();
    other.HandlePart(part);
  });
  PrintRow("host list change, at another host", rows, both_us - read_us, "us");
  PrintRow("host list change, frame", rows,
           static_cast<double>(EncodeFrame(part).size()), "B");
  HostListRequest request = other.NextRequest();
  request.peer = "10.0.0.1:17000";
  HostListPart same = reader.MakePart(request);
  same.peer = request.peer;
  PrintRow("host list ask and its answer", rows,
           static_cast<double>(EncodeFrame(request).size() +
                               EncodeFrame(same).size()),
           "B");
}

}  // namespace

void MeasureHostList() {
  for (std::size_t it : kRowCounts)
    MeasureList(it);
}

}  // namespace turmericwinch
