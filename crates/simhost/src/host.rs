//! Hosts drivers by number: decodes records into calls and results into records.

use crate::wire::{Batch, Fault, Fields, Reply};
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_settings::{Decoding, Pairs};
use std::collections::BTreeMap;

struct Instance {
    driver: RoutingPolicy,
    workloads: usize,
    decoding: Decoding,
    /// The earliest timer that is still to fire.
    armed: Option<Timestamp>,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u8, Vec<MemberEntry>>,
    replying_as: Option<u16>,
}

fn entry(f: &mut Fields) -> Result<MemberEntry, Fault> {
    let (id, zone, named, _kind, group) = (f.u32()?, f.u16()?, f.f32()?, f.u16()?, f.u16()?);
    let standing = match f.u8()? {
        2 => MemberState::Ready,
        0 => MemberState::Draining,
        1 => MemberState::Gone,
        other => return Err(format!("unknown standing {other} of member {id}")),
    };
    let (size, started) = (f.f32()?, f.u64()?);
    Ok(MemberEntry {
        id,
        fleet_key: u64::from(id),
        zone,
        group: u32::from(group),
        state: standing,
        listed_as_primary: named == 1.0,
        capacity: f64::from(size),
        started_at: (started > 0).then_some(Timestamp(started)),
    })
}

fn report(f: &mut Fields, decoding: &Decoding) -> Result<ReplicaStatus, Fault> {
    let count = f.u8()?;
    let mut values = Vec::new();
    for _ in 0..count {
        values.push(f.f32()?);
    }
    let at = |i: Option<usize>| i.and_then(|i| values.get(i)).map(|v| f64::from(*v));
    // Taken down to the last whole millisecond: the wire's short floats may have rounded up.
    let position = at(decoding.position_field)
        .filter(|s| *s > 0.0)
        .map(|s| decoding.epoch + TimeSpan::millis((s * 1000.0 - 0.5).max(0.0) as u64));
    Ok(ReplicaStatus {
        position,
        is_primary: at(decoding.role_field).map(|v| v == 1.0),
    })
}

fn noted(value: u32, decoding: &Decoding) -> ReplicaStatus {
    let ms = u64::from(value / 4);
    let position = (ms > 0 && decoding.positions).then(|| decoding.epoch + TimeSpan::millis(ms));
    let is_primary = match value % 4 {
        1 => Some(true),
        2 => Some(false),
        _ => None,
    };
    ReplicaStatus { position, is_primary }
}

fn ending(code: u16) -> Result<ExecutionOutcome, Fault> {
    Ok(match code {
        0 => ExecutionOutcome::Errored,
        1 => ExecutionOutcome::Completed,
        2 => ExecutionOutcome::Rejected,
        3 => ExecutionOutcome::TimedOut,
        4 => ExecutionOutcome::NoConnection,
        5 => ExecutionOutcome::ConnectionLost,
        6 => ExecutionOutcome::Cancelled,
        7 => ExecutionOutcome::NotSent,
        8 => ExecutionOutcome::NotEligible,
        other => return Err(format!("unknown outcome {other}")),
    })
}

impl Host {
    pub fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, Fault> {
        let now = Timestamp(batch.clock);
        let mut reply = Reply::default();
        let mut body = Fields::new(&batch.body);
        let mut current = None;
        self.replying_as = None;
        for n in 0..batch.records {
            let place = |e: Fault| format!("frame {}, record {n}: {e}", batch.number);
            let (code, fields) = body.record().map_err(place)?;
            self.record(code, fields, now, &mut current, &mut reply)
                .map_err(place)?;
        }
        if !body.is_empty() {
            return Err(format!(
                "frame {} goes on after its {} records",
                batch.number, batch.records
            ));
        }
        Ok(reply.frame(batch.number))
    }

