#include "libs/gateway/request_quarantine.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <map>
#include <utility>

#include "libs/base/log.h"
#include "libs/delivery/delivery_constants.h"
#include "libs/gateway/connect_probe.h"
#include "libs/gateway/gateway_call.h"
#include "libs/gateway/gateway_constants.h"
#include "libs/gateway/run_periodically.h"
#include "libs/http/http_client.h"

namespace turmericwinch {

namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr LogCategory kLog{"quarantine"};

void LogQuarantined(const std::vector<PromptPartId>& parts) {
  LogEvent(kLog, Severity::kWarning, "prompt_part_quarantined",
           {{"parts", PartIdsText(parts)}});
}

void LogCleared(const std::vector<PromptPartId>& parts) {
  LogEvent(kLog, Severity::kWarning, "prompt_part_cleared",
           {{"parts", PartIdsText(parts)}});
}

std::vector<AnsweredPart> AnsweredNow(const std::vector<PromptPartId>& parts) {
  std::vector<AnsweredPart> answered;
  for (PromptPartId it : parts)
    answered.push_back({it, std::chrono::milliseconds(0)});
  return answered;
}

std::chrono::milliseconds AgeOf(Clock::time_point time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               time);
}

}  // namespace

RequestQuarantine::RequestQuarantine(asio::io_context& control,
                                     GatewayPeers& peers)
    : control_(control), peers_(peers) {
  peers_.AddHandler(
      [this](const PeerFrame& frame) { return HandleFrame(frame); });
}

asio::awaitable<void> RequestQuarantine::Run() {
  return RunPeriodically(control_, kQuarantineResendInterval,
                         [this] { ResendVerdicts(); });
}

void RequestQuarantine::ResendVerdicts() {
  const QuarantineVerdicts verdicts = CurrentVerdicts();
  if (verdicts.empty())
    return;
  store_(verdicts);
  SendVerdicts(verdicts);
}

QuarantineVerdicts RequestQuarantine::CurrentVerdicts() {
  std::lock_guard lock(mutex_);
  const Clock::time_point now = Clock::now();
  parts_.Expire(now);
  QuarantineVerdicts verdicts{parts_.Verdicts(now), quarantine_.Verdicts(now)};
  std::sort(verdicts.requests.begin(), verdicts.requests.end(),
            [](const auto& a, const auto& b) { return a.hold > b.hold; });
  if (verdicts.requests.size() > kMaxResentRequests)
    verdicts.requests.resize(kMaxResentRequests);
  UpdateCounts();
  return verdicts;
}

void RequestQuarantine::SendVerdicts(const QuarantineVerdicts& verdicts) {
  if (!verdicts.parts.empty()) {
    peers_.SendToSome(PromptPartNotice{verdicts.parts, {}},
                      kQuarantineResendPeers);
  }
  for (const QuarantineVerdict& it : verdicts.requests) {
    peers_.SendToSome(QuarantineNotice{it.digest, "", it.hold},
                      kQuarantineResendPeers);
  }
}

bool RequestQuarantine::IsQuarantined(const std::string& digest) const {
  std::lock_guard lock(mutex_);
  return quarantine_.IsQuarantined(digest, Clock::now());
}

std::optional<PromptPartId> RequestQuarantine::FindQuarantinedPart(
    const std::vector<PromptPartId>& shared_parts) const {
  if (quarantined_parts_ == 0)
    return std::nullopt;
  std::lock_guard lock(mutex_);
  return parts_.FindQuarantined(shared_parts, Clock::now());
}

void RequestQuarantine::OnLost(const TargetLoss& loss) {
  const std::string target = loss.TargetIncarnation();
  bool has_ended = false;
  bool must_probe = false;
  {
    std::lock_guard lock(mutex_);
    has_ended = pending_.AddLoss(loss, Clock::now());
    must_probe =
        !has_ended && !loss.address.empty() && probed_.insert(target).second;
  }
  if (has_ended)
    asio::post(control_, [this, target, loss] { ReportCrash(target, {loss}); });
  else if (must_probe)
    asio::co_spawn(control_, ProbeTarget(loss), asio::detached);
}

