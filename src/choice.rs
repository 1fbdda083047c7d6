//! Every decision of asterlatch. A host makes one `Driver` per instance, calls one method per input and
//! carries out the `Results`; the types on both sides stand in `src/interface.rs`, clock types in
//! `src/time.rs`, what a driver remembers in `src/state.rs`. After each input the `RULES` are gone through in
//! order, again and again, until none fires.

mod views;

use crate::fleet::{self, Fleet, Zones};
use crate::health::{DEAR, GOOD_PACE, LATE_COUNTS, NEWEST, OVERDUE, OVERDUE_PACES};
use crate::interface::Ending::*;
use crate::interface::*;
use crate::state::*;
use crate::subset::Firsts;
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

const RULES: [fn(&mut Driver) -> bool; 8] = [
    Driver::answer_in_time,
    Driver::give_up_the_worthless,
    Driver::release_held,
    Driver::leave_silent_zones,
    Driver::plan_touched,
    Driver::look_at_members,
    Driver::place_waiting,
    Driver::ask_for_list,
];

/// Written out it is what was learned: statements and their executions stay with the process that took them.
#[derive(Default, Serialize, Deserialize)]
pub struct Driver {
    #[serde(skip)]
    settings: Settings,
    #[serde(skip)]
    fleet: Fleet,
    #[serde(skip)]
    firsts: Firsts,
    now: Timestamp,
    chance: Chance,
    /// Smoothed time that an answer takes, by workload.
    typical: Vec<TimeSpan>,
    zones: Zones,
    /// How long clients wait for first tries, by workload.
    first_left: Vec<TimeSpan>,
    members: Members,
    groups: Groups,
    #[serde(skip)]
    stmts: BTreeMap<u32, Stmt>,
    #[serde(skip)]
    running: BTreeMap<(u32, u8), Running>,
    #[serde(skip)]
    due: Agenda<u32>,
    /// When each member is to be looked at next, and those for which that may have come nearer.
    watch: Agenda<usize>,
    #[serde(skip)]
    touched: Vec<usize>,
    /// Groups in which a waiting statement may find a place now.
    #[serde(skip)]
    changed: BTreeSet<usize>,
    sessions: Sessions,
    quotas: Quotas,
    /// Work of latest answers, and the warm members' size that bore it.
    borne: Window,
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
    results: Results,
}

/// The proof table: endings after which the statement is known not to have run.
pub fn never_ran(ending: Ending) -> bool {
    matches!(ending, TurnedAway | NoConnection | NeverSent | Missed)
}

impl Driver {
    pub fn new(settings: &Settings, seed: u64, now: Timestamp) -> Driver {
        Driver {
            typical: settings.workloads.iter().map(|w| w.slo_time * 0.2).collect(),
            first_left: vec![TimeSpan(0); settings.workloads.len()],
            chance: Chance { seed, drawn: 0 },
            ask_at: settings.list_on_request.then_some(now),
            settings: settings.clone(),
            fleet: Fleet::of(settings.driver_count),
            firsts: Firsts::alone(seed),
            ..Driver::default()
        }
    }

    pub fn statement_taken(&mut self, now: Timestamp, s: &Statement) -> Results {
        self.hear(now);
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
        let work = s.work.unwrap_or(self.typical[s.workload]);
        // Little time left makes an answer unlikely, and its work in vain.
        let hope = s.left.ratio(self.typical[s.workload] * 2.0).min(1.0);
        let density = w.importance * share * hope / work.0.max(1) as f64;
        self.best_density = density.max(self.best_density * 0.999);
        let token = match w.freshness {
            Freshness::Session if self.settings.session_age_carried => {
                s.written_ago.map_or(Timestamp(0), |ago| now - ago)
            }
            Freshness::Session => self.sessions.known(s.session),
            _ => Timestamp(0),
        };
        // A repeat's SLO time began with its first try: what it has less to wait than those do has passed.
        if !s.repeat {
            self.first_left[s.workload] = s.left;
        }
        let passed = self.first_left[s.workload] - s.left;
        let stmt = Stmt {
            workload: s.workload,
            group,
            session: s.session,
            token,
            work: s.work,
            importance: w.importance * share,
            taken: now,
            bar: self.chance.draw().powf((density / self.best_density).max(0.1)),
            slo_at: now + (w.slo_time - slack - passed),
            answer_by: now + (s.left - slack),
            send_by: now + s.left,
            unsent_by: now + s.left * UNSENT,
            doubt: s
                .doubted
                .map(|(ago, m)| (now - ago, self.members.index.get(&m).copied().unwrap_or(0))),
            ..Stmt::default()
        };
        self.stmts.insert(s.id, stmt);
        if self.may_run_again(s.id) {
            self.queue(s.id);
        } else {
            self.finish(s.id);
        }
        self.settle()
    }

