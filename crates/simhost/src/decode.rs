//! Decodes the simulator's records into inputs of the policy.

use crate::error::RecordError;
use crate::wire::FieldReader;
use asterlatch::interface::*;
use asterlatch::time::{RemoteTimestamp, TimeSpan, Timestamp};
use asterlatch_settings::Decoding;

/// Flags of a statement's record.
const HAS_EXPECTED_WORK: u16 = 1;
const IS_CLIENT_RETRY: u16 = 2;

/// Decodes an entry of an endpoint list.
pub(crate) fn member_entry(fields: &mut FieldReader) -> Result<MemberEntry, RecordError> {
    let id = fields.u32()?;
    let zone = fields.u16()?;
    let listed_as_primary = fields.f32()? == 1.0;
    let _kind = fields.u16()?;
    let group = fields.u16()?;
    let state = match fields.u8()? {
        0 => MemberState::Draining,
        1 => MemberState::Gone,
        2 => MemberState::Ready,
        code => return Err(RecordError::UnknownState { code, member: id }),
    };
    let capacity = fields.f32()?;
    let started = fields.u64()?;
    Ok(MemberEntry {
        id,
        fleet_key: u64::from(id),
        zone,
        group: u32::from(group),
        state,
        listed_as_primary,
        capacity: f64::from(capacity),
        started_at: (started > 0).then_some(RemoteTimestamp(started)),
    })
}

/// Decodes a statement received at `now`. The log position of the session's last write follows from the age of
/// that write, because all of the simulator shares one clock.
pub(crate) fn statement(
    fields: &mut FieldReader,
    workload_count: usize,
    now: Timestamp,
) -> Result<Statement, RecordError> {
    let id = fields.u32()?;
    let workload = fields.u8()?;
    let tenant = fields.u32()?;
    let session = fields.u64()?;
    let time_left = fields.u32()?;
    let expected_work = fields.u32()?;
    let group = fields.f32()?;
    let write_age_ms = fields.f32()?;
    let flags = fields.u16()?;
    if usize::from(workload) >= workload_count {
        return Err(RecordError::UnknownWorkload {
            statement: id,
            workload,
        });
    }
    let has_expected_work = flags & HAS_EXPECTED_WORK != 0;
    let write_age = TimeSpan((f64::from(write_age_ms) * 1000.0) as u64);
    Ok(Statement {
        id,
        workload: workload.into(),
        tenant: tenant as usize,
        group: group as u32,
        session,
        is_client_retry: flags & IS_CLIENT_RETRY != 0,
        time_left: TimeSpan(time_left.into()),
        expected_work: has_expected_work.then_some(TimeSpan(expected_work.into())),
        prior_attempt: None,
        session_position: (write_age_ms > 0.0).then_some(RemoteTimestamp((now - write_age).0)),
    })
}

/// Decodes the end of an execution.
pub(crate) fn execution_end(
    fields: &mut FieldReader,
    decoding: &Decoding,
) -> Result<ExecutionEnd, RecordError> {
    let statement = fields.u32()?;
    let attempt = fields.u8()?;
    let member = fields.u32()?;
    let outcome = fields.u16()?;
    let latency = TimeSpan(fields.u32()?.into());
    let is_answered = fields.u8()? != 0;
    let status_bits = fields.u32()?;
    let report = load_report(fields, decoding)?;
    Ok(ExecutionEnd {
        statement,
        attempt,
        member,
        outcome: execution_outcome(outcome)?,
        latency,
        is_answered,
        status: answer_status(status_bits, decoding).merge(report),
    })
}

fn execution_outcome(code: u16) -> Result<ExecutionOutcome, RecordError> {
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
        other => return Err(RecordError::UnknownOutcome(other)),
    })
}

/// Decodes the status in a load report, where the position is in seconds.
pub(crate) fn load_report(
    fields: &mut FieldReader,
    decoding: &Decoding,
) -> Result<ReplicaStatus, RecordError> {
    let count = fields.u8()?;
    let mut values = Vec::new();
    for _ in 0..count {
        values.push(f64::from(fields.f32()?));
    }
    let value = |index: Option<usize>| values.get(index?).copied();
    // Rounds down to a whole millisecond, because the protocol's 32-bit floats may have rounded up.
    let milliseconds = |seconds: f64| (seconds * 1000.0 - 0.5).max(0.0) as u64;
    let seconds = value(decoding.position_field).filter(|seconds| *seconds > 0.0);
    let epoch = RemoteTimestamp(decoding.position_epoch.0);
    Ok(ReplicaStatus {
        position: seconds.map(|s| epoch + TimeSpan::millis(milliseconds(s))),
        is_position_current: false,
        is_primary: value(decoding.role_field).map(|role| role == 1.0),
    })
}

/// Decodes the status in an answer: the role in the lowest two bits, the position in milliseconds above.
fn answer_status(status_bits: u32, decoding: &Decoding) -> ReplicaStatus {
    let milliseconds = u64::from(status_bits / 4);
    let has_position = milliseconds > 0 && decoding.answers_carry_positions;
    let epoch = RemoteTimestamp(decoding.position_epoch.0);
    ReplicaStatus {
        position: has_position.then(|| epoch + TimeSpan::millis(milliseconds)),
        is_position_current: has_position,
        is_primary: match status_bits % 4 {
            1 => Some(true),
            2 => Some(false),
            _ => None,
        },
    }
}