asio::awaitable<void> RequestQuarantine::ProbeTarget(TargetLoss loss) {
  const std::string target = loss.TargetIncarnation();
  bool is_refused = false;
  if (const auto endpoint = ParseEndpoint(loss.address))
    is_refused = co_await IsConnectionRefused(*endpoint);
  std::vector<TargetLoss> losses;
  {
    std::lock_guard lock(mutex_);
    probed_.erase(target);
    if (is_refused)
      losses = pending_.TakeEnded(target, Clock::now());
  }
  if (!losses.empty())
    ReportCrash(target, losses);
}

void RequestQuarantine::OnAnswered(const std::string& digest) {
  {
    std::lock_guard lock(mutex_);
    if (!quarantine_.OnAnswered(digest, Clock::now()))
      return;
    UpdateCounts();
  }
  LogEvent(kLog, Severity::kInfo, "suspect_cleared", {{"digest", digest}});
  asio::post(control_, [this, digest] { WithdrawEverywhere(digest); });
}

void RequestQuarantine::WithdrawEverywhere(const std::string& digest) {
  store_({{}, {{digest, std::chrono::milliseconds(0)}}});
  peers_.SendToAll(QuarantineNotice{digest});
}

void RequestQuarantine::OnPartsAnswered(
    const std::vector<PromptPartId>& shared_parts) {
  std::vector<PromptPartId> cleared;
  {
    std::lock_guard lock(mutex_);
    cleared = parts_.OnAnswered(AnsweredNow(shared_parts), Clock::now());
    if (cleared.empty())
      return;
    UpdateCounts();
  }
  LogCleared(cleared);
  asio::post(control_, [this, parts = AnsweredNow(cleared)] {
    WithdrawEverywhere(parts);
  });
}

void RequestQuarantine::OnPartsBegun(
    const std::vector<PromptPartId>& shared_parts) {
  std::lock_guard lock(mutex_);
  parts_.OnAnswerBegun(shared_parts, Clock::now());
}

void RequestQuarantine::WithdrawEverywhere(std::vector<AnsweredPart> parts) {
  QuarantineVerdicts removed;
  for (const AnsweredPart& it : parts)
    removed.parts.push_back({it.part, std::chrono::milliseconds(0)});
  store_(removed);
  peers_.SendToAll(PromptPartNotice{{}, std::move(parts)});
}

void RequestQuarantine::OnStoredVerdicts(const QuarantineVerdicts& verdicts) {
  HandleNotice(PromptPartNotice{verdicts.parts, {}});
  for (const QuarantineVerdict& it : verdicts.requests)
    HandleNotice(QuarantineNotice{it.digest, "", it.hold});
}

void RequestQuarantine::OnTargetList(const HostList& list) {
  std::map<std::string, std::vector<TargetLoss>> crashes;
  {
    std::lock_guard lock(mutex_);
    quarantine_.Expire(Clock::now());
    UpdateCounts();
    for (TargetLoss& it : pending_.TakeConfirmed(list, Clock::now()))
      crashes[it.TargetIncarnation()].push_back(std::move(it));
  }
  for (const auto& [target, losses] : crashes)
    ReportCrash(target, losses);
}

void RequestQuarantine::ReportCrash(const std::string& target,
                                    const std::vector<TargetLoss>& losses) {
  TargetCrash crash{target, {}};
  std::set<PromptPartId> answered;
  {
    std::lock_guard lock(mutex_);
    for (const TargetLoss& loss : losses) {
      LostRequest request{loss.digest, loss.shared_parts, {}, AgeOf(loss.sent)};
      for (PromptPartId it : loss.shared_parts) {
        if (!parts_.HasWorked(it, Clock::now()))
          continue;
        request.working_parts.push_back(it);
        answered.insert(it);
      }
      crash.requests.push_back(std::move(request));
    }
  }
  LogEvent(
      kLog, Severity::kWarning, "crash_reported",
      {{"target", target},
       {"requests", losses.size()},
       {"answered_parts", PartIdsText({answered.begin(), answered.end()})}});
  peers_.SendToAll(CrashNotice{crash});
  has_reported_ = true;
  RecordCrash(crash, true);
}

void RequestQuarantine::RecordCrash(const TargetCrash& crash, bool is_own) {
  const Clock::time_point now = Clock::now();
  for (const LostRequest& it : crash.requests)
    RecordLoss(it.digest, crash.target, now - it.age, is_own);
  {
    std::lock_guard lock(mutex_);
    parts_.OnCrash(crash, now);
  }
  StartEvaluation();
}

