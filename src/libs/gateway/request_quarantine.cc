#include "libs/gateway/request_quarantine.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "libs/base/log.h"

namespace turmericwinch {

namespace {

using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"quarantine"};

}  // namespace

RequestQuarantine::RequestQuarantine(boost::asio::io_context& control,
                                     GatewayPeers& peers)
    : control_(control), peers_(peers) {
  peers_.AddHandler(
      [this](const PeerFrame& frame) { return HandleFrame(frame); });
}

bool RequestQuarantine::IsQuarantined(const std::string& digest) const {
  std::lock_guard lock(mutex_);
  return quarantine_.IsQuarantined(digest, Clock::now());
}

void RequestQuarantine::OnLost(TargetLoss loss) {
  std::lock_guard lock(mutex_);
  pending_.AddLoss(std::move(loss), Clock::now());
}

void RequestQuarantine::OnAnswered(const std::string& digest) {
  {
    std::lock_guard lock(mutex_);
    if (!quarantine_.OnAnswered(digest))
      return;
    suspects_ = quarantine_.suspects();
  }
  LogEvent(kLog, Severity::kInfo, "suspect_cleared", {{"digest", digest}});
  boost::asio::post(
      control_, [this, digest] { peers_.SendToAll(QuarantineNotice{digest}); });
}

void RequestQuarantine::OnTargetList(const HostList& list) {
  std::vector<TargetLoss> confirmed;
  {
    std::lock_guard lock(mutex_);
    quarantine_.Expire(Clock::now());
    suspects_ = quarantine_.suspects();
    confirmed = pending_.TakeConfirmed(list, Clock::now());
  }
  for (const TargetLoss& it : confirmed) {
    // Each incarnation counts as a target of its own, so that a second crash of
    // a restarted target counts again.
    const std::string target = it.target + "/" + it.incarnation;
    RecordLoss(it.digest, target);
    peers_.SendToAll(QuarantineNotice{it.digest, target});
  }
}

bool RequestQuarantine::HandleFrame(const PeerFrame& frame) {
  const auto* notice = std::get_if<QuarantineNotice>(&frame);
  if (!notice)
    return false;
  if (!notice->target.empty()) {
    RecordLoss(notice->digest, notice->target);
    return true;
  }
  std::lock_guard lock(mutex_);
  quarantine_.OnAnswered(notice->digest);
  suspects_ = quarantine_.suspects();
  return true;
}

void RequestQuarantine::RecordLoss(const std::string& digest,
                                   const std::string& target) {
  bool is_refused = false;
  {
    std::lock_guard lock(mutex_);
    quarantine_.OnLost(digest, target, Clock::now());
    suspects_ = quarantine_.suspects();
    is_refused = quarantine_.IsQuarantined(digest, Clock::now());
  }
  LogEvent(kLog, Severity::kWarning, "target_lost_with_request",
           {{"digest", digest}, {"target", target}, {"refused", is_refused}});
}

}  // namespace turmericwinch
