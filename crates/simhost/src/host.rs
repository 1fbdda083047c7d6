//! Hosts drivers by number: passes records to their policies, and their actions back.

use crate::decode;
use crate::error::{HostError, RecordError};
use crate::wire::{Batch, Fields, Reply};
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_settings::{Decoding, SettingsMap};
use std::collections::BTreeMap;

/// Codes of the simulator's records.
mod event {
    pub(super) const STREAM: u8 = 0;
    pub(super) const STOP: u8 = 1;
    pub(super) const EXECUTION_ENDED: u8 = 2;
    pub(super) const STATEMENT_WITHDRAWN: u8 = 3;
    pub(super) const PEER_MESSAGE: u8 = 4;
    pub(super) const DEFINE_LIST: u8 = 5;
    pub(super) const START: u8 = 6;
    pub(super) const ENDPOINT_LIST: u8 = 7;
    pub(super) const STATEMENT: u8 = 8;
    pub(super) const TIMER: u8 = 9;
    pub(super) const HEALTH_CHECK: u8 = 10;
    pub(super) const DRIVER: u8 = 11;
}

/// Codes of the records of a reply.
mod action {
    pub(super) const EXECUTE: u8 = 0;
    pub(super) const REJECT: u8 = 1;
    pub(super) const ABORT: u8 = 2;
    pub(super) const CANCEL: u8 = 3;
    pub(super) const SET_TIMER: u8 = 4;
    pub(super) const CHECK_HEALTH: u8 = 5;
    pub(super) const POLL_ENDPOINT_LIST: u8 = 10;
    pub(super) const DRIVER: u8 = 12;
}

/// Ways in which a list is to be taken.
mod list_mode {
    pub(super) const CHANGES: u8 = 0;
    pub(super) const FAILED: u8 = 3;
}

/// Health checks that were answered.
const HEALTH_CHECK_ANSWERED: u16 = 1;

struct Instance {
    policy: RoutingPolicy,
    workloads: usize,
    decoding: Decoding,
    /// The earliest timer that is still to fire.
    timer: Option<Timestamp>,
}

/// All drivers of the simulator.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u16, Instance>,
    /// Lists that several drivers may be given, by number.
    lists: BTreeMap<u8, Vec<MemberEntry>>,
    /// The driver that the next records are for.
    current: Option<u16>,
    /// The driver that the reply named last.
    replying_as: Option<u16>,
}

impl Host {
    /// Takes a frame; returns the reply's frame.
    pub(crate) fn answer(&mut self, batch: &Batch) -> Result<Vec<u8>, HostError> {
        let now = Timestamp(batch.clock);
        let mut reply = Reply::default();
        let mut body = Fields::new(&batch.body);
        self.current = None;
        self.replying_as = None;
        for record in 0..batch.records {
            let taken = self.take_record(&mut body, now, &mut reply);
            taken.map_err(|source| HostError::Record {
                frame: batch.number,
                record,
                source,
            })?;
        }
        if !body.is_empty() {
            return Err(HostError::TrailingBytes {
                frame: batch.number,
                records: batch.records,
            });
        }
        Ok(reply.frame(batch.number))
    }

    fn take_record(
        &mut self,
        body: &mut Fields,
        now: Timestamp,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let mut record = body.record()?;
        match record.code {
            event::DRIVER => {
                self.current = Some(record.fields.u16()?);
                return Ok(());
            }
            event::DEFINE_LIST => return self.define_list(&mut record.fields),
            _ => {}
        }
        let driver = self.current.ok_or(RecordError::NoDriver(record.code))?;
        match record.code {
            event::STOP => {
                self.instances.remove(&driver);
                Ok(())
            }
            event::START => self.start(driver, &mut record.fields, now),
            code => self.take_event(driver, code, &mut record.fields, now, reply),
        }
    }

