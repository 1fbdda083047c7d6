//! Every decision of asterlatch. A host makes one `RoutingPolicy` per instance, calls one method per input and
//! carries out the `Actions`; the types on both sides stand in `src/interface.rs`, clock types in
//! `src/time.rs`, what a driver remembers in `src/state.rs`. After each input the `RULES` are gone through in
//! order, again and again, until none fires.

mod views;

use crate::fleet_share::{self, FleetShare, ZoneHealth};
use crate::health::{DEAR, GOOD_PACE, LATE_COUNTS, NEWEST, OVERDUE, OVERDUE_PACES};
use crate::interface::ExecutionOutcome::*;
use crate::interface::*;
use crate::replica_preference::ReplicaPreference;
use crate::state::*;
use crate::time::{TimeSpan, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A held write goes out after this even if no primary is named.
const HOLD: TimeSpan = TimeSpan::millis(250);
/// A wake-up later than this shows that the driver itself was held up.
const STALL: TimeSpan = TimeSpan::millis(50);
/// What found no place is told after this part of its time.
const UNSENT: f64 = 0.45;
/// Part of the time in which a repeat is known that it may go out in: the rest is for its way.
const SURELY: f64 = 0.95;
/// Before another try where the same members are all there is.
const RETRY: TimeSpan = TimeSpan::millis(50);
/// Answers of a member in the rule's window under which a driver can't tell what that one bears and lets in
/// a share of statements instead.
const SPARSE: usize = 5;
/// Part of what the best of a group lets in from which on a driver stays with its own replica.
const LOYAL: f64 = 0.7;
/// Sessions whose last commit is remembered where it isn't carried.
const SESSIONS_KEPT: usize = 50_000;
/// Between calls for the list after a failure, as a share of the time in which the list must be asked for,
/// and the part of that after the first failure in a row: while none stands, changes are missed.
const ASK_SHARE: f64 = 0.1;
const ASK_FIRST: f64 = 1.0 / 16.0;

const RULES: [fn(&mut RoutingPolicy) -> bool; 8] = [
    RoutingPolicy::answer_in_time,
    RoutingPolicy::give_up_the_worthless,
    RoutingPolicy::release_held,
    RoutingPolicy::leave_silent_zones,
    RoutingPolicy::plan_touched,
    RoutingPolicy::look_at_members,
    RoutingPolicy::place_waiting,
    RoutingPolicy::ask_for_list,
];

/// Written out it is what was learned: statements and their executions stay with the process that took them.
#[derive(Default, Serialize, Deserialize)]
pub struct RoutingPolicy {
    #[serde(skip)]
    settings: Settings,
    #[serde(skip)]
    fleet: FleetShare,
    #[serde(skip)]
    firsts: ReplicaPreference,
    now: Timestamp,
    chance: SeededRng,
    /// Smoothed time that an answer takes, by workload.
    typical: Vec<TimeSpan>,
    zones: ZoneHealth,
    /// How long clients wait for first tries, by workload.
    first_left: Vec<TimeSpan>,
    members: MemberTable,
    groups: GroupTable,
    #[serde(skip)]
    stmts: BTreeMap<u32, StatementState>,
    #[serde(skip)]
    running: BTreeMap<(u32, u8), InFlightExecution>,
    #[serde(skip)]
    due: TimerQueue<u32>,
    /// When each member is to be looked at next, and those for which that may have come nearer.
    watch: TimerQueue<usize>,
    #[serde(skip)]
    touched: Vec<usize>,
    /// GroupTable in which a waiting statement may find a place now.
    #[serde(skip)]
    changed: BTreeSet<usize>,
    sessions: SessionPositions,
    quotas: TenantQuotas,
    /// Work of latest answers, and the warm members' size that bore it.
    borne: SlidingWindow,
    warm_size: f64,
    best_density: f64,
    /// Smoothed part of the SLO time that setting up a connection costs.
    setup: f64,
    ask_at: Option<Timestamp>,
    /// Failed calls for the list in a row, and until when one more is of that row.
    #[serde(skip)]
    asks_failed: (i32, Timestamp),
    #[serde(skip)]
    planned: Option<Timestamp>,
    stalled_at: Timestamp,
    /// Another process serves the same members: what is cold there is that one's.
    #[serde(skip)]
    yields: bool,
    #[serde(skip)]
    results: Actions,
}

/// The proof table: endings after which the statement is known not to have run.
pub fn definitely_not_executed(ending: ExecutionOutcome) -> bool {
    matches!(ending, Rejected | NoConnection | NotSent | NotEligible)
}

impl RoutingPolicy {
    pub fn new(settings: &Settings, seed: u64, now: Timestamp) -> RoutingPolicy {
        RoutingPolicy {
            typical: settings.workloads.iter().map(|w| w.slo_time * 0.2).collect(),
            first_left: vec![TimeSpan(0); settings.workloads.len()],
            chance: SeededRng { seed, drawn: 0 },
            ask_at: settings.poll_endpoint_list.then_some(now),
            settings: settings.clone(),
            fleet: FleetShare::of(settings.driver_count),
            firsts: ReplicaPreference::alone(seed),
            ..RoutingPolicy::default()
        }
    }

    pub fn on_statement(&mut self, now: Timestamp, s: &Statement) -> Actions {
        self.set_now(now);
        let group = self.groups.at(s.group);
        // Each driver has an even part of a tenant's quota.
        let quota = self.settings.tenant_quotas.get(s.tenant);
        let within = quota.is_none_or(|q| self.quotas.draw(s.tenant, self.fleet.part(*q), now));
        let share = if within {
            1.0
        } else {
            self.settings.over_quota_share
        };
        let slack = self.settings.tick + self.settings.tick;
        let w = &self.settings.workloads[s.workload];
        let work = s.expected_work.unwrap_or(self.typical[s.workload]);
        // Little time left makes an answer unlikely, and its work in vain.
        let hope = s.time_left.ratio(self.typical[s.workload] * 2.0).min(1.0);
        let density = w.importance * share * hope / work.0.max(1) as f64;
        self.best_density = density.max(self.best_density * 0.999);
        let token = match w.freshness {
            Freshness::Session if self.settings.session_age_carried => {
                s.session_write_age.map_or(Timestamp(0), |ago| now - ago)
            }
            Freshness::Session => self.sessions.known(s.session),
            _ => Timestamp(0),
        };
        // A repeat's SLO time began with its first try: what it has less to wait than those do has passed.
        if !s.is_client_retry {
            self.first_left[s.workload] = s.time_left;
        }
        let passed = self.first_left[s.workload] - s.time_left;
        let stmt = StatementState {
            workload: s.workload,
            group,
            session: s.session,
            required_position: token,
            expected_work: s.expected_work,
            importance: w.importance * share,
            accepted_at: now,
            admission_threshold: self.chance.draw().powf((density / self.best_density).max(0.1)),
            slo_deadline: now + (w.slo_time - slack - passed),
            answer_deadline: now + (s.time_left - slack),
            dispatch_deadline: now + s.time_left,
            unsent_deadline: now + s.time_left * UNSENT,
            indeterminate: s.prior_attempt.map(|p| {
                (
                    now - p.age,
                    self.members.index.get(&p.member).copied().unwrap_or(0),
                )
            }),
            ..StatementState::default()
        };
        self.stmts.insert(s.id, stmt);
        if self.may_run_again(s.id) {
            self.queue(s.id);
        } else {
            self.finish(s.id);
        }
        self.run_rules()
    }

    pub fn on_statement_withdrawn(&mut self, now: Timestamp, stmt: u32) -> Actions {
        self.set_now(now);
        self.call_off(stmt);
        self.forget(stmt);
        self.run_rules()
    }

    pub fn on_execution_ended(&mut self, now: Timestamp, end: &ExecutionEnd) -> Actions {
        self.set_now(now);
        if let Some(run) = self.running.remove(&(end.statement, end.attempt)) {
            (!run.abandoned).then(|| self.learn_health(&run, end));
            self.learn_sighting(run.member, end.latency, TimeSpan(0), end.status);
            self.learn_commit(&run, end);
            if end.is_answered {
                self.forget(end.statement);
            }
            self.on_attempt_failed(end, &run);
        }
        self.run_rules()
    }

    /// A connection has to come up first: until `goes_out` nothing of this execution has left.
    pub fn on_connecting(&mut self, stmt: u32, number: u8) {
        let run = self.running.get_mut(&(stmt, number));
        run.into_iter().for_each(|r| r.is_connecting = true);
    }

    /// Whether an execution may still go out now that it can; if so it has. What came meanwhile may forbid
    /// it: its end, a drain, the end of the time of its repeats, or a position that covers it no more.
    pub fn may_dispatch(&mut self, now: Timestamp, stmt: u32, number: u8) -> bool {
        self.now = now;
        let run = self.running.get(&(stmt, number)).filter(|r| !r.is_cancelled);
        let Some((m, s)) = run.map(|r| r.member).zip(self.stmts.get(&stmt)) else {
            return false;
        };
        let primary = self.groups[s.group].primary == Some(m) || self.settings.needs_primary(s.workload);
        let ready = primary || self.is_checked(s) || self.covers(m, s);
        let goes = ready && self.may_send(m) && now < s.dispatch_deadline.min(s.answer_deadline);
        let run = self.running.get_mut(&(stmt, number)).expect("seen above");
        if goes {
            (run.is_connecting, run.dispatched_at) = (false, now);
        }
        goes
    }

    /// Whether an answer may go to the client: not one that itself shows older data than the read allowed
    /// when it was sent. A primary that was held up and deposed meanwhile answers what lay there.
    pub fn accepts_answer(&self, stmt: u32, number: u8, s: ReplicaStatus) -> bool {
        let Some(run) = self.running.get(&(stmt, number)) else {
            return true;
        };
        let need = match self.settings.workloads[run.workload].freshness {
            Freshness::Bounded(bound) => run.dispatched_at - bound,
            Freshness::Session => self
                .stmts
                .get(&stmt)
                .map_or(Timestamp(0), |s| s.required_position),
            Freshness::Any | Freshness::Fresh | Freshness::Write => Timestamp(0),
        };
        s.position.is_none_or(|p| p >= need)
    }

    pub fn on_health_check(
        &mut self,
        now: Timestamp,
        member: u32,
        ok: bool,
        took: TimeSpan,
        s: ReplicaStatus,
    ) -> Actions {
        self.set_now(now);
        let before = now - self.longest_typical_latency() * OVERDUE_PACES;
        if let Some(&m) = self.members.index.get(&member) {
            let f = &mut self.members;
            self.changed.insert(f.group[m]);
            self.touched.push(m);
            if ok {
                f.oldest_unanswered[m] = now;
                // It lives: what it owed all the while is lost on its way or stuck, and keeps no room.
                if std::mem::take(&mut f.ejected[m]) {
                    let runs = self.running.values_mut();
                    let lost = runs.fold(0, |n, r| n + usize::from(r.lose(m, before)));
                    (f.in_flight[m], f.connections[m]) =
                        (f.in_flight[m] - lost, f.connections[m].saturating_sub(lost));
                }
                self.learn_sighting(m, took, TimeSpan(0), s);
            }
        }
        self.run_rules()
    }

    pub fn on_endpoint_list(&mut self, now: Timestamp, entries: &[MemberEntry], whole: bool) -> Actions {
        self.set_now(now);
        if whole {
            self.members.state.fill(MemberState::Gone);
        }
        entries.iter().for_each(|e| self.learn_entry(e));
        let owing = self.running.values().map(|r| r.member);
        let meant: BTreeSet<_> = self
            .stmts
            .values()
            .flat_map(StatementState::members)
            .chain(owing)
            .collect();
        let all = self.members.index.values().copied();
        let (up, down): (Vec<_>, Vec<_>) = all.partition(|m| self.may_send(*m));
        self.warm_size = up
            .iter()
            .map(|m| self.members.capacity[*m] * self.warmth(*m))
            .sum();
        for m in down {
            let waits = self
                .running
                .iter_mut()
                .filter(|(_, r)| r.member == m && r.is_connecting && !r.is_cancelled);
            for (&(stmt, number), run) in waits {
                run.is_cancelled = true;
                self.results.cancellations.push(Cancellation {
                    statement: stmt,
                    attempt: number,
                });
            }
            let g = &mut self.groups[self.members.group[m]];
            let f = &mut self.members;
            g.depose(m);
            // A long day of ever new members would fill memory and turns; what is open may mean one still.
            if f.state[m] == MemberState::Gone && !meant.contains(&m) {
                g.members.retain(|n| *n != m);
                self.watch.put(m, f.next_check_at[m], None);
                self.results.removed_members.push(f.let_go(m));
            }
        }
        self.changed.extend(0..self.groups.all.len());
        self.touched.extend(self.members.index.values());
        self.run_rules()
    }

    /// The call for the list failed or the subscription broke; whether one stands is not known, so ask again.
    pub fn on_poll_failed(&mut self, now: Timestamp) -> Actions {
        self.set_now(now);
        let most = self.settings.poll_within * ASK_SHARE;
        let (before, until) = self.asks_failed;
        let in_a_row = if now < until { before + 1 } else { 0 };
        self.asks_failed = (in_a_row, now + most * 2.0);
        let gap = most * (ASK_FIRST * 2f64.powi(in_a_row)).min(1.0) * (0.5 + self.chance.draw());
        self.ask_at = self.settings.poll_endpoint_list.then_some(now + gap);
        self.run_rules()
    }

    pub fn advance_to(&mut self, now: Timestamp) -> Actions {
        self.set_now(now);
        self.run_rules()
    }

    fn learn_entry(&mut self, e: &MemberEntry) {
        let (group, longest) = (self.groups.at(e.group), self.longest_typical_latency());
        let f = &mut self.members;
        let (m, known) = f.place(e.id);
        if !known {
            f.group[m] = group;
            f.latency_ratio[m] = GOOD_PACE / 2.0;
            self.groups[group].members.push(m);
        }
        if !known || e.started_at > f.started_at[m] {
            // It may be cold, and is no longer primary whatever it was.
            f.started_at[m] = e.started_at;
            f.concurrency_limit[m] = self.fleet.first_limit();
            (f.ejected[m], f.drained[m]) = (false, false);
            (f.health_check_at[m], f.warm_up_debt_at[m]) = (self.now, self.now);
            // Drivers that hear of it together must not send to it together.
            f.warm_up_debt[m] = longest * self.chance.draw();
            self.groups[group].depose(m);
        }
        (f.state[m], f.zone[m], f.capacity[m], f.fleet_key[m]) = (e.state, e.zone, e.capacity, e.fleet_key);
        f.drained[m] |= e.state == MemberState::Draining;
        let g = &mut self.groups[group];
        let named = e.listed_as_primary && !f.reported_replica[m];
        g.primary = g.primary.or(named.then_some(m));
    }

    /// Newest evidence wins by the position it was given at, not by when it arrived: a primary stands at the
    /// present, so one that spoke as primary at a later position has taken over since.
    fn learn_sighting(&mut self, m: usize, took: TimeSpan, ago: TimeSpan, s: ReplicaStatus) {
        let f = &mut self.members;
        let g = &mut self.groups[f.group[m]];
        // MemberUpdate by itself it is news whatever it says; told by others only where it says more.
        if let Some(position) = s.position.filter(|p| ago == TimeSpan(0) || *p > f.position[m]) {
            (f.position[m], f.status_at[m]) = (f.position[m].max(position), Some(self.now - ago));
        }
        let at = s.position.unwrap_or(self.now - took);
        if s.is_primary == Some(true) && at >= g.primary_position {
            f.reported_replica[m] = false;
            g.primary_position = at;
            if g.primary.replace(m) != Some(m) {
                for (_, _, id) in g.queued() {
                    let held = self.stmts.get_mut(id).expect("waiting");
                    held.backoff_until = Timestamp(0);
                    held.excluded_members.clear();
                }
            }
        } else if s.is_primary == Some(false) && (g.primary != Some(m) || at >= g.primary_position) {
            f.reported_replica[m] = true;
            g.depose(m);
        }
    }

    fn learn_commit(&mut self, run: &InFlightExecution, end: &ExecutionEnd) {
        let write = self.settings.workloads[run.workload].freshness == Freshness::Write;
        let done = write && !self.settings.session_age_carried && !definitely_not_executed(end.outcome);
        if done {
            // A write without a stated commit, or whose answer was lost, is taken to have committed by now.
            let commit = end.status.position.unwrap_or(self.now);
            self.sessions.note(run.session, commit, SESSIONS_KEPT);
            // Reads of it that are still here must see it too, for they may go out after this.
            let read = |s: &&mut StatementState| s.session == run.session && s.session > 0;
            let reads = self.stmts.values_mut().filter(read);
            reads.for_each(|s| s.required_position = s.required_position.max(commit));
        }
    }

    /// Bounds and shares on the evidence of this driver's own traffic.
    fn learn_health(&mut self, run: &InFlightExecution, end: &ExecutionEnd) {
        let (now, m, w) = (self.now, run.member, run.workload);
        let sparse = self.has_few_samples();
        let f = &mut self.members;
        f.in_flight[m] = f.in_flight[m].saturating_sub(1);
        self.changed.insert(f.group[m]);
        self.touched.push(m);
        let answered = matches!(end.outcome, Completed | NotEligible | Errored | Rejected);
        if answered {
            self.zones.hear(f.zone[m], now);
            (f.oldest_unanswered[m], f.ejected[m], f.unresponsive_until[m]) = (now, false, Timestamp(0));
        } else if end.outcome != NotSent {
            f.connections[m] = f.connections[m].saturating_sub(1);
        }
        let typical = &mut self.typical[w];
        let slo_time = self.settings.workloads[w].slo_time;
        if run.new_connection && matches!(end.outcome, NoConnection | Completed) {
            let failed = f64::from(u8::from(end.outcome == NoConnection));
            let cost = (end.latency - *typical).ratio(slo_time).max(failed).min(1.0);
            self.setup += NEWEST * (cost - self.setup);
        }
        if end.outcome == Completed {
            *typical = *typical * (1.0 - NEWEST / 3.0) + end.latency * (NEWEST / 3.0);
            self.borne.add(now, *typical, self.settings.overload_window);
        }
        // Dead, cut off or out of connections: a probe tells when that is over.
        if f.connections[m] == 0 && matches!(end.outcome, NoConnection | ConnectionLost) {
            return self.shun(m);
        }
        let took = end.latency.ratio(slo_time).min(LATE_COUNTS);
        let timed = self.stalled_at < now && matches!(end.outcome, Completed | TimedOut | Cancelled);
        f.judge(m, &self.groups[f.group[m]], end.outcome, took, timed, sparse);
        f.bound(m, now, end.outcome == Completed, *typical, sparse);
    }

    /// What becomes of a statement whose execution ended without settling it.
    fn on_attempt_failed(&mut self, end: &ExecutionEnd, run: &InFlightExecution) {
        let held = self.stmts.get_mut(&end.statement);
        let Some(s) = held else { return };
        if !definitely_not_executed(end.outcome) {
            s.indeterminate = s.indeterminate.or(Some((run.dispatched_at, run.member)));
        }
        let out_of = s.attempts >= self.settings.max_executions;
        if !self.may_run_again(end.statement) || out_of {
            return self.finish(end.statement);
        }
        let s = self.stmts.get_mut(&end.statement).expect("seen above");
        s.excluded_members.push(run.member);
        // Else failures that all share would have each statement executed everywhere.
        s.admission_threshold = if end.outcome == NotEligible {
            s.admission_threshold
        } else {
            s.admission_threshold.sqrt()
        };
        let all_tried = self.groups[s.group]
            .members
            .iter()
            .all(|m| s.excluded_members.contains(m));
        let half_used = s.attempts * 2 >= self.settings.max_executions;
        let seeks = self.settings.needs_primary(s.workload);
        let missed = seeks && end.outcome == NotEligible;
        if missed {
            self.groups[s.group].depose(run.member);
        }
        if all_tried || (seeks && (half_used || !missed)) {
            s.backoff_until = self.now + if missed { HOLD } else { RETRY };
            s.excluded_members.clear();
        }
        self.queue(end.statement);
    }

    /// Whether it may go out, once more or after another driver's time.
    fn may_run_again(&mut self, id: u32) -> bool {
        let Some(s) = self.stmts.get_mut(&id) else {
            return false;
        };
        let w = &self.settings.workloads[s.workload];
        match w.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => s.indeterminate.is_none(),
            RetrySafety::Deduplicated => {
                s.dispatch_deadline = s.indeterminate.map_or(s.dispatch_deadline, |(sent, _)| {
                    sent + w.deduplication_window * SURELY
                });
                self.now < s.dispatch_deadline
            }
        }
    }

    /// Every statement has its final answer before the client's time is up, whatever else happens.
    fn answer_in_time(&mut self) -> bool {
        let due = self.due.ready(self.now);
        let over = due.filter(|id| self.stmts[id].answer_deadline <= self.now);
        over.inspect(|id| self.finish(*id)).is_some()
    }

    /// Work on an answer that earns nothing any more takes room from others, and so does waiting for one that
    /// cannot come in time.
    fn give_up_the_worthless(&mut self) -> bool {
        let over = self.due.ready(self.now).filter(|id| {
            let s = &self.stmts[id];
            let w = &self.settings.workloads[s.workload];
            let waiting = s.queue_priority.is_some();
            let crowded = waiting || self.groups[s.group].queued().next().is_some();
            let readily = w.retry_safety == RetrySafety::Idempotent && crowded;
            let hopeless = self.now >= self.last_chance(s) && (w.late_share == 0.0 || readily);
            let until = if s.attempts == 0 {
                s.unsent_deadline
            } else {
                s.dispatch_deadline
            };
            hopeless || (waiting && self.now >= until)
        });
        over.inspect(|id| self.finish(*id)).is_some()
    }

    /// Behind a cut each member is met too rarely to be found out alone: what is silent may be the zone.
    fn is_quiet(&self, m: usize) -> bool {
        self.is_left(m) || self.has_few_samples() && self.members.unresponsive_until[m] > self.now
    }

    /// Its zone is.
    fn is_left(&self, m: usize) -> bool {
        let (of, zones, longest) = (&self.members.zone, &self.zones, self.longest_typical_latency());
        let out = self.running.values().filter(|r| of[r.member] == of[m]);
        self.has_few_samples() && zones.is_silent(of[m], &mut out.map(|r| r.dispatched_at), self.now, longest)
    }

    /// What is late in a silent zone is called off where another one's replica can still answer in time.
    fn leave_silent_zones(&mut self) -> bool {
        let late = fleet_share::late_since(self.now, self.longest_typical_latency());
        let leaves = |(&(id, _), r): (&(u32, u8), &InFlightExecution)| {
            let may = self.settings.workloads[r.workload].retry_safety == RetrySafety::Idempotent
                && !r.is_cancelled;
            let s = self.stmts.get(&id)?;
            let more = s.attempts < self.settings.max_executions;
            let hope = r.dispatched_at < late && self.now < self.last_chance(s);
            let g = &self.groups[s.group];
            let other = |m: &usize| Some(*m) != g.primary && self.fits(*m, s) && !self.is_quiet(*m);
            let leaves = may && more && hope && Some(r.member) != g.primary && self.is_quiet(r.member);
            (leaves && g.members.iter().any(other)).then_some((id, r.member))
        };
        let acts = self.settings.cancel_allowed && self.has_few_samples();
        let found = acts.then(|| self.running.iter().find_map(leaves)).flatten();
        let zone = found
            .filter(|(_, m)| self.is_left(*m))
            .map(|(_, m)| self.members.zone[m]);
        zone.inspect(|z| self.zones.leave(*z, self.now));
        found.inspect(|(id, _)| self.call_off(*id)).is_some()
    }

    /// A due time that ended nothing: a hold is over, or the statement's rank has changed.
    fn release_held(&mut self) -> bool {
        self.due.ready(self.now).inspect(|id| self.queue(*id)).is_some()
    }

    /// Passing over all members instead would cost each input the more, the larger the fleet.
    fn plan_touched(&mut self) -> bool {
        let Some(m) = self.touched.pop() else { return false };
        let f = &self.members;
        let ahead = |at: Timestamp| Some(at).filter(|at| *at > self.now);
        let times = [
            f.overdue_at(m, self.longest_typical_latency())
                .filter(|_| !f.ejected[m]),
            self.probe_due(m),
            ahead(self.cold_until(m)),
        ];
        let next = times.into_iter().flatten().min();
        self.watch.put(m, f.next_check_at[m], next);
        self.members.next_check_at[m] = next.unwrap_or_default();
        true
    }

    /// A member that owes answers and gives none loses its turns, whatever ails it: a hang, a cut link, an
    /// unlisted death. A lone long statement may be taken for that; the probe that follows soon undoes it.
    fn look_at_members(&mut self) -> bool {
        let ready = self.watch.ready(self.now);
        let Some(m) = ready else { return false };
        let overdue_at = self.members.overdue_at(m, self.longest_typical_latency());
        if !self.members.ejected[m] && overdue_at.is_some_and(|at| at <= self.now) {
            self.shun(m);
        }
        if self.probe_due(m).is_some_and(|at| at <= self.now) {
            self.members.health_check_at[m] = self.now + self.fleet.probe_gap();
            self.results.health_checks.push(self.members.id[m]);
        }
        self.changed.insert(self.members.group[m]);
        self.touched.push(m);
        true
    }

    /// The most important waiting statement, for the work it takes, that has somewhere to go.
    fn place_waiting(&mut self) -> bool {
        while let Some(g) = self.changed.pop_first() {
            self.groups[g].needs_primary = false;
            for (first, w) in self.groups[g].fronts() {
                let mut next = Some(first);
                while let Some(rank) = next {
                    next = self.groups[g].behind(w, rank);
                    let id = rank.2;
                    let s = &self.stmts[&id];
                    let alike = s.excluded_members.is_empty() && s.required_position == Timestamp(0);
                    let held = s.backoff_until > self.now;
                    let nameless = self.groups[g].primary.is_none();
                    self.groups[g].needs_primary |= held && nameless;
                    if held {
                        continue;
                    }
                    if let Some(m) = self.home(id) {
                        self.send(id, m);
                        self.changed.insert(g);
                        return true;
                    }
                    if self.excess(&self.stmts[&id]) {
                        self.finish(id);
                        continue;
                    }
                    // Others of its kind need not look then: a surge must not make each input dear.
                    if alike && (!nameless || self.stmts[&id].backoff_until <= self.now) {
                        break;
                    }
                }
            }
            if self.groups[g].needs_primary {
                self.touched.extend(&self.groups[g].members);
            }
        }
        !self.touched.is_empty()
    }

    fn ask_for_list(&mut self) -> bool {
        let due = self.ask_at.take_if(|at| *at <= self.now).is_some();
        self.results.poll_endpoint_list |= due;
        due
    }

    fn run_rules(&mut self) -> Actions {
        while RULES.iter().any(|rule| rule(self)) {}
        let times = [self.due.first_at(), self.watch.first_at(), self.ask_at];
        let wake = times.into_iter().flatten().min();
        (self.planned, self.results.wake_up_at) = (wake, wake);
        std::mem::take(&mut self.results)
    }

    fn home(&mut self, id: u32) -> Option<usize> {
        let s = &self.stmts[&id];
        let (g, w) = (s.group, s.workload);
        let parted = self.fleet.parts_replicas() && self.has_few_samples();
        if parted {
            self.groups.arrange(g, &self.members, &self.firsts);
        }
        let primary = self.groups[g].primary;
        let fit = primary.filter(|p| self.fits(*p, s));
        if self.settings.needs_primary(w) {
            let found = fit.filter(|p| self.has_room(*p));
            self.groups[g].needs_primary |= fit.is_none();
            return if primary.is_none() { self.guess(id) } else { found };
        }
        let fits = |m: usize| Some(m) != primary && self.fits(m, s);
        let takes = |m: usize| fits(m) && self.has_room(m) && self.let_in(m, s);
        let ready = self.groups[g].by_turn(|m| fits(m) && self.covers(m, s)).is_some();
        // Departure: while new connections are dear, first a turn over the replicas that one stands to.
        let spared = |m| self.setup > DEAR && self.connected(m) && self.covers(m, s) && takes(m);
        let quiet = |m: usize, minds: bool| minds && self.is_quiet(m);
        let turn = |minds| self.groups[g].by_turn(|m| self.covers(m, s) && takes(m) && !quiet(m, minds));
        // Departure: in large fleets a driver stays with its own replica, unless others let in clearly more.
        let could = |m: usize| fits(m) && self.covers(m, s) && self.has_room(m) && !quiet(m, true);
        let own =
            || self.groups[g].by_order(could, &self.members.admission_share, s.admission_threshold, LOYAL);
        let by_turn = parted
            .then(own)
            .flatten()
            .or_else(|| self.groups[g].by_turn(spared));
        let by_turn = by_turn.or_else(|| turn(true)).or_else(|| turn(false));
        // Departure: where all ready replicas are full, the primary takes reads too; with half of its bound
        // where a driver fills that alone, or its own work would find no place.
        let f = &self.members;
        let kept = |p: usize| {
            ready && !self.has_few_samples() && f.in_flight[p] as f64 >= f.concurrency_limit[p] / 2.0
        };
        let spills = |p: &usize| self.has_room(*p) && self.let_in(*p, s) && !kept(*p);
        let spilled = fit.filter(|p| by_turn.is_none() && spills(p));
        // Departure: before a read goes without, a replica whose lag was last heard of long ago may be tried.
        let unsure = |m: usize| f.status_at[m].is_none_or(|at| self.now - at > OVERDUE);
        let tried = || self.groups[g].by_turn(|m| self.is_checked(s) && unsure(m) && takes(m));
        let by_turn = by_turn.or_else(|| spilled.is_none().then(tried).flatten());
        let g = &mut self.groups[g];
        if !ready {
            let lacked = std::mem::replace(&mut g.no_ready_replica_until, self.now + OVERDUE) > self.now;
            self.touched.extend(g.members.iter().filter(|_| !lacked));
        }
        g.needs_primary |= fit.is_none() && by_turn.is_none();
        g.round_robin_index = by_turn.unwrap_or(g.round_robin_index);
        by_turn.map(|at| g.members[at]).or(spilled)
    }

    /// Where a write goes while no primary is named: after a miss or its hold to the next member, but never
    /// with the second half of its executions, which are kept for the primary.
    fn guess(&mut self, id: u32) -> Option<usize> {
        let s = &self.stmts[&id];
        let g = s.group;
        let moved = s.attempts > 0 || s.backoff_until > Timestamp(0);
        let may = s.attempts * 2 < self.settings.max_executions;
        let fit = |m: &usize| self.fits(*m, s) && self.has_room(*m);
        let next = self.groups[g].members.iter().copied().find(fit);
        if moved && may && next.is_some() {
            return next;
        }
        let s = self.stmts.get_mut(&id).expect("waiting");
        s.backoff_until = self.now + HOLD;
        self.plan(id);
        None
    }

    pub fn has_few_samples(&self) -> bool {
        self.borne.entries.len() < SPARSE * self.members.index.len()
    }

    /// Many drivers that each hear little would else crowd a member together. What is worth little for its
    /// work is left out first, reads that spill before writes. Slow members and links meet it too.
    fn let_in(&self, m: usize, s: &StatementState) -> bool {
        let spilled = self.groups[s.group].primary == Some(m) && !self.settings.needs_primary(s.workload);
        let bar = if spilled {
            s.admission_threshold.sqrt()
        } else {
            s.admission_threshold
        };
        bar <= self.members.admission_share[m]
    }

    /// None of the members that such statements go to lets it in.
    fn excess(&self, s: &StatementState) -> bool {
        let (g, writes) = (&self.groups[s.group], self.settings.needs_primary(s.workload));
        let takes = |m: &usize| (!writes || g.primary == Some(*m)) && self.may_send(*m) && self.let_in(*m, s);
        g.primary.is_some() && !g.members.iter().any(takes)
    }

    fn may_send(&self, m: usize) -> bool {
        let (f, advice) = (&self.members, self.settings.gone_is_advice);
        // Where the list doesn't prove what is up, only a listed drain binds.
        f.state[m] == MemberState::Ready || (f.state[m] == MemberState::Gone && advice && !f.drained[m])
    }

    /// Whether the known position proves it ready. Where members check reads themselves, the lag last seen is
    /// carried forward: a wrong guess costs a miss, which corrects it, while waiting for proof would push out
    /// current replicas that have not spoken for a while.
    fn covers(&self, m: usize, s: &StatementState) -> bool {
        let need = match self.settings.workloads[s.workload].freshness {
            Freshness::Bounded(bound) => self.now - bound,
            Freshness::Session if self.writes(s.session) => return false,
            Freshness::Session => s.required_position,
            Freshness::Any => return true,
            Freshness::Fresh | Freshness::Write => return false,
        };
        let f = &self.members;
        f.position[m] >= need
            || (self.is_checked(s) && f.status_at[m].is_none_or(|at| self.now - (at - f.position[m]) >= need))
    }

    /// A write of this session is out, and may have committed though its answer is late or lost.
    fn writes(&self, session: u64) -> bool {
        let write = |r: &InFlightExecution| self.settings.workloads[r.workload].freshness == Freshness::Write;
        let mut out = self
            .running
            .values()
            .filter(|r| r.session == session && !r.is_connecting);
        !self.settings.session_age_carried && session > 0 && out.any(write)
    }

    /// A member can check only what it is told: what a session has written, only where statements carry that.
    fn is_checked(&self, s: &StatementState) -> bool {
        let told = self.settings.workloads[s.workload].freshness != Freshness::Session;
        self.settings.members_check_reads && (told || self.settings.session_age_carried)
    }

    /// Not where it failed before, nor outside the zone that drops its repeats once it may have run.
    fn fits(&self, m: usize, s: &StatementState) -> bool {
        let zone = &self.members.zone;
        let zoned = self.settings.workloads[s.workload].deduplication_scope == DeduplicationScope::Zone;
        let kept = s.indeterminate.is_none_or(|(_, first)| zone[first] == zone[m]);
        !s.excluded_members.contains(&m) && self.may_send(m) && !self.members.ejected[m] && (kept || !zoned)
    }

    fn has_room(&self, m: usize) -> bool {
        let f = &self.members;
        let spared =
            self.setup > DEAR && !self.connected(m) && f.connections[m] > 0 && self.has_few_samples();
        let cold = self.cold_until(m);
        let kept = self.yields && cold > Timestamp(0);
        // Who leaves has no newcomers: the one beside it, always full, would else hold what is left here up.
        let last = self.yields && f.in_flight[m] == 0;
        let out = f.in_flight[m] + if last { 0 } else { f.peer_in_flight[m] };
        (out as f64) < f.concurrency_limit[m] && cold <= self.now && !spared && !kept
    }

    fn connected(&self, m: usize) -> bool {
        self.members
            .connected(m, self.now, self.settings.idle_connection_timeout)
    }

    fn warmth(&self, m: usize) -> f64 {
        self.members.warmth(m, self.now, &self.settings)
    }

    /// What a warm member of this one's size carries for this driver on the mean, in parts of a core.
    fn carried(&self, m: usize) -> f64 {
        let share = self.members.capacity[m] / self.warm_size.max(0.01);
        let carried = self.borne.total.ratio(self.settings.overload_window) * share.min(1.0);
        self.fleet.cold_carried(carried)
    }

    /// Until when a cold member gets nothing.
    fn cold_until(&self, m: usize) -> Timestamp {
        let (f, warmth) = (&self.members, self.warmth(m));
        if warmth >= 1.0 {
            return Timestamp(0);
        }
        let proves = !self.has_few_samples() && f.latency_ratio[m] < GOOD_PACE;
        let used = self.fleet.cold_multiple(self.settings.overload_multiple, proves);
        f.cold_until(m, self.now, self.carried(m) * warmth * used)
    }

    pub fn longest_typical_latency(&self) -> TimeSpan {
        self.typical.iter().copied().max().unwrap_or(OVERDUE)
    }

    fn probe_due(&self, m: usize) -> Option<Timestamp> {
        let f = &self.members;
        let g = &self.groups[f.group[m]];
        let greets = self.fleet.greets(self.settings.members_check_reads);
        let unknown = greets && f.status_at[m].is_none() && !f.reported_replica[m];
        let wanted = unknown || f.ejected[m] || g.needs_primary;
        // An ageing position needs a way back: answers give it, a probe where none come.
        let ageing =
            !self.settings.members_check_reads && g.no_ready_replica_until > self.now && Some(m) != g.primary;
        let aged_at = f.health_check_at[m].max(f.status_at[m].unwrap_or_default() + OVERDUE);
        let at = wanted
            .then_some(f.health_check_at[m])
            .or(ageing.then_some(aged_at));
        at.filter(|_| self.settings.health_checks_allowed && self.may_send(m))
    }

    /// The last moment at which an answer could still come within the SLO time.
    fn last_chance(&self, s: &StatementState) -> Timestamp {
        let margin = if s.queue_priority.is_some() { 2.0 } else { 0.0 };
        s.slo_deadline - self.typical[s.workload] * margin
    }

    fn runs(&self, id: u32) -> impl Iterator<Item = &InFlightExecution> {
        self.running.range((id, 0)..=(id, u8::MAX)).map(|(_, run)| run)
    }

    /// While this driver was held up itself no member owed it anything, and what comes then says little.
    fn set_now(&mut self, now: Timestamp) {
        if now - self.planned.unwrap_or(now) > STALL {
            self.members.oldest_unanswered.fill(now);
            self.stalled_at = now;
        }
        self.now = now;
    }

    fn shun(&mut self, m: usize) {
        let f = &mut self.members;
        (f.ejected[m], f.concurrency_limit[m], f.health_check_at[m]) = (true, 1.0, self.now);
        self.changed.insert(f.group[m]);
        self.touched.push(m);
    }

    /// Gives a waiting statement its place in the queue; one that is out is only looked at again later.
    fn queue(&mut self, id: u32) {
        if self.runs(id).next().is_some() {
            return self.plan(id);
        }
        let s = self.stmts.get_mut(&id).expect("queued only while held");
        let late_share = self.settings.workloads[s.workload].late_share;
        let late = if self.now >= s.slo_deadline {
            late_share
        } else {
            1.0
        };
        let work = s.expected_work.unwrap_or(self.typical[s.workload]);
        let density = s.importance * late / work.0.max(1) as f64;
        let g = &mut self.groups[s.group];
        g.leave(s.workload, s.queue_priority.take());
        let rank = ((1.0 / density.max(1e-12)) as u64, s.accepted_at, id);
        g.join(s.workload, rank);
        s.queue_priority = Some(rank);
        self.changed.insert(s.group);
        self.plan(id);
    }

    /// Sets when the statement is to be looked at next.
    fn plan(&mut self, id: u32) {
        let s = &self.stmts[&id];
        let times = [
            self.last_chance(s),
            s.slo_deadline,
            s.backoff_until,
            s.dispatch_deadline,
        ];
        let ahead = times
            .into_iter()
            .chain([s.unsent_deadline])
            .filter(|at| *at > self.now);
        let next = ahead.fold(s.answer_deadline, Timestamp::min);
        let due = &mut self.stmts.get_mut(&id).expect("seen above").next_check_at;
        self.due.put(id, std::mem::replace(due, next), Some(next));
    }

    fn send(&mut self, id: u32, m: usize) {
        let new_connection = !self.connected(m);
        let s = self.stmts.get_mut(&id).expect("placed only while held");
        self.groups[s.group].leave(s.workload, s.queue_priority.take());
        let run = InFlightExecution::new(m, s, self.now, new_connection);
        self.running.insert((id, s.attempts as u8), run);
        s.attempts += 1;
        let f = &mut self.members;
        if f.in_flight[m] == 0 {
            f.oldest_unanswered[m] = self.now;
        }
        f.in_flight[m] += 1;
        if new_connection {
            f.connections[m] = f.in_flight[m];
        }
        (f.last_used_at[m], f.warm_up_debt_at[m]) = (self.now, self.now);
        f.owe(m, s.expected_work.unwrap_or(self.typical[s.workload]));
        self.touched.push(m);
        let (member, until) = (f.id[m], s.answer_deadline);
        self.results.executions.push(Execution {
            statement: id,
            member,
            deadline: until,
        });
        self.plan(id);
    }

    /// The final answer: a rejection where trying again is known to be harmless, else an abort.
    fn finish(&mut self, id: u32) {
        let Some(s) = self.stmts.get(&id) else { return };
        let w = &self.settings.workloads[s.workload];
        let left = self.runs(id).any(|r| !r.is_connecting);
        let harmless = w.is_client_retry_safe() || s.indeterminate.is_none() && !left;
        // A repeat that may still count should come at once; any other only adds to the load.
        let worthwhile = self.now + self.typical[s.workload] < s.slo_deadline;
        let hold_off = self.settings.max_retry_after * if worthwhile { 0.0 } else { 1.0 };
        self.call_off(id);
        let rejected = Answer::Rejected {
            statement: id,
            retry_after: hold_off,
        };
        let aborted = Answer::Aborted { statement: id };
        let answer = if harmless { rejected } else { aborted };
        self.results.answers.push(answer);
        self.forget(id);
    }

    /// Work for a client that no longer waits is only in the way of others. What has not left may stay here.
    fn call_off(&mut self, id: u32) {
        let allowed = self.settings.cancel_allowed;
        for (&(stmt, number), run) in self.running.range_mut((id, 0)..=(id, u8::MAX)) {
            if (allowed || run.is_connecting) && !std::mem::replace(&mut run.is_cancelled, true) {
                self.results.cancellations.push(Cancellation {
                    statement: stmt,
                    attempt: number,
                });
            }
        }
    }

    fn forget(&mut self, id: u32) {
        let Some(s) = self.stmts.remove(&id) else { return };
        self.due.put(id, s.next_check_at, None);
        self.groups[s.group].leave(s.workload, s.queue_priority);
    }
}