    pub fn statement_withdrawn(&mut self, now: Timestamp, stmt: u32) -> Results {
        self.hear(now);
        self.call_off(stmt);
        self.forget(stmt);
        self.settle()
    }

    pub fn execution_ended(&mut self, now: Timestamp, end: &ExecutionEnd) -> Results {
        self.hear(now);
        if let Some(run) = self.running.remove(&(end.stmt, end.number)) {
            (!run.lost).then(|| self.learn_health(&run, end));
            self.learn_sighting(run.member, end.took, TimeSpan(0), end.sighting);
            self.learn_commit(&run, end);
            if end.settled {
                self.forget(end.stmt);
            }
            self.go_on(end, &run);
        }
        self.settle()
    }

    /// A connection has to come up first: until `goes_out` nothing of this execution has left.
    pub fn awaits(&mut self, stmt: u32, number: u8) {
        let run = self.running.get_mut(&(stmt, number));
        run.into_iter().for_each(|r| r.awaits = true);
    }

    /// Whether an execution may still go out now that it can; if so it has. What came meanwhile may forbid
    /// it: its end, a drain, the end of the time of its repeats, or a position that covers it no more.
    pub fn goes_out(&mut self, now: Timestamp, stmt: u32, number: u8) -> bool {
        self.now = now;
        let run = self.running.get(&(stmt, number)).filter(|r| !r.called_off);
        let Some((m, s)) = run.map(|r| r.member).zip(self.stmts.get(&stmt)) else {
            return false;
        };
        let primary = self.groups[s.group].primary == Some(m) || self.settings.needs_primary(s.workload);
        let ready = primary || self.is_checked(s) || self.covers(m, s);
        let goes = ready && self.may_send(m) && now < s.send_by.min(s.answer_by);
        let run = self.running.get_mut(&(stmt, number)).expect("seen above");
        if goes {
            (run.awaits, run.sent) = (false, now);
        }
        goes
    }

    /// Whether an answer may go to the client: not one that itself shows older data than the read allowed
    /// when it was sent. A primary that was held up and deposed meanwhile answers what lay there.
    pub fn accepts(&self, stmt: u32, number: u8, s: Sighting) -> bool {
        let Some(run) = self.running.get(&(stmt, number)) else {
            return true;
        };
        let need = match self.settings.workloads[run.workload].freshness {
            Freshness::Bounded(bound) => run.sent - bound,
            Freshness::Session => self.stmts.get(&stmt).map_or(Timestamp(0), |s| s.token),
            Freshness::Any | Freshness::Fresh | Freshness::Write => Timestamp(0),
        };
        s.position.is_none_or(|p| p >= need)
    }

    pub fn probe_answered(
        &mut self,
        now: Timestamp,
        member: u32,
        ok: bool,
        took: TimeSpan,
        s: Sighting,
    ) -> Results {
        self.hear(now);
        let before = now - self.longest_typical() * OVERDUE_PACES;
        if let Some(&m) = self.members.index.get(&member) {
            let f = &mut self.members;
            self.changed.insert(f.group[m]);
            self.touched.push(m);
            if ok {
                f.owes_since[m] = now;
                // It lives: what it owed all the while is lost on its way or stuck, and keeps no room.
                if std::mem::take(&mut f.shunned[m]) {
                    let runs = self.running.values_mut();
                    let lost = runs.fold(0, |n, r| n + usize::from(r.lose(m, before)));
                    (f.open[m], f.connections[m]) = (f.open[m] - lost, f.connections[m].saturating_sub(lost));
                }
                self.learn_sighting(m, took, TimeSpan(0), s);
            }
        }
        self.settle()
    }