    fn record(
        &mut self,
        code: u8,
        mut f: Fields,
        now: Timestamp,
        current: &mut Option<u16>,
        reply: &mut Reply,
    ) -> Result<(), Fault> {
        if code == 11 {
            *current = Some(f.u16()?);
            return Ok(());
        }
        if code == 5 {
            let (number, count) = (f.u8()?, f.u32()?);
            let mut entries = Vec::new();
            for _ in 0..count {
                entries.push(entry(&mut f)?);
            }
            self.lists.insert(number, entries);
            return Ok(());
        }
        let number = current.ok_or_else(|| format!("event {code} before any driver was named"))?;
        match code {
            1 => {
                self.instances.remove(&number);
                return Ok(());
            }
            6 => {
                let (seed, len) = (f.u64()?, f.u32()? as usize);
                let text = std::str::from_utf8(f.take(len)?).map_err(|e| format!("settings text: {e}"))?;
                let (settings, decoding) = asterlatch_settings::read(&Pairs::from_text(text)?)?;
                let driver = RoutingPolicy::new(&settings, seed, now);
                let workloads = settings.workloads.len();
                self.instances.insert(
                    number,
                    Instance {
                        driver,
                        workloads,
                        decoding,
                        armed: None,
                    },
                );
                return Ok(());
            }
            _ => {}
        }
        let lists = &self.lists;
        let instance = self.instances.get_mut(&number);
        let Some(Instance {
            driver,
            workloads,
            decoding,
            armed,
        }) = instance
        else {
            return Err(format!("event {code} for driver {number}, which is not running"));
        };
        let results = match code {
            0 | 4 => return Ok(()), // streams and messages between drivers: no deployment here has them
            2 => {
                let (stmt, attempt, member, status) = (f.u32()?, f.u8()?, f.u32()?, f.u16()?);
                let (took, settled, note) = (TimeSpan(f.u32()?.into()), f.u8()? != 0, f.u32()?);
                let inline = report(&mut f, decoding)?;
                let sighting = noted(note, decoding).merge(inline);
                let ending = ending(status)?;
                driver.on_execution_ended(
                    now,
                    &ExecutionEnd {
                        statement: stmt,
                        attempt,
                        member,
                        outcome: ending,
                        latency: took,
                        is_answered: settled,
                        status: sighting,
                    },
                )
            }
            3 => driver.on_statement_withdrawn(now, f.u32()?),
            7 => {
                let (mode, _version, list) = (f.u8()?, f.u64()?, f.u8()?);
                if mode == 3 {
                    driver.on_poll_failed(now)
                } else if mode < 3 {
                    let entries = lists
                        .get(&list)
                        .ok_or_else(|| format!("list {list} was never defined"))?;
                    driver.on_endpoint_list(now, entries, mode != 0)
                } else {
                    return Err(format!("unknown list mode {mode}"));
                }
            }
            8 => {
                let (id, workload, tenant, session) = (f.u32()?, f.u8()?, f.u32()?, f.u64()?);
                let (left, work, group, ago, bits) = (f.u32()?, f.u32()?, f.f32()?, f.f32()?, f.u16()?);
                if usize::from(workload) >= *workloads {
                    return Err(format!("statement {id} is of the unknown class {workload}"));
                }
                driver.on_statement(
                    now,
                    &Statement {
                        id,
                        workload: workload.into(),
                        tenant: tenant as usize,
                        group: group as u32,
                        session,
                        is_client_retry: bits & 2 != 0,
                        time_left: TimeSpan(left.into()),
                        expected_work: (bits & 1 != 0).then_some(TimeSpan(work.into())),
                        prior_attempt: None,
                        session_write_age: (ago > 0.0).then(|| TimeSpan((f64::from(ago) * 1000.0) as u64)),
                    },
                )
            }
            9 => {
                if *armed == Some(Timestamp(f.u64()?)) {
                    *armed = None;
                }
                driver.advance_to(now)
            }
            10 => {
                let (member, status, took) = (f.u32()?, f.u16()?, TimeSpan(f.u32()?.into()));
                let sighting = report(&mut f, decoding)?;
                driver.on_health_check(now, member, status == 1, took, sighting)
            }
            other => return Err(format!("unknown event code {other}")),
        };
        let wake = results.wake_up_at.filter(|at| armed.is_none_or(|a| *at < a));
        if let Some(at) = wake {
            *armed = Some(at);
        }
        encode(&results, wake, now, number, &mut self.replying_as, reply);
        Ok(())
    }
}

fn encode(
    r: &Actions,
    wake: Option<Timestamp>,
    now: Timestamp,
    number: u16,
    named: &mut Option<u16>,
    reply: &mut Reply,
) {
    let mut put = |code: u8, fields: &[&[u8]]| {
        if *named != Some(number) {
            reply.record(12, &[&number.to_le_bytes()]);
            *named = Some(number);
        }
        reply.record(code, fields);
    };
    for c in &r.cancellations {
        put(3, &[&c.statement.to_le_bytes(), &[c.attempt]]);
    }
    for e in &r.executions {
        put(
            0,
            &[
                &e.statement.to_le_bytes(),
                &e.member.to_le_bytes(),
                &e.deadline.0.to_le_bytes(),
            ],
        );
    }
    for answer in &r.answers {
        match answer {
            Answer::Rejected {
                statement: stmt,
                retry_after: hold_off,
            } => {
                put(1, &[&stmt.to_le_bytes(), &(hold_off.0 as u32).to_le_bytes()]);
            }
            Answer::Aborted { statement: stmt } => put(2, &[&stmt.to_le_bytes()]),
        }
    }
    for member in &r.health_checks {
        put(5, &[&member.to_le_bytes()]);
    }
    if r.poll_endpoint_list {
        put(10, &[&[1]]);
    }
    if let Some(at) = wake {
        let offset = (at - now).0.min(u64::from(u32::MAX)) as u32;
        put(4, &[&at.0.to_le_bytes(), &offset.to_le_bytes()]);
    }
}