void RequestQuarantine::StartEvaluation() {
  if (!std::exchange(is_evaluating_, true))
    asio::co_spawn(control_, EvaluateCrashes(), asio::detached);
}

asio::awaitable<void> RequestQuarantine::EvaluateCrashes() {
  asio::steady_timer timer(control_);
  while (is_evaluating_) {
    timer.expires_after(kCrashReportTime);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    std::vector<PromptPartId> causes;
    {
      std::lock_guard lock(mutex_);
      causes = parts_.QuarantineCauses(Clock::now());
      is_evaluating_ = parts_.HasNewCrashes(Clock::now());
      UpdateCounts();
    }
    if (!causes.empty())
      AnnounceCauses(causes);
  }
}

void RequestQuarantine::AnnounceCauses(
    const std::vector<PromptPartId>& causes) {
  LogQuarantined(causes);
  if (!std::exchange(has_reported_, false))
    return;
  PromptPartNotice notice;
  for (PromptPartId it : causes)
    notice.quarantined.push_back({it, kFirstPartHold});
  peers_.SendToAll(notice);
  store_({notice.quarantined, {}});
}

bool RequestQuarantine::HandleFrame(const PeerFrame& frame) {
  if (const auto* crash = std::get_if<CrashNotice>(&frame)) {
    RecordCrash(crash->crash, false);
    return true;
  }
  if (const auto* parts = std::get_if<PromptPartNotice>(&frame)) {
    HandleNotice(*parts);
    return true;
  }
  if (const auto* notice = std::get_if<QuarantineNotice>(&frame)) {
    HandleNotice(*notice);
    return true;
  }
  return false;
}

// A verdict on a request that this host knows to be answered is withdrawn at
// all hosts.
void RequestQuarantine::HandleNotice(const QuarantineNotice& notice) {
  if (!notice.target.empty()) {
    RecordLoss(notice.digest, notice.target, {}, false);
    return;
  }
  bool is_added = false;
  bool is_cleared = false;
  {
    std::lock_guard lock(mutex_);
    const Clock::time_point now = Clock::now();
    if (notice.hold.count() == 0) {
      quarantine_.OnAnswered(notice.digest, now);
    } else {
      is_added = quarantine_.AddVerdict({notice.digest, notice.hold}, now);
      is_cleared = quarantine_.IsCleared(notice.digest);
    }
    UpdateCounts();
  }
  if (is_added) {
    LogEvent(kLog, Severity::kWarning, "quarantine_learnt",
             {{"digest", notice.digest}, {"hold_ms", notice.hold.count()}});
  }
  if (is_cleared)
    WithdrawEverywhere(notice.digest);
}

// A verdict on a part that this host can disprove is withdrawn at all hosts.
void RequestQuarantine::HandleNotice(const PromptPartNotice& notice) {
  std::vector<PromptPartId> added;
  std::vector<PromptPartId> cleared;
  std::vector<AnsweredPart> objections;
  {
    std::lock_guard lock(mutex_);
    const Clock::time_point now = Clock::now();
    cleared = parts_.OnAnswered(notice.answered, now);
    for (const QuarantinedPart& it : notice.quarantined) {
      if (const auto age = parts_.Disproof(it.part, now))
        objections.push_back({it.part, *age});
      else if (parts_.AddVerdict(it, now))
        added.push_back(it.part);
    }
    UpdateCounts();
  }
  if (!cleared.empty()) {
    LogCleared(cleared);
    // Another part may explain the crashes that this one no longer does.
    StartEvaluation();
  }
  if (!added.empty())
    LogQuarantined(added);
  if (!objections.empty())
    WithdrawEverywhere(std::move(objections));
}

void RequestQuarantine::RecordLoss(const std::string& digest,
                                   const std::string& target,
                                   Clock::time_point sent,
                                   bool is_own) {
  bool is_refused = false;
  {
    std::lock_guard lock(mutex_);
    quarantine_.OnLost(digest, target, Clock::now(), sent);
    UpdateCounts();
    is_refused = quarantine_.IsQuarantined(digest, Clock::now());
  }
  if (is_own || is_refused) {
    LogEvent(kLog, Severity::kWarning, "target_lost_with_request",
             {{"digest", digest}, {"target", target}, {"refused", is_refused}});
  }
}

void RequestQuarantine::UpdateCounts() {
  suspects_ = quarantine_.suspects();
  quarantined_parts_ = parts_.verdicts();
}

}  // namespace turmericwinch