    pub fn members_told(&mut self, now: Timestamp, entries: &[MemberEntry], whole: bool) -> Results {
        self.hear(now);
        if whole {
            self.members.standing.fill(Standing::Gone);
        }
        entries.iter().for_each(|e| self.learn_entry(e));
        let owing = self.running.values().map(|r| r.member);
        let meant: BTreeSet<_> = self.stmts.values().flat_map(Stmt::members).chain(owing).collect();
        let all = self.members.index.values().copied();
        let (up, down): (Vec<_>, Vec<_>) = all.partition(|m| self.may_send(*m));
        self.warm_size = up.iter().map(|m| self.members.size[*m] * self.warmth(*m)).sum();
        for m in down {
            let waits = self
                .running
                .iter_mut()
                .filter(|(_, r)| r.member == m && r.awaits && !r.called_off);
            for (&(stmt, number), run) in waits {
                run.called_off = true;
                self.results.cancellations.push(Cancellation { stmt, number });
            }
            let g = &mut self.groups[self.members.group[m]];
            let f = &mut self.members;
            g.depose(m);
            // A long day of ever new members would fill memory and turns; what is open may mean one still.
            if f.standing[m] == Standing::Gone && !meant.contains(&m) {
                g.members.retain(|n| *n != m);
                self.watch.put(m, f.watch_at[m], None);
                self.results.let_go.push(f.let_go(m));
            }
        }
        self.changed.extend(0..self.groups.all.len());
        self.touched.extend(self.members.index.values());
        self.settle()
    }

    /// The call for the list failed or the subscription broke; whether one stands is not known, so ask again.
    pub fn list_failed(&mut self, now: Timestamp) -> Results {
        self.hear(now);
        let most = self.settings.list_ask_within * ASK_SHARE;
        let (before, until) = self.asks_failed;
        let in_a_row = if now < until { before + 1 } else { 0 };
        self.asks_failed = (in_a_row, now + most * 2.0);
        let gap = most * (ASK_FIRST * 2f64.powi(in_a_row)).min(1.0) * (0.5 + self.chance.draw());
        self.ask_at = self.settings.list_on_request.then_some(now + gap);
        self.settle()
    }

    pub fn time_reached(&mut self, now: Timestamp) -> Results {
        self.hear(now);
        self.settle()
    }

    fn learn_entry(&mut self, e: &MemberEntry) {
        let (group, longest) = (self.groups.at(e.group), self.longest_typical());
        let f = &mut self.members;
        let (m, known) = f.place(e.id);
        if !known {
            f.group[m] = group;
            f.pace[m] = GOOD_PACE / 2.0;
            self.groups[group].members.push(m);
        }
        if !known || e.started > f.started[m] {
            // It may be cold, and is no longer primary whatever it was.
            f.started[m] = e.started;
            f.limit[m] = self.fleet.first_limit();
            (f.shunned[m], f.drained[m]) = (false, false);
            (f.probe_at[m], f.debt_at[m]) = (self.now, self.now);
            // Drivers that hear of it together must not send to it together.
            f.debt[m] = longest * self.chance.draw();
            self.groups[group].depose(m);
        }
        (f.standing[m], f.zone[m], f.size[m], f.key[m]) = (e.standing, e.zone, e.size, e.key);
        f.drained[m] |= e.standing == Standing::Draining;
        let g = &mut self.groups[group];
        let named = e.named_primary && !f.said_replica[m];
        g.primary = g.primary.or(named.then_some(m));
    }

    /// Newest evidence wins by the position it was given at, not by when it arrived: a primary stands at the
    /// present, so one that spoke as primary at a later position has taken over since.
    fn learn_sighting(&mut self, m: usize, took: TimeSpan, ago: TimeSpan, s: Sighting) {
        let f = &mut self.members;
        let g = &mut self.groups[f.group[m]];
        // Told by itself it is news whatever it says; told by others only where it says more.
        if let Some(position) = s.position.filter(|p| ago == TimeSpan(0) || *p > f.position[m]) {
            (f.position[m], f.told_at[m]) = (f.position[m].max(position), Some(self.now - ago));
        }
        let at = s.position.unwrap_or(self.now - took);
        if s.is_primary == Some(true) && at >= g.primary_at {
            f.said_replica[m] = false;
            g.primary_at = at;
            if g.primary.replace(m) != Some(m) {
                for (_, _, id) in g.queued() {
                    let held = self.stmts.get_mut(id).expect("waiting");
                    held.hold_until = Timestamp(0);
                    held.avoid.clear();
                }
            }
        } else if s.is_primary == Some(false) && (g.primary != Some(m) || at >= g.primary_at) {
            f.said_replica[m] = true;
            g.depose(m);
        }
    }

    fn learn_commit(&mut self, run: &Running, end: &ExecutionEnd) {
        let write = self.settings.workloads[run.workload].freshness == Freshness::Write;
        let done = write && !self.settings.session_age_carried && !never_ran(end.ending);
        if done {
            // A write without a stated commit, or whose answer was lost, is taken to have committed by now.
            let commit = end.sighting.position.unwrap_or(self.now);
            self.sessions.note(run.session, commit, SESSIONS_KEPT);
            // Reads of it that are still here must see it too, for they may go out after this.
            let read = |s: &&mut Stmt| s.session == run.session && s.session > 0;
            let reads = self.stmts.values_mut().filter(read);
            reads.for_each(|s| s.token = s.token.max(commit));
        }
    }

