#include "libs/peer/peer_codec.h"

#include <random>

#include "libs/peer/peer_constants.h"

#include <CppUTest/TestHarness.h>

namespace turmericwinch {

namespace {

constexpr int kMutations = 20'000;
constexpr std::uint64_t kSeed = 11;

PeerFrame SampleFrame() {
  MembershipMessage message;
  message.kind = MembershipMessageKind::kProbe;
  message.sequence = 77;
  message.sender = {"host-1", "dk-east-a", "10.0.0.1:7000", 5, 2};
  message.target = "host-2";
  message.changes = {{"host-3", "dk-east-b", "10.0.0.3:7000", 9, 1,
                      MemberState::kSuspected, 4, 12}};
  return message;
}

HostListPart SampleHostListPart() {
  HostListPart part;
  part.version = {0, 9};
  part.age = std::chrono::milliseconds(17);
  part.base = "d6";
  part.digest = "d7";
  part.offset = 65'536;
  part.total = 70'000;
  part.text = "[]";
  part.peer = "10.0.0.5:1";
  return part;
}

std::string Payload(const PeerFrame& frame) {
  return EncodeFrame(frame).substr(kPeerLengthBytes);
}

}  // namespace

TEST_GROUP(PeerCodec) {
  Reason reason;
};

TEST(PeerCodec, MembershipRoundTrip) {
  auto frame = DecodePayload(Payload(SampleFrame()), &reason);
  CHECK(frame.has_value());
  const auto& message = std::get<MembershipMessage>(*frame);
  LONGS_EQUAL(77, message.sequence);
  STRCMP_EQUAL("host-2", message.target.c_str());
  const Member& change = message.changes.at(0);
  CHECK(change.state == MemberState::kSuspected);
  LONGS_EQUAL(4, change.weight);
  LONGS_EQUAL(12, change.generation);
  LONGS_EQUAL(9, change.incarnation);
}

TEST(PeerCodec, ConfigAndHostListFramesRoundTrip) {
  const PeerFrame frames[] = {
      ConfigNotice{3, "d1", "10.0.0.1:1"}, ConfigRequest{"d2", "10.0.0.2:1"},
      ConfigPart{"d3", true, std::string(40'000, 'x'), "10.0.0.3:1"},
      HostListRequest{"d4", "d5", 65'536, "10.0.0.4:1"}, SampleHostListPart()};
  for (const PeerFrame& it : frames) {
    auto read = DecodePayload(Payload(it), &reason);
    CHECK(read.has_value());
    LONGS_EQUAL(it.index(), read->index());
  }
  auto part = DecodePayload(Payload(frames[2]), &reason);
  LONGS_EQUAL(40'000, std::get<ConfigPart>(*part).text.size());
}

TEST(PeerCodec, QuarantineNoticeRoundTrip) {
  const QuarantineNotice sent{"d", "t", std::chrono::milliseconds(7), true};
  auto frame = DecodePayload(Payload(sent), &reason);
  CHECK(frame.has_value());
  const auto& read = std::get<QuarantineNotice>(*frame);
  STRCMP_EQUAL("d", read.digest.c_str());
  STRCMP_EQUAL("t", read.target.c_str());
  LONGS_EQUAL(7, read.hold.count());
  CHECK(read.relay);
  const QuarantineNotice bad{"d", "", std::chrono::milliseconds(-1), false};
  CHECK(!DecodePayload(Payload(bad), &reason));
}

TEST(PeerCodec, CrashNoticesRoundTrip) {
  constexpr PromptPartId kLargePart = 0xfedc'ba98'7654'3210;
  const CrashNotice sent{
      {"t/1",
       {{"d1", {7, kLargePart}, {kLargePart}, std::chrono::milliseconds(9)},
        {"d2", {}}}}};
  auto frame = DecodePayload(Payload(sent), &reason);
  CHECK(frame.has_value());
  const TargetCrash& crash = std::get<CrashNotice>(*frame).crash;
  STRCMP_EQUAL("t/1", crash.target.c_str());
  LONGS_EQUAL(2, crash.requests.size());
  STRCMP_EQUAL("d1", crash.requests[0].digest.c_str());
  CHECK(crash.requests[0].shared_parts ==
        std::vector<PromptPartId>({7, kLargePart}));
  CHECK(crash.requests[0].working_parts ==
        std::vector<PromptPartId>({kLargePart}));
  LONGS_EQUAL(9, crash.requests[0].age.count());
  CHECK(!DecodePayload(Payload(CrashNotice{}), &reason));
  const CrashNotice from_future{
      {"t/1", {{"d1", {7}, {}, std::chrono::milliseconds(-1)}}}};
  CHECK(!DecodePayload(Payload(from_future), &reason));
  const PromptPartNotice parts{{{kLargePart, std::chrono::milliseconds(7)}},
                               {{8, std::chrono::milliseconds(5)}}};
  frame = DecodePayload(Payload(parts), &reason);
  const auto& read = std::get<PromptPartNotice>(*frame);
  LONGS_EQUAL(1, read.quarantined.size());
  CHECK(read.quarantined[0].part == kLargePart);
  LONGS_EQUAL(7, read.quarantined[0].hold.count());
  LONGS_EQUAL(1, read.answered.size());
  CHECK(read.answered[0].part == 8);
  LONGS_EQUAL(5, read.answered[0].age.count());
  const PromptPartNotice bad{{{1, std::chrono::milliseconds(-1)}}, {}};
  CHECK(!DecodePayload(Payload(bad), &reason));
  const PromptPartNotice answered_later{{},
                                        {{1, std::chrono::milliseconds(-1)}}};
  CHECK(!DecodePayload(Payload(answered_later), &reason));
}

TEST(PeerCodec, RateLimitNoticeRoundTrip) {
  const RateLimitNotice sent{
      "10.0.0.1:1",
      {{"llm", 2.5}},
      {{"t", "1", 4.25, std::chrono::milliseconds(7)}, {"u", "2", {}, {}}}};
  auto frame = DecodePayload(Payload(sent), &reason);
  CHECK(frame.has_value());
  const auto& read = std::get<RateLimitNotice>(*frame);
  STRCMP_EQUAL("10.0.0.1:1", read.peer.c_str());
  CHECK(read.demands == sent.demands);
  LONGS_EQUAL(2, read.limits.size());
  STRCMP_EQUAL(
      "t 1",
      (read.limits[0].target + " " + read.limits[0].incarnation).c_str());
  CHECK(read.limits[0].limit == 4.25);
  LONGS_EQUAL(7, read.limits[0].age.count());
  CHECK(!read.limits[1].limit);
  const RateLimitNotice bad[] = {
      {},
      {"p", {{"llm", -1}}, {}},
      {"p", {}, {{"t", "1", std::nan(""), {}}}},
      {"p", {}, {{"t", "1", 1, std::chrono::milliseconds(-1)}}}};
  for (const RateLimitNotice& it : bad)
    CHECK(!DecodePayload(Payload(it), &reason));
}

TEST(PeerCodec, HostListFieldsRoundTrip) {
  auto frame = DecodePayload(Payload(SampleHostListPart()), &reason);
  const auto& part = std::get<HostListPart>(*frame);
  STRCMP_EQUAL("9", ToText(part.version).c_str());
  LONGS_EQUAL(17, part.age.count());
  STRCMP_EQUAL("d6 d7 [] 10.0.0.5:1", (part.base + " " + part.digest + " " +
                                       part.text + " " + part.peer)
                                          .c_str());
  LONGS_EQUAL(65'536, part.offset);
  LONGS_EQUAL(70'000, part.total);
  frame = DecodePayload(Payload(HostListRequest{"d4", "d5", 3, "10.0.0.4:1"}),
                        &reason);
  const auto& request = std::get<HostListRequest>(*frame);
  STRCMP_EQUAL(
      "d4 d5 10.0.0.4:1",
      (request.digest + " " + request.part_of + " " + request.peer).c_str());
  LONGS_EQUAL(3, request.offset);
}

TEST(PeerCodec, LoanFramesRoundTrip) {
  const LoanRequest request{"e_1",
                            "a_1",
                            "10.0.0.2:7000",
                            {{"budget-1", 500, 20, 1.5, {100, 40, 7}}}};
  auto frame = DecodePayload(Payload(request), &reason);
  CHECK(frame.has_value());
  const auto& read = std::get<LoanRequest>(*frame);
  STRCMP_EQUAL("a_1", read.lender.c_str());
  LONGS_EQUAL(500, read.items.at(0).needed);
  CHECK((read.items.at(0).totals == LoanTotals{100, 40, 7}));
  const LoanResponse response{"a_1",
                              "e_1",
                              "10.0.0.1:7000",
                              {{"budget-1", 600, 147, LoanOutcome::kShort}}};
  frame = DecodePayload(Payload(response), &reason);
  CHECK(frame.has_value());
  const LoanGrant& grant = std::get<LoanResponse>(*frame).grants.at(0);
  LONGS_EQUAL(600, grant.lent);
  LONGS_EQUAL(147, grant.known);
  CHECK(grant.outcome == LoanOutcome::kShort);
}

TEST(PeerCodec, LoanFramesWithValuesOutOfRangeAreErrors) {
  const PeerFrame frames[] = {
      LoanRequest{"e_1", "", "", {{"x", -1, 0, 0, {}}}},
      LoanRequest{"e_1", "", "", {{"x", 1, 1, 0, {0, -1, 0}}}},
      LoanRequest{"", "", "", {}},
      LoanResponse{"a_1", "e_1", "", {{"x", -1, 0, LoanOutcome::kOk}}},
      LoanResponse{
          "a_1", "e_1", "", {{"x", 1, 0, static_cast<LoanOutcome>(9)}}}};
  for (const PeerFrame& it : frames) {
    CHECK(!DecodePayload(Payload(it), &reason));
    CHECK(reason.code == ResultCode::kPeerProtocol);
  }
}

TEST(PeerCodec, NewsOfTheStoreKeepTheirValues) {
  StoreNews news;
  news.host = "edge-1";
  news.sent = std::chrono::milliseconds(12);
  news.age = std::chrono::milliseconds(34);
  news.config = {0, 5};
  news.quarantine = {0, 6};
  news.targets = {0, 9};
  news.targets_changed = {0, 8};
  news.changes_from = {0, 7};
  news.changes = "[]";
  news.outage = {0, 4};
  news.evacuations = {0, 3};
  news.evacuated = {"a", "b"};
  const auto frame = DecodePayload(Payload(news), &reason);
  CHECK(frame.has_value());
  const auto& read = std::get<StoreNews>(*frame);
  STRCMP_EQUAL("edge-1", read.host.c_str());
  LONGS_EQUAL(12, read.sent.count());
  LONGS_EQUAL(34, read.age.count());
  STRCMP_EQUAL("5", ToText(read.config).c_str());
  STRCMP_EQUAL("6", ToText(read.quarantine).c_str());
  STRCMP_EQUAL("9", ToText(read.targets).c_str());
  STRCMP_EQUAL("8", ToText(read.targets_changed).c_str());
  STRCMP_EQUAL("7", ToText(read.changes_from).c_str());
  STRCMP_EQUAL("[]", read.changes.c_str());
  STRCMP_EQUAL("4", ToText(read.outage).c_str());
  STRCMP_EQUAL("3", ToText(read.evacuations).c_str());
  CHECK((read.evacuated == std::vector<std::string>{"a", "b"}));
}

// What the frames of an earlier release leave out must not look like a set of
// no evacuations.
TEST(PeerCodec, NewsWithoutEvacuationsKnowNone) {
  StoreNews news;
  news.host = "edge-1";
  const auto frame = DecodePayload(Payload(news), &reason);
  CHECK(!std::get<StoreNews>(*frame).evacuations.IsSet());
  CHECK(!std::get<StoreNews>(*frame).IsOfEvacuationsOnly());
}

// Hosts of earlier releases read only packed versions, and send no others.
TEST(PeerCodec, NewsOfEarlierReleasesAreReadAsBefore) {
  StoreNews news;
  news.host = "edge-1";
  news.targets = {2, 9};
  const std::string payload = Payload(news);
  const auto frame = DecodePayload(payload, &reason);
  CHECK((std::get<StoreNews>(*frame).targets == StoreVersion{2, 9}));
  // The zigzag varint of 2'000'000'000'009 after the header of a 64-bit field.
  CHECK(payload.find("\x16\x92\x80\xd1\x94\xb5\x74") != std::string::npos);
}

TEST(PeerCodec, ANegativePackedVersionIsAnError) {
  StoreNews news;
  news.host = "edge-1";
  news.evacuations = {0, 1};
  std::string payload = Payload(news);
  // The header of a 64-bit field, then a zigzag integer.
  const std::size_t at = payload.find("\x16\x02");
  CHECK(at != std::string::npos);
  payload[at + 1] = '\x01';
  CHECK(!DecodePayload(payload, &reason));
  CHECK(reason.code == ResultCode::kPeerProtocol);
}

// Guards against versions that change on their way to another host.
TEST(PeerCodec, NewsAndListsKeepAnyVersion) {
  constexpr std::uint64_t kPackedLimit = 1'000'000'000'000;
  constexpr std::uint64_t kMax = ~std::uint64_t{0};
  for (const std::uint64_t era :
       {std::uint64_t{0}, std::uint64_t{2}, kPackedLimit, kMax}) {
    for (const std::uint64_t revision :
         {std::uint64_t{1}, kPackedLimit - 1, kPackedLimit, kPackedLimit + 7,
          std::uint64_t{1} << 63, kMax}) {
      const StoreVersion version{era, revision};
      StoreNews news;
      news.host = "edge-1";
      news.config = news.quarantine = news.targets = version;
      news.targets_changed = news.changes_from = version;
      news.outage = news.evacuations = version;
      const auto frame = DecodePayload(Payload(news), &reason);
      CHECK(frame.has_value());
      const auto& read = std::get<StoreNews>(*frame);
      for (const StoreVersion& it :
           {read.config, read.quarantine, read.targets, read.targets_changed,
            read.changes_from, read.outage, read.evacuations})
        CHECK(it == version);
      HostListPart part;
      part.version = version;
      const auto list = DecodePayload(Payload(part), &reason);
      CHECK(std::get<HostListPart>(*list).version == version);
    }
  }
}

TEST(PeerCodec, NewsAndIntroductionsWithValuesOutOfRangeAreErrors) {
  StoreNews nameless;
  StoreNews reversed;
  reversed.host = "edge-1";
  reversed.targets = {0, 3};
  reversed.targets_changed = {0, 4};
  StoreNews negative;
  negative.host = "edge-1";
  negative.age = std::chrono::milliseconds(-1);
  const PeerFrame frames[] = {
      nameless,
      reversed,
      negative,
      HostIntroduction{"", {"boot", BootTime(1), "a:1", "a"}},
      HostIntroduction{"edge_1", {"boot", BootTime(1), "", "a"}},
      HostIntroduction{"edge_1", {"boot", BootTime(1), "a:1", "a"}, {"edge_1"}},
      HostIntroduction{"edge_1", {"boot", BootTime(1), "a:1", "a"}, {"b_0"}},
      HostIntroduction{"edge_1", {"boot", BootTime(-1), "a:1", "a"}}};
  for (const PeerFrame& it : frames) {
    CHECK(!DecodePayload(Payload(it), &reason));
    CHECK(reason.code == ResultCode::kPeerProtocol);
  }
}

TEST(PeerCodec, EveryTruncationIsAnError) {
  const std::string payload = Payload(SampleFrame());
  for (std::size_t n = 0; n < payload.size(); ++n) {
    CHECK(!DecodePayload(payload.substr(0, n), &reason));
    CHECK(reason.code == ResultCode::kPeerProtocol);
  }
  CHECK(!DecodePayload(payload + "x", &reason));
}

TEST(PeerCodec, MutatedFramesNeverCrashDecoder) {
  const std::string payload = Payload(SampleFrame());
  std::mt19937_64 random(kSeed);
  int rejected = 0;
  for (int n = 0; n < kMutations; ++n) {
    std::string mutated = payload;
    const int flips = 1 + static_cast<int>(random() % 4);
    for (int k = 0; k < flips; ++k)
      mutated[random() % mutated.size()] = static_cast<char>(random());
    rejected += DecodePayload(mutated, &reason) ? 0 : 1;
  }
  CHECK(rejected > kMutations / 4);
}

TEST(PeerCodec, ErrorNamesOtherVersion) {
  std::string payload = Payload(SampleFrame());
  // The first field is the version: a field header, then a zigzag integer.
  payload[1] = static_cast<char>(2 * (kPeerVersion + 1));
  CHECK(!DecodePayload(payload, &reason));
  STRCMP_CONTAINS("protocol version 2", reason.text.c_str());
}

TEST(PeerCodec, LengthsOutOfRangeAreErrors) {
  const std::string frame = EncodeFrame(SampleFrame());
  const std::string header = frame.substr(0, kPeerLengthBytes);
  LONGS_EQUAL(frame.size() - kPeerLengthBytes,
              *PayloadLength(header, kPeerMaxFrameBytes, &reason));
  CHECK(!PayloadLength(header, 16, &reason));
  CHECK(!PayloadLength(std::string(4, '\0'), 16, &reason));
  CHECK(!PayloadLength("\xff\xff\xff\xff", kPeerMaxFrameBytes, &reason));
}

}  // namespace turmericwinch
