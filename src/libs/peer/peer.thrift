// Messages between the entry hosts. Fields are only added, never changed or
// removed; an incompatible change must raise kPeerVersion in peer_constants.h.
namespace cpp turmericwinch.wire

struct Member {
  1: string name
  2: string failure_domain
  3: string address
  4: i64 incarnation
  5: i64 refutation
  6: i32 state
  7: i32 weight
  8: i64 generation
}

struct Membership {
  1: i32 kind
  2: i64 sequence
  3: Member sender
  4: string target
  5: list<Member> changes
}

// First frame that each side sends: a random challenge.
struct Hello {
  1: i32 version
  2: string challenge
}

// Response to the other side's challenge: an HMAC-SHA-256 with the fleet key.
struct Proof {
  1: string proof
}

// Announces the generation in force at the sender. `peer` is the address from
// which its manifest and chunks can be requested.
struct ConfigNotice {
  1: i64 generation
  2: string digest
  3: string peer
}

// Requests a manifest or chunk by its digest. `peer` is the address for the
// response.
struct ConfigRequest {
  1: string digest
  2: string peer
}

// Response with the manifest or chunk; `found` is false if the sender does not
// have it.
struct ConfigPart {
  1: string digest
  2: bool found
  3: string text
  4: string peer
}

// One budget in a loan request: the tokens that waiting requests need beyond
// those already borrowed from this lender, and the borrower's totals, which
// never decrease.
struct LoanWish {
  1: string budget
  2: i64 needed
  3: i64 smallest
  4: double rate
  5: i64 received
  6: i64 billed
  7: i64 returned
}

// Loan request to a host of the same failure domain; also reports totals.
// `lender` is empty while the lender's holder name is not known.
struct BudgetAsk {
  1: string borrower
  2: string lender
  3: string reply_to
  4: list<LoanWish> wishes
}

// One budget in a loan response: the tokens lent in total, and the sum of the
// borrower's totals as known to the lender.
struct LoanGrant {
  1: string budget
  2: i64 lent
  3: i64 known
  4: i32 outcome
}

// Loan response.
struct BudgetAnswer {
  1: string lender
  2: string borrower
  3: string address
  4: list<LoanGrant> grants
}

// Outcome of a request that may crash targets. With `hold_ms` above 0, the
// request is rejected for that long. With `target`, that target was lost while
// the request was in flight. With neither, the request was answered. `relay`
// asks the receiver to forward the notice within its failure domain.
struct QuarantineNotice {
  1: string digest
  2: string target
  3: i64 hold_ms
  4: bool relay
}

// A request that was lost in a crash. `shared_parts` are ids of prompt parts,
// unsigned numbers in the bits of an i64. For `working_parts`, some of them, the
// sender has seen answers begin. The request was sent to the target `age_ms`
// before this frame.
struct LostRequest {
  1: string digest
  2: list<i64> shared_parts
  3: list<i64> working_parts
  4: i64 age_ms
}

// The target, name and incarnation, crashed while these requests were in
// flight.
struct CrashNotice {
  1: string target
  2: list<LostRequest> requests
}

struct QuarantinedPart {
  1: i64 part
  2: i64 hold_ms
}

// `quarantined` crash the targets that answer requests with them. Requests with
// `answered` were answered whole; `answered_ages_ms`, in the same order, are the
// times since then, 0 if the list is shorter.
struct PromptPartNotice {
  1: list<QuarantinedPart> quarantined
  2: list<i64> answered
  3: list<i64> answered_ages_ms
}

// Requests per second that callers send to a service at the sender.
struct ServiceDemand {
  1: string name
  2: double rate
}

// The target takes `limit` requests per second from all hosts together, or has
// ended its limit if `limit` is 0. It said so `age_ms` before this frame.
struct NamedRateLimit {
  1: string target
  2: string incarnation
  3: double limit
  4: i64 age_ms
}

// The demand at `peer`, by which hosts divide the rate limits of targets.
struct RateLimitNotice {
  1: string peer
  2: list<ServiceDemand> demands
  3: list<NamedRateLimit> limits
}

// A version of the store. Both numbers are unsigned.
struct WideVersion {
  1: i64 era
  2: i64 revision
}

// What the sender, a host of the same failure domain, knows of the store. The
// versions are those of the configuration, of the quarantine and of the list of
// targets. The list last changed at version `targets_changed`; with `changes`,
// these are its changes since version `changes_from`. `outage` is the version of
// the first list after the store's last outage. `age_ms` is the time since the
// store last answered, `sent_ms` the time since the sender booted. Versions are
// packed, see PackVersion(); `wide` has those that can't be, by the number of
// their field, which is then 0.
struct StoreNews {
  1: string host
  2: i64 sent_ms
  3: i64 age_ms
  4: i64 config
  5: i64 quarantine
  6: i64 targets
  7: i64 targets_changed
  8: i64 changes_from
  9: string changes
  10: i64 outage
  11: i64 evacuations
  12: list<string> evacuated
  13: optional map<i16, WideVersion> wide
}

// Requests the host list unless its digest is `digest`. `offset` is the
// position from which the text with digest `part_of` is to be continued.
struct HostListAsk {
  1: string digest
  2: string part_of
  3: i64 offset
  4: string peer
}

// With `base`, the changes from the list with that digest to the list with
// digest `digest`. Without `base`, the piece at `offset` of a text of `total`
// bytes; an empty text means that the requesting host already has this list. An
// empty `digest` means that the sender has no list. `wide` is as in StoreNews.
struct HostListPart {
  1: i64 version
  2: i64 age_ms
  3: string base
  4: string digest
  5: i64 offset
  6: i64 total
  7: string text
  8: string peer
  9: optional map<i16, WideVersion> wide
}

// Asks the receiver to list the sender, the process `holder` of a host, in the
// fleet account with its next write, and to close the earlier processes `ended`
// of that host. `boot_ms` is the time since the host of `boot_id` booted.
struct HostIntroduction {
  1: string holder
  2: string boot_id
  3: i64 boot_ms
  4: string address
  5: string domain
  6: i64 link_mbps
  7: list<string> ended
}

// A frame carries exactly one of the optional fields.
struct Frame {
  1: i32 version
  2: optional Hello hello
  3: optional Proof proof
  4: optional Membership membership
  5: optional ConfigNotice config_notice
  6: optional ConfigRequest config_request
  7: optional ConfigPart config_part
  8: optional BudgetAsk budget_ask
  9: optional BudgetAnswer budget_answer
  10: optional QuarantineNotice quarantine_notice
  12: optional HostListAsk host_list_ask
  13: optional HostListPart host_list_part
  14: optional CrashNotice crash_notice
  15: optional PromptPartNotice prompt_part_notice
  16: optional RateLimitNotice rate_limit_notice
  17: optional StoreNews store_news
  18: optional HostIntroduction host_introduction
}