    /// Bounds and shares on the evidence of this driver's own traffic.
    fn learn_health(&mut self, run: &Running, end: &ExecutionEnd) {
        let (now, m, w) = (self.now, run.member, run.workload);
        let sparse = self.sparse();
        let f = &mut self.members;
        f.open[m] = f.open[m].saturating_sub(1);
        self.changed.insert(f.group[m]);
        self.touched.push(m);
        let answered = matches!(end.ending, Completed | Missed | Errored | TurnedAway);
        if answered {
            self.zones.hear(f.zone[m], now);
            (f.owes_since[m], f.shunned[m], f.quiet_until[m]) = (now, false, Timestamp(0));
        } else if end.ending != NeverSent {
            f.connections[m] = f.connections[m].saturating_sub(1);
        }
        let typical = &mut self.typical[w];
        let slo_time = self.settings.workloads[w].slo_time;
        if run.new_connection && matches!(end.ending, NoConnection | Completed) {
            let failed = f64::from(u8::from(end.ending == NoConnection));
            let cost = (end.took - *typical).ratio(slo_time).max(failed).min(1.0);
            self.setup += NEWEST * (cost - self.setup);
        }
        if end.ending == Completed {
            *typical = *typical * (1.0 - NEWEST / 3.0) + end.took * (NEWEST / 3.0);
            self.borne.add(now, *typical, self.settings.fall_span);
        }
        // Dead, cut off or out of connections: a probe tells when that is over.
        if f.connections[m] == 0 && matches!(end.ending, NoConnection | ConnectionLost) {
            return self.shun(m);
        }
        let took = end.took.ratio(slo_time).min(LATE_COUNTS);
        let timed = self.stalled_at < now && matches!(end.ending, Completed | TimedOut | Cancelled);
        f.judge(m, &self.groups[f.group[m]], end.ending, took, timed, sparse);
        f.bound(m, now, end.ending == Completed, *typical, sparse);
    }

    /// What becomes of a statement whose execution ended without settling it.
    fn go_on(&mut self, end: &ExecutionEnd, run: &Running) {
        let held = self.stmts.get_mut(&end.stmt);
        let Some(s) = held else { return };
        if !never_ran(end.ending) {
            s.doubt = s.doubt.or(Some((run.sent, run.member)));
        }
        let out_of = s.executions >= self.settings.max_executions;
        if !self.may_run_again(end.stmt) || out_of {
            return self.finish(end.stmt);
        }
        let s = self.stmts.get_mut(&end.stmt).expect("seen above");
        s.avoid.push(run.member);
        // Else failures that all share would have each statement executed everywhere.
        s.bar = if end.ending == Missed { s.bar } else { s.bar.sqrt() };
        let all_tried = self.groups[s.group].members.iter().all(|m| s.avoid.contains(m));
        let half_used = s.executions * 2 >= self.settings.max_executions;
        let seeks = self.settings.needs_primary(s.workload);
        let missed = seeks && end.ending == Missed;
        if missed {
            self.groups[s.group].depose(run.member);
        }
        if all_tried || (seeks && (half_used || !missed)) {
            s.hold_until = self.now + if missed { HOLD } else { RETRY };
            s.avoid.clear();
        }
        self.queue(end.stmt);
    }

    /// Whether it may go out, once more or after another driver's time.
    fn may_run_again(&mut self, id: u32) -> bool {
        let Some(s) = self.stmts.get_mut(&id) else {
            return false;
        };
        let w = &self.settings.workloads[s.workload];
        match w.repeat {
            Repeat::Idempotent => true,
            Repeat::NonIdempotent => s.doubt.is_none(),
            Repeat::Deduplicated => {
                s.send_by = s.doubt.map_or(s.send_by, |(sent, _)| sent + w.window * SURELY);
                self.now < s.send_by
            }
        }
    }

    /// Every statement has its final answer before the client's time is up, whatever else happens.
    fn answer_in_time(&mut self) -> bool {
        let due = self.due.ready(self.now);
        let over = due.filter(|id| self.stmts[id].answer_by <= self.now);
        over.inspect(|id| self.finish(*id)).is_some()
    }

