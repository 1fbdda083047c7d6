//! Deadlines of the predecessor's state machine.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_handover::message::{HandoverMessage, VERSION};
use asterlatch_handover::predecessor::{Action, Event, Predecessor, Timeouts};

/// Guards against a predecessor that was held up, and kills a successor whose message had arrived before the deadline.
#[test]
fn timer_elapsed_late_reads_message_before_deadline_decides() {
    // The messages of a successor, in order; each phase waits for one of them.
    let messages = [
        HandoverMessage::Hello { version: VERSION },
        HandoverMessage::Ready,
        HandoverMessage::CommitAcknowledged,
        HandoverMessage::ProbationPassed,
    ];
    let read_grace = Timeouts::default().read_grace;
    for late in 0..messages.len() {
        let mut predecessor = Predecessor::new(Timeouts::default());
        predecessor.on_event(Timestamp(0), Event::UpgradeRequested);
        for message in &messages[..late] {
            predecessor.on_event(Timestamp(0), Event::Message(message.clone()));
        }
        let held_up_until = Timestamp(0) + TimeSpan::millis(60_000);
        let mut hung = predecessor.clone();
        for process in [&mut predecessor, &mut hung] {
            let actions = process.on_event(held_up_until, Event::TimerElapsed);
            assert!(!actions.contains(&Action::KillSuccessor), "{late}");
        }
        let phase = predecessor.phase;
        predecessor.on_event(held_up_until, Event::Message(messages[late].clone()));
        assert_ne!(predecessor.phase, phase, "{late}: the handover continues");
        // A successor that has sent nothing is killed behind the grace, not later.
        let before = held_up_until + read_grace - TimeSpan(1);
        let actions = hung.on_event(before, Event::TimerElapsed);
        assert!(!actions.contains(&Action::KillSuccessor), "{late}");
        let actions = hung.on_event(held_up_until + read_grace, Event::TimerElapsed);
        assert!(actions.contains(&Action::KillSuccessor), "{late}");
    }
}
