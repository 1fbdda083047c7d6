//! Hosts the simulator's drivers: passes events to their policies and returns the actions.

use crate::decode;
use crate::error::{HostError, RecordError};
use crate::wire::{FieldReader, Frame, Reply};
use asterlatch::interface::*;
use asterlatch::policy::RoutingPolicy;
use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_settings::{Decoding, SettingsMap};
use std::collections::BTreeMap;

/// Codes of records from the simulator.
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

/// Codes of records in replies.
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

/// Update modes of endpoint lists.
mod list_mode {
    pub(super) const CHANGES: u8 = 0;
    pub(super) const FAILED: u8 = 3;
}

/// Result code of a health check that the member answered.
const HEALTH_CHECK_ANSWERED: u16 = 1;

struct Instance {
    policy: RoutingPolicy,
    workload_count: usize,
    decoding: Decoding,
    /// The earliest pending timer.
    timer: Option<Timestamp>,
}

/// The simulator's drivers, by number.
#[derive(Default)]
pub(crate) struct Host {
    instances: BTreeMap<u16, Instance>,
    /// Endpoint lists shared by drivers, by number.
    lists: BTreeMap<u8, Vec<MemberEntry>>,
    /// The driver that receives the next events.
    current_driver: Option<u16>,
    /// The driver that the reply selected last.
    reply_driver: Option<u16>,
}

impl Host {
    /// Processes the records of a frame in order; returns the encoded reply.
    pub(crate) fn process_frame(&mut self, frame: &Frame) -> Result<Vec<u8>, HostError> {
        let now = Timestamp(frame.clock_us);
        let mut reply = Reply::default();
        let mut body = FieldReader::new(&frame.body);
        self.current_driver = None;
        self.reply_driver = None;
        for record in 0..frame.record_count {
            let result = self.process_record(&mut body, now, &mut reply);
            result.map_err(|source| HostError::Record {
                frame: frame.number,
                record,
                source,
            })?;
        }
        if !body.is_empty() {
            return Err(HostError::TrailingBytes {
                frame: frame.number,
                record_count: frame.record_count,
            });
        }
        Ok(reply.encode(frame.number))
    }

    fn process_record(
        &mut self,
        body: &mut FieldReader,
        now: Timestamp,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let mut record = body.next_record()?;
        match record.code {
            event::DRIVER => {
                self.current_driver = Some(record.fields.u16()?);
                return Ok(());
            }
            event::DEFINE_LIST => return self.define_list(&mut record.fields),
            _ => {}
        }
        let driver = self.current_driver.ok_or(RecordError::NoDriver(record.code))?;
        match record.code {
            event::STOP => {
                self.instances.remove(&driver);
                Ok(())
            }
            event::START => self.start(driver, &mut record.fields, now),
            code => self.process_event(driver, code, &mut record.fields, now, reply),
        }
    }

    fn define_list(&mut self, fields: &mut FieldReader) -> Result<(), RecordError> {
        let number = fields.u8()?;
        let count = fields.u32()?;
        let mut entries = Vec::new();
        for _ in 0..count {
            entries.push(decode::member_entry(fields)?);
        }
        self.lists.insert(number, entries);
        Ok(())
    }

    fn start(&mut self, driver: u16, fields: &mut FieldReader, now: Timestamp) -> Result<(), RecordError> {
        let seed = fields.u64()?;
        let length = fields.u32()? as usize;
        let text = std::str::from_utf8(fields.take(length)?)?;
        let (settings, decoding) = asterlatch_settings::read(&SettingsMap::from_text(text)?)?;
        let mut policy = RoutingPolicy::new(&settings, seed, now);
        policy.set_shared_clock();
        let instance = Instance {
            policy,
            workload_count: settings.workloads.len(),
            decoding,
            timer: None,
        };
        self.instances.insert(driver, instance);
        Ok(())
    }

