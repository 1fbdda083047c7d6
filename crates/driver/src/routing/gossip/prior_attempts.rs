//! Statements that must not be executed twice: which this driver has sent, and what other drivers know of them.

use super::{GossipSettings, SendCommand};
use asterlatch::interface::Statement;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::codec::InquiryId;
use asterlatch_gossip::in_doubt::{DispatchLog, DispatchStatus, Inquiries, InquiryOutcome};
use asterlatch_gossip::node::NodeInput;
use std::collections::BTreeMap;

/// Share of a statement's time that may be spent on waiting for other drivers' answers.
const MAX_QUERY_SHARE: f64 = 0.3;

/// What is known of a statement that a client has sent.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementCheck {
    /// It is new, as far as is known.
    New,
    /// This driver has promised another one not to send it.
    Ceded,
    /// An earlier attempt of it was sent this long ago, to the member with this name.
    Sent {
        /// Time since that attempt; an upper bound.
        age: TimeSpan,
        /// Name of the member.
        member: String,
    },
    /// It may have been sent.
    Unknown,
    /// Other drivers have been asked; it is deferred until they answer.
    Queried,
}

/// A query that was not answered in time.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpiredQuery {
    /// Hash of the id that its client gave the statement.
    pub client_id: u64,
    /// What is to be assumed.
    pub outcome: InquiryOutcome,
}

/// A statement that was deferred, once other drivers' knowledge of it is clear.
#[derive(Clone, Copy, Debug)]
pub struct ResolvedStatement {
    /// The statement as it was accepted.
    pub statement: Statement,
    /// End of its timeout.
    pub deadline: Timestamp,
}

/// A statement that waits for other drivers' answers.
struct DeferredStatement {
    query: u32,
    resolved: ResolvedStatement,
}

/// Records and queries on statements that must not be executed twice.
pub struct PriorAttempts {
    sent: DispatchLog,
    queries: Inquiries,
    deferred: BTreeMap<u64, DeferredStatement>,
    queried_peers: Vec<usize>,
    inquiry_timeout: TimeSpan,
}

impl PriorAttempts {
    pub(super) fn new(now: Timestamp, settings: &GossipSettings, queried_peers: Vec<usize>) -> PriorAttempts {
        PriorAttempts {
            sent: DispatchLog::new(now, settings.retry_window, settings.max_recorded_statements, true),
            queries: Inquiries::default(),
            deferred: BTreeMap::new(),
            queried_peers,
            inquiry_timeout: settings.inquiry_timeout,
        }
    }

    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.queries.next_at()
    }

    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<ExpiredQuery> {
        let expired = self.queries.take_timed_out(now).into_iter();
        expired
            .map(|decision| ExpiredQuery {
                client_id: decision.id,
                outcome: decision.outcome,
            })
            .collect()
    }

    pub(super) fn forget_sent(&mut self, now: Timestamp) {
        self.sent.mark_incomplete(now);
    }

    pub(super) fn on_sent(&mut self, now: Timestamp, client_id: u64, member: &str) {
        self.sent.on_dispatch(now, client_id, member);
    }

    pub(super) fn on_not_executed(&mut self, client_id: u64) {
        self.sent.on_not_executed(client_id);
    }
}

impl super::Gossip {
    /// Checks a statement that must not be executed twice. Other drivers are asked about client retries that this one
    /// has not sent.
    pub fn check_statement(
        &mut self,
        now: Timestamp,
        client_id: u64,
        statement: Statement,
        deadline: Timestamp,
    ) -> StatementCheck {
        let prior_attempts = &mut self.prior_attempts;
        if prior_attempts.sent.is_ceded(client_id) {
            return StatementCheck::Ceded;
        }
        match prior_attempts.sent.status(now, client_id) {
            // Also where it is not marked as a retry: the first attempt may arrive behind the retry.
            DispatchStatus::Dispatched { age, member } => return StatementCheck::Sent { age, member },
            _ if !statement.is_client_retry => return StatementCheck::New,
            DispatchStatus::Unknown => return StatementCheck::Unknown,
            DispatchStatus::NotExecuted => {}
        }
        let resolved = ResolvedStatement { statement, deadline };
        prior_attempts.query(now, client_id, resolved, &mut self.send)
    }

    /// Another driver's answer to a query. Returns the outcome once all answers allow one.
    pub fn on_query_answer(
        &mut self,
        from: usize,
        inquiry: InquiryId,
        status: &DispatchStatus,
    ) -> Option<InquiryOutcome> {
        let queries = &mut self.prior_attempts.queries;
        queries.on_reply(inquiry.id, inquiry.sequence, from, status)
    }

    /// Ends the query on a deferred statement, and returns that.
    pub fn take_deferred(&mut self, client_id: u64) -> Option<ResolvedStatement> {
        let deferred = self.prior_attempts.deferred.remove(&client_id)?;
        (self.send)(NodeInput::EndInquiry(InquiryId {
            id: client_id,
            sequence: deferred.query,
        }));
        Some(deferred.resolved)
    }

    /// Answers another driver's query. If this driver has not sent the statement it cedes it: true is returned, and the
    /// statement must not be sent from here any more. What another process of this driver has sent is not known here.
    pub fn answer_query(
        &mut self,
        now: Timestamp,
        from: usize,
        inquiry: InquiryId,
        is_co_serving: bool,
    ) -> bool {
        let prior_attempts = &mut self.prior_attempts;
        let status = if is_co_serving {
            DispatchStatus::Unknown
        } else {
            prior_attempts.sent.status(now, inquiry.id)
        };
        let is_ceded = status == DispatchStatus::NotExecuted;
        if is_ceded {
            prior_attempts.sent.cede(now, inquiry.id);
            prior_attempts.queries.cancel(inquiry.id);
            prior_attempts.deferred.remove(&inquiry.id);
        }
        (self.send)(NodeInput::ReplyToInquiry {
            to: from,
            inquiry,
            status,
        });
        is_ceded
    }
}

impl PriorAttempts {
    fn query(
        &mut self,
        now: Timestamp,
        client_id: u64,
        resolved: ResolvedStatement,
        send: &mut SendCommand,
    ) -> StatementCheck {
        let max_wait = resolved.statement.time_left * MAX_QUERY_SHARE;
        let timeout = self.inquiry_timeout.min(max_wait);
        let Some(query) = self.queries.start(now, client_id, &self.queried_peers, timeout) else {
            return StatementCheck::New;
        };
        self.deferred
            .insert(client_id, DeferredStatement { query, resolved });
        send(NodeInput::StartInquiry(InquiryId {
            id: client_id,
            sequence: query,
        }));
        StatementCheck::Queried
    }
}