    fn define_list(&mut self, fields: &mut Fields) -> Result<(), RecordError> {
        let number = fields.u8()?;
        let count = fields.u32()?;
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(decode::member_entry(fields)?);
        }
        self.lists.insert(number, entries);
        Ok(())
    }

    fn start(&mut self, driver: u16, fields: &mut Fields, now: Timestamp) -> Result<(), RecordError> {
        let seed = fields.u64()?;
        let length = fields.u32()? as usize;
        let text = std::str::from_utf8(fields.take(length)?)?;
        let (settings, decoding) = asterlatch_settings::read(&SettingsMap::from_text(text)?)?;
        let mut policy = RoutingPolicy::new(&settings, seed, now);
        policy.set_shared_clock();
        let instance = Instance {
            policy,
            workloads: settings.workloads.len(),
            decoding,
            timer: None,
        };
        self.instances.insert(driver, instance);
        Ok(())
    }

    /// Passes an event to a driver's policy and appends its actions to the reply.
    fn take_event(
        &mut self,
        driver: u16,
        code: u8,
        fields: &mut Fields,
        now: Timestamp,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let instance = self.instances.get_mut(&driver);
        let instance = instance.ok_or(RecordError::NotRunning { event: code, driver })?;
        let actions = match code {
            // Streams and messages between drivers: no deployment here has them.
            event::STREAM | event::PEER_MESSAGE => return Ok(()),
            event::EXECUTION_ENDED => {
                let end = decode::execution_end(fields, &instance.decoding)?;
                instance.policy.on_execution_ended(now, &end)
            }
            event::STATEMENT_WITHDRAWN => instance.policy.on_statement_withdrawn(now, fields.u32()?),
            event::ENDPOINT_LIST => instance.on_endpoint_list(&self.lists, fields, now)?,
            event::STATEMENT => {
                let statement = decode::statement(fields, instance.workloads, now)?;
                instance.policy.on_statement(now, &statement)
            }
            event::TIMER => {
                if instance.timer == Some(Timestamp(fields.u64()?)) {
                    instance.timer = None;
                }
                instance.policy.advance_to(now)
            }
            event::HEALTH_CHECK => instance.on_health_check(fields, now)?,
            other => return Err(RecordError::UnknownEvent(other)),
        };
        let new_timer = instance.set_timer(actions.wake_up_at);
        let mut encoder = ActionEncoder {
            driver,
            replying_as: &mut self.replying_as,
            reply,
        };
        encoder.encode(&actions, new_timer, now);
        Ok(())
    }
}

impl Instance {
    fn on_endpoint_list(
        &mut self,
        lists: &BTreeMap<u8, Vec<MemberEntry>>,
        fields: &mut Fields,
        now: Timestamp,
    ) -> Result<Actions, RecordError> {
        let mode = fields.u8()?;
        let _version = fields.u64()?;
        let number = fields.u8()?;
        if mode > list_mode::FAILED {
            return Err(RecordError::UnknownListMode(mode));
        }
        if mode == list_mode::FAILED {
            return Ok(self.policy.on_poll_failed(now));
        }
        let entries = lists.get(&number).ok_or(RecordError::UndefinedList(number))?;
        let is_complete = mode != list_mode::CHANGES;
        Ok(self.policy.on_endpoint_list(now, entries, is_complete))
    }

    fn on_health_check(&mut self, fields: &mut Fields, now: Timestamp) -> Result<Actions, RecordError> {
        let member = fields.u32()?;
        let is_answered = fields.u16()? == HEALTH_CHECK_ANSWERED;
        let latency = TimeSpan(fields.u32()?.into());
        let status = decode::load_report(fields, &self.decoding)?;
        let actions = self
            .policy
            .on_health_check(now, member, is_answered, latency, status);
        Ok(actions)
    }

    /// The timer to be set, if it is earlier than the one that is still to fire.
    fn set_timer(&mut self, wake_up_at: Option<Timestamp>) -> Option<Timestamp> {
        let at = wake_up_at.filter(|at| self.timer.is_none_or(|timer| *at < timer))?;
        self.timer = Some(at);
        Some(at)
    }
}

struct ActionEncoder<'a> {
    driver: u16,
    replying_as: &'a mut Option<u16>,
    reply: &'a mut Reply,
}

impl ActionEncoder<'_> {
    fn put(&mut self, code: u8, fields: &[&[u8]]) {
        if *self.replying_as != Some(self.driver) {
            self.reply.record(action::DRIVER, &[&self.driver.to_le_bytes()]);
            *self.replying_as = Some(self.driver);
        }
        self.reply.record(code, fields);
    }

    fn encode(&mut self, actions: &Actions, new_timer: Option<Timestamp>, now: Timestamp) {
        for cancellation in &actions.cancellations {
            let statement = cancellation.statement.to_le_bytes();
            self.put(action::CANCEL, &[&statement, &[cancellation.attempt]]);
        }
        for execution in &actions.executions {
            let statement = execution.statement.to_le_bytes();
            let member = execution.member.to_le_bytes();
            let deadline = execution.deadline.0.to_le_bytes();
            self.put(action::EXECUTE, &[&statement, &member, &deadline]);
        }
        for answer in &actions.answers {
            self.encode_answer(answer);
        }
        for member in &actions.health_checks {
            self.put(action::CHECK_HEALTH, &[&member.to_le_bytes()]);
        }
        if actions.poll_endpoint_list {
            self.put(action::POLL_ENDPOINT_LIST, &[&[1]]);
        }
        if let Some(at) = new_timer {
            let offset = (at - now).0.min(u64::from(u32::MAX)) as u32;
            self.put(action::SET_TIMER, &[&at.0.to_le_bytes(), &offset.to_le_bytes()]);
        }
    }

    fn encode_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Rejected {
                statement,
                retry_after,
            } => {
                let retry_after = (retry_after.0 as u32).to_le_bytes();
                self.put(action::REJECT, &[&statement.to_le_bytes(), &retry_after]);
            }
            Answer::Aborted { statement } => self.put(action::ABORT, &[&statement.to_le_bytes()]),
        }
    }
}