    /// Passes an event to a driver's policy and appends the resulting actions to the reply.
    fn process_event(
        &mut self,
        driver: u16,
        code: u8,
        fields: &mut FieldReader,
        now: Timestamp,
        reply: &mut Reply,
    ) -> Result<(), RecordError> {
        let instance = self.instances.get_mut(&driver);
        let instance = instance.ok_or(RecordError::NotRunning { event: code, driver })?;
        let actions = match code {
            // Ignored: simulated deployments have no streams and no messages between drivers.
            event::STREAM | event::PEER_MESSAGE => return Ok(()),
            event::EXECUTION_ENDED => {
                let end = decode::execution_end(fields, &instance.decoding)?;
                instance.policy.on_execution_ended(now, &end)
            }
            event::STATEMENT_WITHDRAWN => instance.policy.on_statement_withdrawn(now, fields.u32()?),
            event::ENDPOINT_LIST => instance.on_endpoint_list(&self.lists, fields, now)?,
            event::STATEMENT => {
                let statement = decode::statement(fields, instance.workload_count, now)?;
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
            reply_driver: &mut self.reply_driver,
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
        fields: &mut FieldReader,
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

    fn on_health_check(&mut self, fields: &mut FieldReader, now: Timestamp) -> Result<Actions, RecordError> {
        let member = fields.u32()?;
        let is_answered = fields.u16()? == HEALTH_CHECK_ANSWERED;
        let latency = TimeSpan(fields.u32()?.into());
        let status = decode::load_report(fields, &self.decoding)?;
        let actions = self
            .policy
            .on_health_check(now, member, is_answered, latency, status);
        Ok(actions)
    }

    /// Returns the wake-up time if it is earlier than the pending timer, which it then replaces.
    fn set_timer(&mut self, wake_up_at: Option<Timestamp>) -> Option<Timestamp> {
        let at = wake_up_at.filter(|at| self.timer.is_none_or(|timer| *at < timer))?;
        self.timer = Some(at);
        Some(at)
    }
}

struct ActionEncoder<'a> {
    driver: u16,
    reply_driver: &'a mut Option<u16>,
    reply: &'a mut Reply,
}

impl ActionEncoder<'_> {
    fn push(&mut self, code: u8, fields: &[&[u8]]) {
        if *self.reply_driver != Some(self.driver) {
            self.reply
                .push_record(action::DRIVER, &[&self.driver.to_le_bytes()]);
            *self.reply_driver = Some(self.driver);
        }
        self.reply.push_record(code, fields);
    }

    fn encode(&mut self, actions: &Actions, new_timer: Option<Timestamp>, now: Timestamp) {
        for cancellation in &actions.cancellations {
            let statement = cancellation.statement.to_le_bytes();
            self.push(action::CANCEL, &[&statement, &[cancellation.attempt]]);
        }
        for execution in &actions.executions {
            let statement = execution.statement.to_le_bytes();
            let member = execution.member.to_le_bytes();
            let deadline = execution.deadline.0.to_le_bytes();
            self.push(action::EXECUTE, &[&statement, &member, &deadline]);
        }
        for answer in &actions.answers {
            self.encode_answer(answer);
        }
        for member in &actions.health_checks {
            self.push(action::CHECK_HEALTH, &[&member.to_le_bytes()]);
        }
        if actions.poll_endpoint_list {
            self.push(action::POLL_ENDPOINT_LIST, &[&[1]]);
        }
        if let Some(at) = new_timer {
            let offset = (at - now).0.min(u64::from(u32::MAX)) as u32;
            self.push(action::SET_TIMER, &[&at.0.to_le_bytes(), &offset.to_le_bytes()]);
        }
    }

    fn encode_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Rejected {
                statement,
                retry_after,
            } => {
                let retry_after = (retry_after.0 as u32).to_le_bytes();
                self.push(action::REJECT, &[&statement.to_le_bytes(), &retry_after]);
            }
            Answer::Aborted { statement } => self.push(action::ABORT, &[&statement.to_le_bytes()]),
        }
    }
}