    /// Work on an answer that earns nothing any more takes room from others, and so does waiting for one that
    /// cannot come in time.
    fn give_up_the_worthless(&mut self) -> bool {
        let over = self.due.ready(self.now).filter(|id| {
            let s = &self.stmts[id];
            let w = &self.settings.workloads[s.workload];
            let waiting = s.rank.is_some();
            let crowded = waiting || self.groups[s.group].queued().next().is_some();
            let readily = w.repeat == Repeat::Idempotent && crowded;
            let hopeless = self.now >= self.last_chance(s) && (w.late_share == 0.0 || readily);
            let until = if s.executions == 0 { s.unsent_by } else { s.send_by };
            hopeless || (waiting && self.now >= until)
        });
        over.inspect(|id| self.finish(*id)).is_some()
    }

    /// Behind a cut each member is met too rarely to be found out alone: what is silent may be the zone.
    fn is_quiet(&self, m: usize) -> bool {
        self.is_left(m) || self.sparse() && self.members.quiet_until[m] > self.now
    }

    /// Its zone is.
    fn is_left(&self, m: usize) -> bool {
        let (of, zones, longest) = (&self.members.zone, &self.zones, self.longest_typical());
        let out = self.running.values().filter(|r| of[r.member] == of[m]);
        self.sparse() && zones.is_silent(of[m], &mut out.map(|r| r.sent), self.now, longest)
    }

