#include "libs/peer/peer_codec.h"

#include <peer_types.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "libs/peer/budget_wire.h"
#include "libs/peer/crash_wire.h"
#include "libs/peer/peer_constants.h"
#include "libs/peer/rate_limit_wire.h"
#include "libs/peer/store_news_wire.h"
#include "libs/peer/version_wire.h"

namespace turmericwinch {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// Number of the field HostListPart::version.
constexpr std::int16_t kHostListVersionField = 1;
constexpr int kLastKind = static_cast<int>(MembershipMessageKind::kTableAnswer);

wire::Member ToWire(const Member& member) {
  wire::Member result;
  result.name = member.name;
  result.failure_domain = member.failure_domain;
  result.address = member.address;
  result.incarnation = static_cast<std::int64_t>(member.incarnation);
  result.refutation = static_cast<std::int64_t>(member.refutation);
  result.state = static_cast<std::int32_t>(member.state);
  result.weight = member.weight;
  result.generation = static_cast<std::int64_t>(member.generation);
  return result;
}

std::optional<Member> MemberOf(const wire::Member& wire) {
  std::optional<MemberState> state = ToMemberState(wire.state);
  if (!state || wire.incarnation < 0 || wire.refutation < 0 ||
      wire.generation < 0 || wire.weight < 0)
    return std::nullopt;
  Member member;
  member.name = wire.name;
  member.failure_domain = wire.failure_domain;
  member.address = wire.address;
  member.incarnation = static_cast<std::uint64_t>(wire.incarnation);
  member.refutation = static_cast<std::uint64_t>(wire.refutation);
  member.state = *state;
  member.weight = wire.weight;
  member.generation = static_cast<std::uint64_t>(wire.generation);
  return member;
}

// Sets the field of the wire frame that corresponds to the type of the content.
class FrameBuilder {
 public:
  explicit FrameBuilder(wire::Frame* frame) : frame_(frame) {}

  void operator()(const PeerHello& hello) const {
    wire::Hello result;
    result.version = hello.version;
    result.challenge = hello.challenge;
    frame_->__set_hello(result);
  }
  void operator()(const PeerProof& proof) const {
    wire::Proof result;
    result.proof = proof.proof;
    frame_->__set_proof(result);
  }
  void operator()(const MembershipMessage& message) const {
    wire::Membership result;
    result.kind = static_cast<std::int32_t>(message.kind);
    result.sequence = static_cast<std::int64_t>(message.sequence);
    result.sender = ToWire(message.sender);
    result.target = message.target;
    for (const Member& it : message.changes)
      result.changes.push_back(ToWire(it));
    frame_->__set_membership(result);
  }
  void operator()(const ConfigNotice& notice) const {
    wire::ConfigNotice result;
    result.generation = static_cast<std::int64_t>(notice.generation);
    result.digest = notice.digest;
    result.peer = notice.peer;
    frame_->__set_config_notice(result);
  }
  void operator()(const ConfigRequest& request) const {
    wire::ConfigRequest result;
    result.digest = request.digest;
    result.peer = request.peer;
    frame_->__set_config_request(result);
  }
  void operator()(const ConfigPart& part) const {
    wire::ConfigPart result;
    result.digest = part.digest;
    result.found = part.found;
    result.text = part.text;
    result.peer = part.peer;
    frame_->__set_config_part(result);
  }
  void operator()(const QuarantineNotice& notice) const {
    wire::QuarantineNotice result;
    result.digest = notice.digest;
    result.target = notice.target;
    result.hold_ms = notice.hold.count();
    result.relay = notice.relay;
    frame_->__set_quarantine_notice(result);
  }
  void operator()(const CrashNotice& notice) const {
    frame_->__set_crash_notice(ToWire(notice));
  }
  void operator()(const PromptPartNotice& notice) const {
    frame_->__set_prompt_part_notice(ToWire(notice));
  }
  void operator()(const RateLimitNotice& notice) const {
    frame_->__set_rate_limit_notice(ToWire(notice));
  }
  void operator()(const StoreNews& news) const {
    frame_->__set_store_news(ToWire(news));
  }
  void operator()(const HostIntroduction& introduction) const {
    frame_->__set_host_introduction(ToWire(introduction));
  }
  void operator()(const HostListRequest& request) const {
    wire::HostListAsk result;
    result.digest = request.digest;
    result.part_of = request.part_of;
    result.offset = static_cast<std::int64_t>(request.offset);
    result.peer = request.peer;
    frame_->__set_host_list_ask(result);
  }
  void operator()(const HostListPart& part) const {
    wire::HostListPart result;
    WideVersions wide;
    result.version = ToWire(part.version, kHostListVersionField, wide);
    if (!wide.empty())
      result.__set_wide(wide);
    result.age_ms = part.age.count();
    result.base = part.base;
    result.digest = part.digest;
    result.offset = static_cast<std::int64_t>(part.offset);
    result.total = static_cast<std::int64_t>(part.total);
    result.text = part.text;
    result.peer = part.peer;
    frame_->__set_host_list_part(result);
  }
  void operator()(const LoanRequest& request) const {
    frame_->__set_budget_ask(ToWire(request));
  }
  void operator()(const LoanResponse& response) const {
    frame_->__set_budget_answer(ToWire(response));
  }

