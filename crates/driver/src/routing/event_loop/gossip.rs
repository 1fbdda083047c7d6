//! What the event loop makes of other drivers' word, and what it tells them.

use super::{EventLoop, Observer};
use crate::protocol::replica_status;
use crate::routing::execution_outcomes;
use crate::routing::gossip::{sightings, GossipMessage, Out, Parked, Sharing, Word};
use crate::routing::member_requests::{AttemptId, RequestKind};
use crate::routing::members::{self, MemberIdentity};
use crate::routing::statements::StatementKeys;
use asterlatch::interface::*;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_gossip::codec::InquiryId;
use asterlatch_gossip::in_doubt::{DispatchStatus, InquiryDecision, InquiryOutcome, UNBOUNDED_AGE};
use asterlatch_gossip::membership::PeerState;
use asterlatch_gossip::node::{NodeOutput, Observation};
use asterlatch_gossip::record::{ListedState as Listed, Record};
use asterlatch_gossip::slow_start::{MemberStart, PeerReport, WarmUpBudget, WarmUpLoad};

/// An attempt of which neither time nor member are known.
const UNKNOWN_ATTEMPT: PriorAttempt = PriorAttempt {
    age: UNBOUNDED_AGE,
    member: 0,
};

/// An attempt of this age, at a member that this driver may not know.
fn prior_attempt(age: TimeSpan, member: Option<u32>) -> PriorAttempt {
    member.map_or(UNKNOWN_ATTEMPT, |member| PriorAttempt { age, member })
}

impl<O: Observer> EventLoop<O> {
    /// From now on others are told, and listened to.
    pub fn join(&mut self, sharing: Sharing) {
        (self.sharing, self.is_mute) = (Some(sharing), false);
    }

    /// Others can't be asked yet, for another process of this driver still speaks with them: what they may have sent is in
    /// doubt until then.
    pub fn mute(&mut self) {
        self.is_mute = true;
    }

    pub fn leave_the_others(&mut self) {
        if let Some(sharing) = &mut self.sharing {
            (sharing.tell)(Word::Leave);
        }
    }

    /// Does what is due by the clock.
    pub(super) fn reach_sharing(&mut self, now: Timestamp) {
        let Some(sharing) = &mut self.sharing else { return };
        let members = &self.members;
        sharing.reach(now, |m| members.identity(m));
        let due = sharing.inquiries.take_timed_out(now);
        let turns = sharing.turns_at.take_if(|at| *at <= now).is_some();
        if sharing.cold_at.take_if(|at| *at <= now).is_some() {
            self.share_cold(now);
        }
        if turns {
            self.take_turns(now);
        }
        for InquiryDecision { id, outcome } in due {
            self.metrics.inquiries_unanswered += 1;
            self.decided(now, id, outcome);
        }
    }

    /// Reckons what each cold member may be sent from here, and tells what was.
    fn share_cold(&mut self, now: Timestamp) {
        let Some(sharing) = &mut self.sharing else { return };
        let (tick, life, own) = (sharing.terms.tick, sharing.life, sharing.own_name.clone());
        // While none is cold a look now and then finds the next one.
        sharing.cold_at = Some(now + tick);
        let there: Vec<String> = sharing.there.iter().map(|p| sharing.names[*p].clone()).collect();
        let there: Vec<&str> = there.iter().map(String::as_str).collect();
        let view = self.module.warming_members(now).into_iter();
        let cold: Vec<_> = view
            .filter_map(|w| {
                let identity = self.members.identity(w.member)?;
                Some((w.member, identity, w.warm_up_fraction, w.carried_load))
            })
            .collect();
        let names: Vec<String> = cold
            .iter()
            .map(|(_, identity, ..)| identity.name.clone())
            .collect();
        sharing.cold.retain(&names);
        let (mut facts, mut shares) = (Vec::new(), Vec::new());
        for (id, MemberIdentity { name, started_ms, .. }, warmth, carries) in cold {
            let member = MemberStart {
                name: &name,
                started_ms,
            };
            let load = WarmUpLoad {
                warm_up_fraction: warmth,
                carried_load: carries,
            };
            let WarmUpBudget { work, report } = sharing.cold.budget(now, member, load, &there);
            shares.extend(work.map(|work| (id, work)));
            let fact = Record::WarmUp {
                member: name,
                started_ms,
                driver: own.clone(),
                incarnation: life,
                sequence: report.sequence,
                work_us: report.work_us,
                carried_us: report.carried_us,
            };
            facts.push(Observation::now(fact));
        }
        if !facts.is_empty() {
            (sharing.tell)(Word::Observed(facts));
        }
        for (id, work) in shares {
            self.metrics.cold_shares += 1;
            // It holds a little beyond the next telling.
            let until = now + tick + tick;
            let results = self
                .module
                .on_member_update(now, id, MemberUpdate::WarmUpBudget { work, until });
            self.carry_out(now, results);
        }
    }

