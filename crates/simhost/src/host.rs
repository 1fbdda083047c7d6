//! Hosts drivers by number: decodes records into calls and results into records.

use crate::wire::{Batch, Fault, Fields, Reply};
use asterlatch::choice::Driver;
use asterlatch::interface::*;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_settings::{Decoding, Pairs};
use std::collections::BTreeMap;

struct Instance {
    driver: Driver,
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
        2 => Standing::Ready,
        0 => Standing::Draining,
        1 => Standing::Gone,
        other => return Err(format!("unknown standing {other} of member {id}")),
    };
    let (size, started) = (f.f32()?, f.u64()?);
    Ok(MemberEntry {
        id,
        key: u64::from(id),
        zone,
        group: u32::from(group),
        standing,
        named_primary: named == 1.0,
        size: f64::from(size),
        started: (started > 0).then_some(Timestamp(started)),
    })
}

fn report(f: &mut Fields, decoding: &Decoding) -> Result<Sighting, Fault> {
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
    Ok(Sighting {
        position,
        is_primary: at(decoding.role_field).map(|v| v == 1.0),
    })
}

fn noted(value: u32, decoding: &Decoding) -> Sighting {
    let ms = u64::from(value / 4);
    let position = (ms > 0 && decoding.positions).then(|| decoding.epoch + TimeSpan::millis(ms));
    let is_primary = match value % 4 {
        1 => Some(true),
        2 => Some(false),
        _ => None,
    };
    Sighting { position, is_primary }
}

fn ending(code: u16) -> Result<Ending, Fault> {
    Ok(match code {
        0 => Ending::Errored,
        1 => Ending::Completed,
        2 => Ending::TurnedAway,
        3 => Ending::TimedOut,
        4 => Ending::NoConnection,
        5 => Ending::ConnectionLost,
        6 => Ending::Cancelled,
        7 => Ending::NeverSent,
        8 => Ending::Missed,
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
                let driver = Driver::new(&settings, seed, now);
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
                let sighting = noted(note, decoding).joined(inline);
                let ending = ending(status)?;
                driver.execution_ended(
                    now,
                    &ExecutionEnd {
                        stmt,
                        number: attempt,
                        member,
                        ending,
                        took,
                        settled,
                        sighting,
                    },
                )
            }
            3 => driver.statement_withdrawn(now, f.u32()?),
            7 => {
                let (mode, _version, list) = (f.u8()?, f.u64()?, f.u8()?);
                if mode == 3 {
                    driver.list_failed(now)
                } else if mode < 3 {
                    let entries = lists
                        .get(&list)
                        .ok_or_else(|| format!("list {list} was never defined"))?;
                    driver.members_told(now, entries, mode != 0)
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
                driver.statement_taken(
                    now,
                    &Statement {
                        id,
                        workload: workload.into(),
                        tenant: tenant as usize,
                        group: group as u32,
                        session,
                        repeat: bits & 2 != 0,
                        left: TimeSpan(left.into()),
                        work: (bits & 1 != 0).then_some(TimeSpan(work.into())),
                        doubted: None,
                        written_ago: (ago > 0.0).then(|| TimeSpan((f64::from(ago) * 1000.0) as u64)),
                    },
                )
            }
            9 => {
                if *armed == Some(Timestamp(f.u64()?)) {
                    *armed = None;
                }
                driver.time_reached(now)
            }
            10 => {
                let (member, status, took) = (f.u32()?, f.u16()?, TimeSpan(f.u32()?.into()));
                let sighting = report(&mut f, decoding)?;
                driver.probe_answered(now, member, status == 1, took, sighting)
            }
            other => return Err(format!("unknown event code {other}")),
        };
        let wake = results.wake_up.filter(|at| armed.is_none_or(|a| *at < a));
        if let Some(at) = wake {
            *armed = Some(at);
        }
        encode(&results, wake, now, number, &mut self.replying_as, reply);
        Ok(())
    }
}

fn encode(
    r: &Results,
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
        put(3, &[&c.stmt.to_le_bytes(), &[c.number]]);
    }
    for e in &r.executions {
        put(
            0,
            &[
                &e.stmt.to_le_bytes(),
                &e.member.to_le_bytes(),
                &e.until.0.to_le_bytes(),
            ],
        );
    }
    for answer in &r.answers {
        match answer {
            Answer::Rejected { stmt, hold_off } => {
                put(1, &[&stmt.to_le_bytes(), &(hold_off.0 as u32).to_le_bytes()]);
            }
            Answer::Aborted { stmt } => put(2, &[&stmt.to_le_bytes()]),
        }
    }
    for member in &r.probes {
        put(5, &[&member.to_le_bytes()]);
    }
    if r.subscribe {
        put(10, &[&[1]]);
    }
    if let Some(at) = wake {
        let offset = (at - now).0.min(u64::from(u32::MAX)) as u32;
        put(4, &[&at.0.to_le_bytes(), &offset.to_le_bytes()]);
    }
}
