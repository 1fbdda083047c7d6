//! Statements that must not be executed twice: inquiries to and from other drivers.

use super::{GossipSettings, SendCommand};
use asterlatch::interface::Statement;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::codec::InquiryId;
use asterlatch_gossip::in_doubt::{DispatchLog, DispatchStatus, Inquiries, InquiryOutcome};
use asterlatch_gossip::node::NodeInput;
use std::collections::BTreeMap;

/// Share of a statement's time left that an inquiry may take.
const MAX_INQUIRY_TIME_SHARE: f64 = 0.3;

/// Result of checking a statement for prior attempts.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementCheck {
    /// No prior attempt is known.
    New,
    /// This driver has promised another one not to dispatch it.
    Ceded,
    /// This driver has dispatched it before.
    Dispatched {
        /// Upper bound of the time since the attempt.
        age: TimeSpan,
        /// Name of the member that received it.
        member: String,
    },
    /// It may have been dispatched.
    Unknown,
    /// Other drivers have been asked; the statement is deferred until they reply.
    InquiryStarted,
}

/// An inquiry that was not answered in time.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpiredInquiry {
    /// Hash of the id that its client gave the statement.
    pub client_id: u64,
    /// The outcome to assume.
    pub outcome: InquiryOutcome,
}

/// A deferred statement whose inquiry has ended.
#[derive(Clone, Copy, Debug)]
pub struct ResolvedStatement {
    /// The statement as it was accepted.
    pub statement: Statement,
    /// End of the statement timeout.
    pub deadline: Timestamp,
}

/// A statement that waits for the outcome of an inquiry.
struct DeferredStatement {
    inquiry_sequence: u32,
    resolved: ResolvedStatement,
}

/// Inquiries about statements that must not be executed twice.
pub struct PriorAttempts {
    inquiries: Inquiries,
    deferred: BTreeMap<u64, DeferredStatement>,
    inquiry_peers: Vec<usize>,
    inquiry_timeout: TimeSpan,
}

impl PriorAttempts {
    pub(super) fn new(settings: &GossipSettings, inquiry_peers: Vec<usize>) -> PriorAttempts {
        PriorAttempts {
            inquiries: Inquiries::default(),
            deferred: BTreeMap::new(),
            inquiry_peers,
            inquiry_timeout: settings.inquiry_timeout,
        }
    }

    pub(super) fn next_at(&self) -> Option<Timestamp> {
        self.inquiries.next_at()
    }

    pub(super) fn take_expired(&mut self, now: Timestamp) -> Vec<ExpiredInquiry> {
        let expired = self.inquiries.take_timed_out(now).into_iter();
        expired
            .map(|decision| ExpiredInquiry {
                client_id: decision.id,
                outcome: decision.outcome,
            })
            .collect()
    }
}

impl super::Gossip {
    /// Checks a statement that must not be executed twice. Starts an inquiry about client retries that this
    /// driver has not dispatched.
    pub fn check_statement(
        &mut self,
        now: Timestamp,
        dispatch_log: &mut DispatchLog,
        client_id: u64,
        statement: Statement,
        deadline: Timestamp,
    ) -> StatementCheck {
        if dispatch_log.is_ceded(client_id) {
            return StatementCheck::Ceded;
        }
        match dispatch_log.status(now, client_id) {
            // Even if it is not marked as a retry: the first attempt may arrive after its retry.
            DispatchStatus::Dispatched { age, member } => return StatementCheck::Dispatched { age, member },
            _ if !statement.is_client_retry => return StatementCheck::New,
            DispatchStatus::Unknown => return StatementCheck::Unknown,
            DispatchStatus::NotExecuted => {}
        }
        let resolved = ResolvedStatement { statement, deadline };
        let prior_attempts = &mut self.prior_attempts;
        prior_attempts.start_inquiry(now, client_id, resolved, &mut self.send)
    }

    /// Handles another driver's reply to an inquiry. Returns the outcome once the replies determine it.
    pub fn on_inquiry_reply(
        &mut self,
        from: usize,
        inquiry: InquiryId,
        status: &DispatchStatus,
    ) -> Option<InquiryOutcome> {
        let inquiries = &mut self.prior_attempts.inquiries;
        inquiries.on_reply(inquiry.id, inquiry.sequence, from, status)
    }

    /// Ends the inquiry about a deferred statement, and returns the statement.
    pub fn take_deferred(&mut self, client_id: u64) -> Option<ResolvedStatement> {
        let deferred = self.prior_attempts.deferred.remove(&client_id)?;
        (self.send)(NodeInput::EndInquiry(InquiryId {
            id: client_id,
            sequence: deferred.inquiry_sequence,
        }));
        Some(deferred.resolved)
    }

    /// Replies to another driver's inquiry. If this driver has not dispatched the statement, it cedes it and
    /// returns true: the statement must not be dispatched from here any more. During co-serving the reply is
    /// `Unknown`, because the peer process may have dispatched it.
    pub fn reply_to_inquiry(
        &mut self,
        now: Timestamp,
        from: usize,
        inquiry: InquiryId,
        dispatch_log: &mut DispatchLog,
        is_co_serving: bool,
    ) -> bool {
        let prior_attempts = &mut self.prior_attempts;
        let status = if is_co_serving {
            DispatchStatus::Unknown
        } else {
            dispatch_log.status(now, inquiry.id)
        };
        let is_ceded = status == DispatchStatus::NotExecuted;
        if is_ceded {
            dispatch_log.cede(now, inquiry.id);
            prior_attempts.inquiries.cancel(inquiry.id);
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
    fn start_inquiry(
        &mut self,
        now: Timestamp,
        client_id: u64,
        resolved: ResolvedStatement,
        send: &mut SendCommand,
    ) -> StatementCheck {
        let max_wait = resolved.statement.time_left * MAX_INQUIRY_TIME_SHARE;
        let timeout = self.inquiry_timeout.min(max_wait);
        let Some(inquiry_sequence) = self.inquiries.start(now, client_id, &self.inquiry_peers, timeout)
        else {
            return StatementCheck::New;
        };
        self.deferred.insert(
            client_id,
            DeferredStatement {
                inquiry_sequence,
                resolved,
            },
        );
        send(NodeInput::StartInquiry(InquiryId {
            id: client_id,
            sequence: inquiry_sequence,
        }));
        StatementCheck::InquiryStarted
    }
}