    /// An execution goes out; others may have to know.
    pub(super) fn shares_execution(&mut self, now: Timestamp, stmt: u32, number: u8, member: u32) {
        let Some(sharing) = &mut self.sharing else { return };
        let Some(StatementKeys {
            client_id: name,
            workload,
            session,
        }) = self.statements.keys(stmt)
        else {
            return;
        };
        let work = self.module.typical_latency(workload);
        if let Some(name) = self
            .members
            .name(member)
            .filter(|n| sharing.cold.is_warming_up(n))
        {
            sharing.cold.on_dispatch(now, name, work);
        }
        let out = Out {
            name,
            session,
            harmful: self.workloads.get(workload).needs_deduplication,
            writes: self.workloads.get(workload).is_write(),
        };
        if out.harmful {
            let member = self.members.name(member).unwrap_or_default();
            sharing.log.on_dispatch(now, name, member);
        }
        if out.harmful || out.writes {
            sharing.out.insert((stmt, number), out);
        }
    }

    /// It has ended.
    pub(super) fn shares_end(
        &mut self,
        now: Timestamp,
        kind: RequestKind,
        member: u32,
        end: (ExecutionOutcome, ReplicaStatus),
    ) {
        let Some(sharing) = &mut self.sharing else { return };
        let (ending, sighting) = end;
        sharing.saw(now, member, sighting);
        let answered = matches!(
            ending,
            ExecutionOutcome::Completed
                | ExecutionOutcome::NotEligible
                | ExecutionOutcome::Errored
                | ExecutionOutcome::Rejected
        );
        if let Some(name) = self.members.name(member).filter(|_| answered) {
            sharing.turns.silence.heard(name, now);
            sharing.turns.sums.answered(now, members::fleet_key(name));
        }
        let RequestKind::Execution(AttemptId {
            statement: stmt,
            attempt: number,
        }) = kind
        else {
            return;
        };
        let Some(out) = sharing.out.remove(&(stmt, number)) else {
            return;
        };
        if out.harmful && execution_outcomes::definitely_not_executed(ending) {
            sharing.log.on_not_executed(out.name);
        }
        if let (true, true, Some(position)) = (
            out.writes,
            ending == ExecutionOutcome::Completed,
            sighting.position,
        ) {
            if self.remembers_sessions {
                sharing.session(now, out.session, position);
            }
        }
    }

    /// What the list says of a member.
    pub(super) fn shares_listed(&mut self, list: u64, entries: &[MemberEntry]) {
        let Some(sharing) = &mut self.sharing else { return };
        if sharing.list != list {
            sharing.list = list;
            (sharing.tell)(Word::ListVersion(list));
        }
        for e in entries {
            let standing = match e.state {
                MemberState::Ready => Listed::Ready,
                MemberState::Draining => Listed::Draining,
                MemberState::Gone => Listed::Gone,
            };
            let started_ms = e.started_at.map_or(0, |at| at.0 / 1000);
            if let Some(name) = self.members.name(e.id) {
                sharing.listed(name, started_ms, standing);
            }
        }
    }