    /// What is late in a silent zone is called off where another one's replica can still answer in time.
    fn leave_silent_zones(&mut self) -> bool {
        let late = fleet::late_since(self.now, self.longest_typical());
        let leaves = |(&(id, _), r): (&(u32, u8), &Running)| {
            let may = self.settings.workloads[r.workload].repeat == Repeat::Idempotent && !r.called_off;
            let s = self.stmts.get(&id)?;
            let more = s.executions < self.settings.max_executions;
            let hope = r.sent < late && self.now < self.last_chance(s);
            let g = &self.groups[s.group];
            let other = |m: &usize| Some(*m) != g.primary && self.fits(*m, s) && !self.is_quiet(*m);
            let leaves = may && more && hope && Some(r.member) != g.primary && self.is_quiet(r.member);
            (leaves && g.members.iter().any(other)).then_some((id, r.member))
        };
        let acts = self.settings.cancel_allowed && self.sparse();
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
            f.overdue_at(m, self.longest_typical()).filter(|_| !f.shunned[m]),
            self.probe_due(m),
            ahead(self.cold_until(m)),
        ];
        let next = times.into_iter().flatten().min();
        self.watch.put(m, f.watch_at[m], next);
        self.members.watch_at[m] = next.unwrap_or_default();
        true
    }

    /// A member that owes answers and gives none loses its turns, whatever ails it: a hang, a cut link, an
    /// unlisted death. A lone long statement may be taken for that; the probe that follows soon undoes it.
    fn look_at_members(&mut self) -> bool {
        let ready = self.watch.ready(self.now);
        let Some(m) = ready else { return false };
        let overdue_at = self.members.overdue_at(m, self.longest_typical());
        if !self.members.shunned[m] && overdue_at.is_some_and(|at| at <= self.now) {
            self.shun(m);
        }
        if self.probe_due(m).is_some_and(|at| at <= self.now) {
            self.members.probe_at[m] = self.now + self.fleet.probe_gap();
            self.results.probes.push(self.members.id[m]);
        }
        self.changed.insert(self.members.group[m]);
        self.touched.push(m);
        true
    }

    /// The most important waiting statement, for the work it takes, that has somewhere to go.
    fn place_waiting(&mut self) -> bool {
        while let Some(g) = self.changed.pop_first() {
            self.groups[g].wants_primary = false;
            for (first, w) in self.groups[g].fronts() {
                let mut next = Some(first);
                while let Some(rank) = next {
                    next = self.groups[g].behind(w, rank);
                    let id = rank.2;
                    let s = &self.stmts[&id];
                    let alike = s.avoid.is_empty() && s.token == Timestamp(0);
                    let held = s.hold_until > self.now;
                    let nameless = self.groups[g].primary.is_none();
                    self.groups[g].wants_primary |= held && nameless;
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
                    if alike && (!nameless || self.stmts[&id].hold_until <= self.now) {
                        break;
                    }
                }
            }
            if self.groups[g].wants_primary {
                self.touched.extend(&self.groups[g].members);
            }
        }
        !self.touched.is_empty()
    }

    fn ask_for_list(&mut self) -> bool {
        let due = self.ask_at.take_if(|at| *at <= self.now).is_some();
        self.results.subscribe |= due;
        due
    }

    fn settle(&mut self) -> Results {
        while RULES.iter().any(|rule| rule(self)) {}
        let times = [self.due.first_at(), self.watch.first_at(), self.ask_at];
        let wake = times.into_iter().flatten().min();
        (self.planned, self.results.wake_up) = (wake, wake);
        std::mem::take(&mut self.results)
    }

    fn home(&mut self, id: u32) -> Option<usize> {
        let s = &self.stmts[&id];
        let (g, w) = (s.group, s.workload);
        let parted = self.fleet.parts_replicas() && self.sparse();
        if parted {
            self.groups.arrange(g, &self.members, &self.firsts);
        }
        let primary = self.groups[g].primary;
        let fit = primary.filter(|p| self.fits(*p, s));
        if self.settings.needs_primary(w) {
            let found = fit.filter(|p| self.has_room(*p));
            self.groups[g].wants_primary |= fit.is_none();
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
        let own = || self.groups[g].by_order(could, &self.members.let_in, s.bar, LOYAL);
        let by_turn = parted
            .then(own)
            .flatten()
            .or_else(|| self.groups[g].by_turn(spared));
        let by_turn = by_turn.or_else(|| turn(true)).or_else(|| turn(false));
        // Departure: where all ready replicas are full, the primary takes reads too; with half of its bound
        // where a driver fills that alone, or its own work would find no place.
        let f = &self.members;
        let kept = |p: usize| ready && !self.sparse() && f.open[p] as f64 >= f.limit[p] / 2.0;
        let spills = |p: &usize| self.has_room(*p) && self.let_in(*p, s) && !kept(*p);
        let spilled = fit.filter(|p| by_turn.is_none() && spills(p));
        // Departure: before a read goes without, a replica whose lag was last heard of long ago may be tried.
        let unsure = |m: usize| f.told_at[m].is_none_or(|at| self.now - at > OVERDUE);
        let tried = || self.groups[g].by_turn(|m| self.is_checked(s) && unsure(m) && takes(m));
        let by_turn = by_turn.or_else(|| spilled.is_none().then(tried).flatten());
        let g = &mut self.groups[g];
        if !ready {
            let lacked = std::mem::replace(&mut g.lacking_until, self.now + OVERDUE) > self.now;
            self.touched.extend(g.members.iter().filter(|_| !lacked));
        }
        g.wants_primary |= fit.is_none() && by_turn.is_none();
        g.turn = by_turn.unwrap_or(g.turn);
        by_turn.map(|at| g.members[at]).or(spilled)
    }

    /// Where a write goes while no primary is named: after a miss or its hold to the next member, but never
    /// with the second half of its executions, which are kept for the primary.
    fn guess(&mut self, id: u32) -> Option<usize> {
        let s = &self.stmts[&id];
        let g = s.group;
        let moved = s.executions > 0 || s.hold_until > Timestamp(0);
        let may = s.executions * 2 < self.settings.max_executions;
        let fit = |m: &usize| self.fits(*m, s) && self.has_room(*m);
        let next = self.groups[g].members.iter().copied().find(fit);
        if moved && may && next.is_some() {
            return next;
        }
        let s = self.stmts.get_mut(&id).expect("waiting");
        s.hold_until = self.now + HOLD;
        self.plan(id);
        None
    }

    pub fn sparse(&self) -> bool {
        self.borne.entries.len() < SPARSE * self.members.index.len()
    }

    /// Many drivers that each hear little would else crowd a member together. What is worth little for its
    /// work is left out first, reads that spill before writes. Slow members and links meet it too.
    fn let_in(&self, m: usize, s: &Stmt) -> bool {
        let spilled = self.groups[s.group].primary == Some(m) && !self.settings.needs_primary(s.workload);
        let bar = if spilled { s.bar.sqrt() } else { s.bar };
        bar <= self.members.let_in[m]
    }

    /// None of the members that such statements go to lets it in.
    fn excess(&self, s: &Stmt) -> bool {
        let (g, writes) = (&self.groups[s.group], self.settings.needs_primary(s.workload));
        let takes = |m: &usize| (!writes || g.primary == Some(*m)) && self.may_send(*m) && self.let_in(*m, s);
        g.primary.is_some() && !g.members.iter().any(takes)
    }

    fn may_send(&self, m: usize) -> bool {
        let (f, advice) = (&self.members, self.settings.gone_is_advice);
        // Where the list doesn't prove what is up, only a listed drain binds.
        f.standing[m] == Standing::Ready || (f.standing[m] == Standing::Gone && advice && !f.drained[m])
    }

    /// Whether the known position proves it ready. Where members check reads themselves, the lag last seen is
    /// carried forward: a wrong guess costs a miss, which corrects it, while waiting for proof would push out
    /// current replicas that have not spoken for a while.
    fn covers(&self, m: usize, s: &Stmt) -> bool {
        let need = match self.settings.workloads[s.workload].freshness {
            Freshness::Bounded(bound) => self.now - bound,
            Freshness::Session if self.writes(s.session) => return false,
            Freshness::Session => s.token,
            Freshness::Any => return true,
            Freshness::Fresh | Freshness::Write => return false,
        };
        let f = &self.members;
        f.position[m] >= need
            || (self.is_checked(s) && f.told_at[m].is_none_or(|at| self.now - (at - f.position[m]) >= need))
    }

    /// A write of this session is out, and may have committed though its answer is late or lost.
    fn writes(&self, session: u64) -> bool {
        let write = |r: &Running| self.settings.workloads[r.workload].freshness == Freshness::Write;
        let mut out = self
            .running
            .values()
            .filter(|r| r.session == session && !r.awaits);
        !self.settings.session_age_carried && session > 0 && out.any(write)
    }

    /// A member can check only what it is told: what a session has written, only where statements carry that.
    fn is_checked(&self, s: &Stmt) -> bool {
        let told = self.settings.workloads[s.workload].freshness != Freshness::Session;
        self.settings.members_check_reads && (told || self.settings.session_age_carried)
    }

    /// Not where it failed before, nor outside the zone that drops its repeats once it may have run.
    fn fits(&self, m: usize, s: &Stmt) -> bool {
        let zone = &self.members.zone;
        let zoned = self.settings.workloads[s.workload].scope == Scope::Zone;
        let kept = s.doubt.is_none_or(|(_, first)| zone[first] == zone[m]);
        !s.avoid.contains(&m) && self.may_send(m) && !self.members.shunned[m] && (kept || !zoned)
    }

    fn has_room(&self, m: usize) -> bool {
        let f = &self.members;
        let spared = self.setup > DEAR && !self.connected(m) && f.connections[m] > 0 && self.sparse();
        let cold = self.cold_until(m);
        let kept = self.yields && cold > Timestamp(0);
        // Who leaves has no newcomers: the one beside it, always full, would else hold what is left here up.
        let last = self.yields && f.open[m] == 0;
        let out = f.open[m] + if last { 0 } else { f.elsewhere[m] };
        (out as f64) < f.limit[m] && cold <= self.now && !spared && !kept
    }

    fn connected(&self, m: usize) -> bool {
        self.members.connected(m, self.now, self.settings.connection_idle)
    }

    fn warmth(&self, m: usize) -> f64 {
        self.members.warmth(m, self.now, &self.settings)
    }

    /// What a warm member of this one's size carries for this driver on the mean, in parts of a core.
    fn carried(&self, m: usize) -> f64 {
        let share = self.members.size[m] / self.warm_size.max(0.01);
        let carried = self.borne.total.ratio(self.settings.fall_span) * share.min(1.0);
        self.fleet.cold_carried(carried)
    }

    /// Until when a cold member gets nothing.
    fn cold_until(&self, m: usize) -> Timestamp {
        let (f, warmth) = (&self.members, self.warmth(m));
        if warmth >= 1.0 {
            return Timestamp(0);
        }
        let proves = !self.sparse() && f.pace[m] < GOOD_PACE;
        let used = self.fleet.cold_multiple(self.settings.fall_multiple, proves);
        f.cold_until(m, self.now, self.carried(m) * warmth * used)
    }

    pub fn longest_typical(&self) -> TimeSpan {
        self.typical.iter().copied().max().unwrap_or(OVERDUE)
    }

    fn probe_due(&self, m: usize) -> Option<Timestamp> {
        let f = &self.members;
        let g = &self.groups[f.group[m]];
        let greets = self.fleet.greets(self.settings.members_check_reads);
        let unknown = greets && f.told_at[m].is_none() && !f.said_replica[m];
        let wanted = unknown || f.shunned[m] || g.wants_primary;
        // An ageing position needs a way back: answers give it, a probe where none come.
        let ageing = !self.settings.members_check_reads && g.lacking_until > self.now && Some(m) != g.primary;
        let aged_at = f.probe_at[m].max(f.told_at[m].unwrap_or_default() + OVERDUE);
        let at = wanted.then_some(f.probe_at[m]).or(ageing.then_some(aged_at));
        at.filter(|_| self.settings.probes_allowed && self.may_send(m))
    }

    /// The last moment at which an answer could still come within the SLO time.
    fn last_chance(&self, s: &Stmt) -> Timestamp {
        let margin = if s.rank.is_some() { 2.0 } else { 0.0 };
        s.slo_at - self.typical[s.workload] * margin
    }

    fn runs(&self, id: u32) -> impl Iterator<Item = &Running> {
        self.running.range((id, 0)..=(id, u8::MAX)).map(|(_, run)| run)
    }

    /// While this driver was held up itself no member owed it anything, and what comes then says little.
    fn hear(&mut self, now: Timestamp) {
        if now - self.planned.unwrap_or(now) > STALL {
            self.members.owes_since.fill(now);
            self.stalled_at = now;
        }
        self.now = now;
    }

    fn shun(&mut self, m: usize) {
        let f = &mut self.members;
        (f.shunned[m], f.limit[m], f.probe_at[m]) = (true, 1.0, self.now);
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
        let late = if self.now >= s.slo_at { late_share } else { 1.0 };
        let work = s.work.unwrap_or(self.typical[s.workload]);
        let density = s.importance * late / work.0.max(1) as f64;
        let g = &mut self.groups[s.group];
        g.leave(s.workload, s.rank.take());
        let rank = ((1.0 / density.max(1e-12)) as u64, s.taken, id);
        g.join(s.workload, rank);
        s.rank = Some(rank);
        self.changed.insert(s.group);
        self.plan(id);
    }

    /// Sets when the statement is to be looked at next.
    fn plan(&mut self, id: u32) {
        let s = &self.stmts[&id];
        let times = [self.last_chance(s), s.slo_at, s.hold_until, s.send_by];
        let ahead = times.into_iter().chain([s.unsent_by]).filter(|at| *at > self.now);
        let next = ahead.fold(s.answer_by, Timestamp::min);
        let due = &mut self.stmts.get_mut(&id).expect("seen above").due;
        self.due.put(id, std::mem::replace(due, next), Some(next));
    }

    fn send(&mut self, id: u32, m: usize) {
        let new_connection = !self.connected(m);
        let s = self.stmts.get_mut(&id).expect("placed only while held");
        self.groups[s.group].leave(s.workload, s.rank.take());
        let run = Running::new(m, s, self.now, new_connection);
        self.running.insert((id, s.executions as u8), run);
        s.executions += 1;
        let f = &mut self.members;
        if f.open[m] == 0 {
            f.owes_since[m] = self.now;
        }
        f.open[m] += 1;
        if new_connection {
            f.connections[m] = f.open[m];
        }
        (f.used_at[m], f.debt_at[m]) = (self.now, self.now);
        f.owe(m, s.work.unwrap_or(self.typical[s.workload]));
        self.touched.push(m);
        let (member, until) = (f.id[m], s.answer_by);
        self.results.executions.push(Execution {
            stmt: id,
            member,
            until,
        });
        self.plan(id);
    }

    /// The final answer: a rejection where trying again is known to be harmless, else an abort.
    fn finish(&mut self, id: u32) {
        let Some(s) = self.stmts.get(&id) else { return };
        let w = &self.settings.workloads[s.workload];
        let left = self.runs(id).any(|r| !r.awaits);
        let harmless = w.repeats_harmlessly() || s.doubt.is_none() && !left;
        // A repeat that may still count should come at once; any other only adds to the load.
        let worthwhile = self.now + self.typical[s.workload] < s.slo_at;
        let hold_off = self.settings.max_hold_off * if worthwhile { 0.0 } else { 1.0 };
        self.call_off(id);
        let rejected = Answer::Rejected { stmt: id, hold_off };
        let aborted = Answer::Aborted { stmt: id };
        let answer = if harmless { rejected } else { aborted };
        self.results.answers.push(answer);
        self.forget(id);
    }

    /// Work for a client that no longer waits is only in the way of others. What has not left may stay here.
    fn call_off(&mut self, id: u32) {
        let allowed = self.settings.cancel_allowed;
        for (&(stmt, number), run) in self.running.range_mut((id, 0)..=(id, u8::MAX)) {
            if (allowed || run.awaits) && !std::mem::replace(&mut run.called_off, true) {
                self.results.cancellations.push(Cancellation { stmt, number });
            }
        }
    }

    fn forget(&mut self, id: u32) {
        let Some(s) = self.stmts.remove(&id) else { return };
        self.due.put(id, s.due, None);
        self.groups[s.group].leave(s.workload, s.rank);
    }
}
