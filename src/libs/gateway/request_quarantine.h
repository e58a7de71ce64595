// Keeps all hosts from sending requests that crash targets.

#ifndef SRC_LIBS_GATEWAY_REQUEST_QUARANTINE_H_
#define SRC_LIBS_GATEWAY_REQUEST_QUARANTINE_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/delivery/quarantine_verdicts.h"
#include "libs/gateway/gateway_peers.h"
#include "libs/gateway/pending_losses.h"

namespace turmericwinch {

// Refuses requests that crashed targets and requests with a prompt part that
// did. A loss counts once its target has ended: it refuses connections, or the
// list of targets no longer has its incarnation. The hosts notify each other of
// crashes. Thread-safe, except that the functions that say so are called on the
// control thread only.
class RequestQuarantine {
 public:
  // Stores verdicts where other hosts find them. Called on the control thread.
  using StoreVerdicts = std::function<void(const QuarantineVerdicts&)>;

  RequestQuarantine(boost::asio::io_context& control, GatewayPeers& peers);

  // Called on the control thread, before Run().
  void SetStore(StoreVerdicts store) { store_ = std::move(store); }
  // Sends the verdicts to the store and to some other hosts at intervals, as
  // notices are lost in cuts and hosts start later. Runs on the control thread
  // until the process ends.
  boost::asio::awaitable<void> Run();

  // Whether any request is suspected. If not, no digest has to be computed.
  bool HasSuspects() const { return suspects_ > 0; }
  bool IsQuarantined(const std::string& digest) const;
  // A part for which a request with these shared parts must be refused.
  std::optional<PromptPartId> FindQuarantinedPart(
      const std::vector<PromptPartId>& shared_parts) const;
  std::size_t quarantined_parts() const { return quarantined_parts_; }
  // Called when the response to a request at `loss.target` was lost.
  void OnLost(const TargetLoss& loss);
  // Called when a target has answered the request.
  void OnAnswered(const std::string& digest);
  // Called when a target has answered a request with these shared parts: whole,
  // or only the first events.
  void OnPartsAnswered(const std::vector<PromptPartId>& shared_parts);
  void OnPartsBegun(const std::vector<PromptPartId>& shared_parts);
  // Called with verdicts that other hosts have stored. Called on the control
  // thread.
  void OnStoredVerdicts(const QuarantineVerdicts& verdicts);
  // Counts the losses of targets that have ended, and notifies the other hosts.
  // Called on the control thread.
  void OnTargetList(const HostList& list);

 private:
  // Connects to the target of `loss`; if it refuses, its losses count.
  boost::asio::awaitable<void> ProbeTarget(TargetLoss loss);
  // Records a crash that this host has found, and notifies the other hosts.
  // Called on the control thread.
  void ReportCrash(const std::string& target,
                   const std::vector<TargetLoss>& losses);
  void RecordCrash(const TargetCrash& crash, bool is_own);
  // Starts EvaluateCrashes() unless it runs.
  void StartEvaluation();
  // Quarantines the parts that explain the crashes once all hosts have reported
  // them. Ends when no crash is new.
  boost::asio::awaitable<void> EvaluateCrashes();
  // Tells the other hosts of quarantined parts if this host has reported a
  // crash: all hosts reach the same verdict, and one that tells is enough.
  void AnnounceCauses(const std::vector<PromptPartId>& causes);
  // Returns whether the frame was a notice to the quarantine.
  bool HandleFrame(const PeerFrame& frame);
  void HandleNotice(const QuarantineNotice& notice);
  void HandleNotice(const PromptPartNotice& notice);
  QuarantineVerdicts CurrentVerdicts();
  // Stores the verdicts that hold now and sends them to some hosts.
  void ResendVerdicts();
  void SendVerdicts(const QuarantineVerdicts& verdicts);
  // Withdraws the quarantine of the request at all hosts and in the store.
  void WithdrawEverywhere(const std::string& digest);
  // Withdraws the quarantine of these parts at all hosts and in the store.
  void WithdrawEverywhere(std::vector<AnsweredPart> parts);
  void RecordLoss(const std::string& digest,
                  const std::string& target,
                  std::chrono::steady_clock::time_point sent,
                  bool is_own);
  // The mutex must be held.
  void UpdateCounts();

  boost::asio::io_context& control_;
  GatewayPeers& peers_;
  StoreVerdicts store_ = [](const QuarantineVerdicts&) {};
  mutable std::mutex mutex_;
  PendingLosses pending_;
  Quarantine quarantine_;
  PromptPartQuarantine parts_;
  // Whether EvaluateCrashes() runs, and whether this host has reported a crash
  // since it last told of a verdict. Used on the control thread.
  bool is_evaluating_ = false;
  bool has_reported_ = false;
  // Incarnations of targets to which a probe is under way.
  std::set<std::string> probed_;
  std::atomic<std::size_t> suspects_{0};
  std::atomic<std::size_t> quarantined_parts_{0};
};

}  // namespace turmericwinch

#endif  // SRC_LIBS_GATEWAY_REQUEST_QUARANTINE_H_