    /// A statement that is to go to the module; nothing where it waits for others' word first.
    pub(super) fn asks_others(
        &mut self,
        now: Timestamp,
        (name, repeat): (u64, bool),
        taken: Statement,
        times_out: Timestamp,
    ) -> Option<Statement> {
        let harmful = self.workloads.get(taken.workload).needs_deduplication;
        let with_prior_attempt = |prior: PriorAttempt| {
            Some(Statement {
                prior_attempt: Some(prior),
                ..taken
            })
        };
        if self.sharing.is_none() && self.is_mute && harmful && repeat {
            return with_prior_attempt(UNKNOWN_ATTEMPT);
        }
        let Some(sharing) = self.sharing.as_mut().filter(|_| harmful) else {
            return Some(taken);
        };
        if sharing.log.is_given_up(name) {
            // Another driver was told that it won't be sent from here.
            self.metrics.statements_given_away += 1;
            return with_prior_attempt(UNKNOWN_ATTEMPT);
        }
        match sharing.log.status(now, name) {
            // Also where it isn't marked: the first may be read behind its repeat.
            DispatchStatus::Dispatched { age: ago, member } => {
                let member = self.members.find(&member);
                return with_prior_attempt(prior_attempt(ago, member));
            }
            _ if !repeat => return Some(taken),
            DispatchStatus::Unknown => return with_prior_attempt(UNKNOWN_ATTEMPT),
            DispatchStatus::NotExecuted => {}
        }
        // No more of a statement's time than leaves enough of it.
        let within = sharing.terms.ask.min(taken.time_left * 0.3);
        let peers = sharing.asked.clone();
        match sharing.inquiries.start(now, name, &peers, within) {
            None => Some(taken),
            Some(turn) => {
                self.metrics.inquiries += 1;
                sharing.parked.insert(
                    name,
                    Parked {
                        turn,
                        taken,
                        times_out,
                    },
                );
                (sharing.tell)(Word::StartInquiry(InquiryId {
                    id: name,
                    sequence: turn,
                }));
                None
            }
        }
    }

    /// What others know of a statement that waited for it is known now.
    fn decided(&mut self, now: Timestamp, name: u64, verdict: InquiryOutcome) {
        let Some(sharing) = &mut self.sharing else { return };
        let Some(parked) = sharing.parked.remove(&name) else {
            return;
        };
        (sharing.tell)(Word::EndInquiry(InquiryId {
            id: name,
            sequence: parked.turn,
        }));
        // Its client may have gone.
        if !self.statements.contains(parked.taken.id) {
            return;
        }
        let prior = match verdict {
            InquiryOutcome::NotExecuted => None,
            InquiryOutcome::MayHaveExecuted { age: ago, member } => {
                self.metrics.inquiries_in_doubt += 1;
                let member = member.and_then(|m| self.members.find(&m));
                Some(prior_attempt(ago, member))
            }
        };
        let taken = Statement {
            prior_attempt: prior,
            time_left: parked.times_out - now,
            ..parked.taken
        };
        let results = self.module.on_statement(now, &taken);
        self.carry_out(now, results);
        self.tell_ended(now);
    }

    /// A peer asks about a statement: whatever of it waits here is given away first.
    fn questioned(&mut self, now: Timestamp, from: usize, question: InquiryId) {
        let Some(sharing) = &mut self.sharing else { return };
        // Of what the process beside this one sends nothing is known here.
        let known = match self.is_shared {
            true => DispatchStatus::Unknown,
            false => sharing.log.status(now, question.id),
        };
        if known == DispatchStatus::NotExecuted {
            sharing.log.give_up(now, question.id);
            sharing.inquiries.cancel(question.id);
            sharing.parked.remove(&question.id);
        }
        (sharing.tell)(Word::ReplyToInquiry {
            to: from,
            inquiry: question,
            status: known.clone(),
        });
        let open = self.statements.find(question.id);
        let Some(stmt) = open.filter(|_| known == DispatchStatus::NotExecuted) else {
            return;
        };
        self.metrics.statements_given_away += 1;
        let results = self.module.on_statement_withdrawn(now, stmt);
        self.carry_out(now, results);
        let answer = execution_outcomes::rejected(TimeSpan(0));
        self.metrics.rejected += u64::from(self.answer(stmt, answer));
    }

