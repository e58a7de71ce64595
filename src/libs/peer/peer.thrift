// Messages between the entry hosts. Fields are only ever added; a change that
// old hosts must not misread raises the version in peer_constants.h.
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

// First frame from either side: a random challenge.
struct Hello {
  1: i32 version
  2: string challenge
}

// Answer to the other side's challenge: HMAC-SHA-256 under the fleet's key.
struct Proof {
  1: string proof
}

// "This generation is in force here." `peer` is where it can be asked for.
struct ConfigNotice {
  1: i64 generation
  2: string digest
  3: string peer
}

// Asks for a manifest or chunk by its digest. `peer` is where to answer.
struct ConfigRequest {
  1: string digest
  2: string peer
}

// The manifest or chunk; `found` is false if the sender has none.
struct ConfigPart {
  1: string digest
  2: bool found
  3: string text
  4: string peer
}

// One budget in an ask: what waiting requests need beyond what the borrower has
// of this lender, and the borrower's totals, which only grow.
struct LoanWish {
  1: string budget
  2: i64 needed
  3: i64 smallest
  4: double rate
  5: i64 received
  6: i64 billed
  7: i64 returned
}

// Asks a host of the same failure domain for tokens, and reports totals.
// `lender` is empty while its holder name is not known.
struct BudgetAsk {
  1: string borrower
  2: string lender
  3: string reply_to
  4: list<LoanWish> wishes
}

// One budget in an answer: what was lent in all, and the sum of the borrower's
// totals that the lender knows.
struct LoanGrant {
  1: string budget
  2: i64 lent
  3: i64 known
  4: i32 outcome
}

struct BudgetAnswer {
  1: string lender
  2: string borrower
  3: string address
  4: list<LoanGrant> grants
}

// One frame carries one of these.
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
}