 private:
  wire::Frame* frame_;
};

std::optional<PeerFrame> MembershipOf(const wire::Membership& wire) {
  std::optional<Member> sender = MemberOf(wire.sender);
  if (!sender || sender->name.empty() || wire.kind < 0 || wire.kind > kLastKind)
    return std::nullopt;
  MembershipMessage message;
  message.kind = static_cast<MembershipMessageKind>(wire.kind);
  message.sequence = static_cast<std::uint64_t>(wire.sequence);
  message.sender = *sender;
  message.target = wire.target;
  for (const wire::Member& it : wire.changes) {
    std::optional<Member> change = MemberOf(it);
    if (!change)
      return std::nullopt;
    message.changes.push_back(std::move(*change));
  }
  return message;
}

std::optional<PeerFrame> HostListRequestOf(const wire::HostListAsk& wire) {
  if (wire.offset < 0)
    return std::nullopt;
  return HostListRequest{wire.digest, wire.part_of,
                         static_cast<std::uint64_t>(wire.offset), wire.peer};
}

std::optional<PeerFrame> HostListPartOf(const wire::HostListPart& wire) {
  const std::optional<StoreVersion> version =
      VersionOf(wire.version, kHostListVersionField, wire.wide);
  if (!version || wire.age_ms < 0 || wire.offset < 0 || wire.total < 0)
    return std::nullopt;
  HostListPart part;
  part.version = *version;
  part.age = std::chrono::milliseconds(wire.age_ms);
  part.base = wire.base;
  part.digest = wire.digest;
  part.offset = static_cast<std::uint64_t>(wire.offset);
  part.total = static_cast<std::uint64_t>(wire.total);
  part.text = wire.text;
  part.peer = wire.peer;
  return part;
}

std::optional<PeerFrame> ContentOf(const wire::Frame& wire) {
  if (wire.__isset.hello)
    return PeerHello{wire.hello.version, wire.hello.challenge};
  if (wire.__isset.proof)
    return PeerProof{wire.proof.proof};
  if (wire.__isset.membership)
    return MembershipOf(wire.membership);
  if (wire.__isset.config_notice) {
    const wire::ConfigNotice& it = wire.config_notice;
    if (it.generation < 0)
      return std::nullopt;
    return ConfigNotice{static_cast<std::uint64_t>(it.generation), it.digest,
                        it.peer};
  }
  if (wire.__isset.config_request)
    return ConfigRequest{wire.config_request.digest, wire.config_request.peer};
  if (wire.__isset.config_part) {
    const wire::ConfigPart& it = wire.config_part;
    return ConfigPart{it.digest, it.found, it.text, it.peer};
  }
  if (wire.__isset.quarantine_notice) {
    const wire::QuarantineNotice& it = wire.quarantine_notice;
    if (it.hold_ms < 0)
      return std::nullopt;
    return QuarantineNotice{it.digest, it.target,
                            std::chrono::milliseconds(it.hold_ms), it.relay};
  }
  if (wire.__isset.crash_notice)
    return CrashNoticeOf(wire.crash_notice);
  if (wire.__isset.prompt_part_notice)
    return PromptPartNoticeOf(wire.prompt_part_notice);
  if (wire.__isset.rate_limit_notice)
    return RateLimitNoticeOf(wire.rate_limit_notice);
  if (wire.__isset.store_news)
    return StoreNewsOf(wire.store_news);
  if (wire.__isset.host_introduction)
    return HostIntroductionOf(wire.host_introduction);
  if (wire.__isset.host_list_ask)
    return HostListRequestOf(wire.host_list_ask);
  if (wire.__isset.host_list_part)
    return HostListPartOf(wire.host_list_part);
  if (wire.__isset.budget_ask)
    return LoanRequestOf(wire.budget_ask);
  if (wire.__isset.budget_answer)
    return LoanResponseOf(wire.budget_answer);
  return std::nullopt;
}

}  // namespace

std::string EncodeFrame(const PeerFrame& frame) {
  wire::Frame wire;
  wire.version = kPeerVersion;
  std::visit(FrameBuilder(&wire), frame);
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  wire.write(&protocol);
  const std::string payload = buffer->getBufferAsString();
  std::string bytes;
  for (std::size_t n = kPeerLengthBytes; n-- > 0;)
    bytes.push_back(static_cast<char>(payload.size() >> (8 * n)));
  return bytes + payload;
}

std::optional<std::size_t> PayloadLength(std::string_view header,
                                         std::size_t max_bytes,
                                         Reason* reason) {
  std::size_t length = 0;
  for (const char it : header)
    length = length << 8 | static_cast<unsigned char>(it);
  if (length == 0 || length > max_bytes) {
    return Fail(reason, ResultCode::kPeerProtocol,
                "the frame length " + std::to_string(length) +
                    " is outside 1 to " + std::to_string(max_bytes));
  }
  return length;
}

std::optional<PeerFrame> DecodePayload(std::string_view payload,
                                       Reason* reason) {
  std::string copy(payload);
  auto buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t*>(copy.data()),
      static_cast<std::uint32_t>(copy.size()), TMemoryBuffer::OBSERVE);
  TCompactProtocolT<TMemoryBuffer> protocol(
      buffer, static_cast<int>(kPeerMaxFrameBytes),
      static_cast<int>(kPeerMaxListLength));
  wire::Frame wire;
  try {
    wire.read(&protocol);
  } catch (const TException& error) {
    return Fail(reason, ResultCode::kPeerProtocol,
                std::string("cannot decode a frame: ") + error.what());
  }
  if (wire.version != kPeerVersion) {
    return Fail(reason, ResultCode::kPeerProtocol,
                "a frame has protocol version " + std::to_string(wire.version) +
                    "; this host uses " + std::to_string(kPeerVersion));
  }
  std::optional<PeerFrame> frame = ContentOf(wire);
  if (!frame || buffer->available_read() > 0) {
    return Fail(
        reason, ResultCode::kPeerProtocol,
        "a frame has no known content, a value out of range or trailing bytes");
  }
  return frame;
}

}  // namespace turmericwinch