    pub(super) fn on_gossip_message(&mut self, now: Timestamp, news: GossipMessage) {
        let heard = match news {
            GossipMessage::Output(heard) => heard,
            GossipMessage::LogLine(line) => return self.observer.say(now, "fleet", format_args!("{line}")),
        };
        match heard {
            NodeOutput::RecordLearned {
                record: fact,
                observed_at: told,
            } => {
                self.metrics.facts_from_others += 1;
                self.fact(now, &fact, told);
            }
            NodeOutput::InquiryReceived {
                from,
                inquiry: question,
            } => self.questioned(now, from, question),
            NodeOutput::InquiryReplied {
                from,
                inquiry: question,
                status: known,
            } => {
                let Some(sharing) = &mut self.sharing else { return };
                let (id, turn) = (question.id, question.sequence);
                if let Some(verdict) = sharing.inquiries.on_reply(id, turn, from, &known) {
                    self.decided(now, id, verdict);
                }
            }
            NodeOutput::PeerStateChanged(change) => {
                let Some(sharing) = &mut self.sharing else { return };
                match change.to {
                    PeerState::Alive | PeerState::Suspect => drop(sharing.there.insert(change.peer)),
                    PeerState::Down | PeerState::NeverHeard => drop(sharing.there.remove(&change.peer)),
                }
                self.count_peers(now);
                let Some(sharing) = &self.sharing else { return };
                let (to, from) = (change.to.name(), change.from.name());
                let name = sharing.names.get(change.peer).map_or("", String::as_str);
                if change.to == PeerState::Down {
                    self.metrics.peers_lost += 1;
                }
                let text = format_args!("driver {name} is {to}, was {from}");
                self.observer.say(now, "fleet", text);
            }
            NodeOutput::CaughtUp(whole) => {
                let text = if whole { "caught up" } else { "behind: it was away" };
                self.observer.say(now, "fleet", format_args!("{text}"));
            }
            NodeOutput::PeerIgnored { peer, reason: why } => {
                let Some(sharing) = &self.sharing else { return };
                let name = sharing.names.get(peer).map_or("", String::as_str);
                let text = format_args!("driver {name} is not listened to: {why}");
                self.observer.say(now, "fleet", text);
            }
            NodeOutput::Send { .. } => {}
        }
    }

    /// What another driver has heard. One that isn't listed here binds nothing here.
    fn fact(&mut self, now: Timestamp, fact: &Record, told: Timestamp) {
        match fact {
            Record::Member {
                name,
                started_ms,
                position,
                primary_at,
                replica_at,
                ..
            } => {
                let member = self.members.find(name);
                // Of another start of it nothing holds here.
                let same = |m: &u32| self.members.has_started_at(*m, *started_ms);
                let Some(member) = member.filter(same) else { return };
                if let Some(sharing) = &mut self.sharing {
                    sharing.turns.silence.heard(name, told);
                }
                // Never as new as what it says to this driver itself.
                let ago = (now - told).max(TimeSpan(1));
                for sighting in sightings(*position, *primary_at, *replica_at) {
                    let results =
                        self.module
                            .on_member_update(now, member, MemberUpdate::Status(ago, sighting));
                    self.carry_out(now, results);
                }
            }
            Record::Drain {
                name,
                started_ms,
                list_version: list,
                state: standing,
            } => {
                let newest = self.sharing.as_ref().map_or(0, |s| s.list);
                // An older list than this driver's own binds nothing; of its own version the worse word does.
                let binds = *standing != Listed::Ready && *list >= newest;
                let Some(member) = self.members.find(name).filter(|_| binds) else {
                    return;
                };
                self.member_requests.close_idle(member);
                self.metrics.drains_from_others += 1;
                let results = self.module.on_member_update(
                    now,
                    member,
                    MemberUpdate::Draining(replica_status::unix(*started_ms)),
                );
                self.carry_out(now, results);
            }
            Record::Session { session, position } => {
                if self.remembers_sessions {
                    let position = Timestamp(0) + TimeSpan::millis(*position);
                    self.module.on_session_position(*session, position);
                }
            }
            Record::WarmUp {
                member,
                started_ms,
                driver,
                incarnation: life,
                work_us,
                carried_us: carries_us,
                ..
            } => {
                let is_known = self.members.find(member).is_some();
                if let Some(sharing) = self.sharing.as_mut().filter(|_| is_known) {
                    let cold = &mut sharing.cold;
                    let member = MemberStart {
                        name: member,
                        started_ms: *started_ms,
                    };
                    let report = PeerReport {
                        driver,
                        incarnation: *life,
                        reported_at: told,
                        work_us: *work_us,
                        carried_us: *carries_us,
                    };
                    cold.on_peer_report(member, &report);
                }
            }
            Record::Lease { subject, claim } => {
                if let Some(sharing) = &mut self.sharing {
                    sharing.turns.leases.told(now, subject, *claim, now - told);
                }
            }
            Record::Unanswered {
                member,
                driver,
                outstanding_us: before_us,
                ..
            } => self.late_elsewhere(member, driver, told - TimeSpan(*before_us), told),
            Record::Load {
                driver,
                incarnation: life,
                shares,
                ..
            } => {
                if let Some(sharing) = &mut self.sharing {
                    sharing.turns.load_told((driver, *life), shares, told);
                }
            }
            Record::Driver { .. } => {}
        }
        self.tell_ended(now);
    }
}
