//! How often connections break at their next use, by how long they sat idle. Machines, and what stands between, may
//! forget idle connections long before the settings say so, and give no sign until something is written.

use asterlatch::time::{TimeSpan, Timestamp};

/// Idle times are told apart by powers of two, from this on.
const FIRST: TimeSpan = TimeSpan::millis(16);
const KINDS: usize = 12;
/// What was seen counts half after this.
const HALVED: TimeSpan = TimeSpan::millis(5000);
/// Uses that make a share worth believing, the share of breaks that is too much, and how many times the share of
/// connections that hardly sat idle that must be: breaks that have other causes are no reason to open new ones.
const ENOUGH: f64 = 8.0;
const TOO_MUCH: f64 = 0.2;
const TIMES: f64 = 2.0;

#[derive(Clone, Debug, Default)]
pub struct Ages {
    used: [f64; KINDS],
    broke: [f64; KINDS],
    at: Timestamp,
}

impl Ages {
    pub fn note(&mut self, now: Timestamp, idle: TimeSpan, broke: bool) {
        let kept = 0.5f64.powf((now - self.at).ratio(HALVED));
        self.at = now;
        self.used
            .iter_mut()
            .chain(&mut self.broke)
            .for_each(|n| *n *= kept);
        let kind = ((idle.0 / FIRST.0 + 1).ilog2() as usize).min(KINDS - 1);
        self.used[kind] += 1.0;
        self.broke[kind] += f64::from(u8::from(broke));
    }

    /// The idle time from which on connections break too often.
    pub fn limit(&self) -> Option<TimeSpan> {
        let share = |kind: usize| self.broke[kind] / self.used[kind].max(1.0);
        let bears = TOO_MUCH.max(share(0) * TIMES);
        let bad = |kind: &usize| self.used[*kind] >= ENOUGH && share(*kind) > bears;
        let found = (1..KINDS).find(bad)?;
        Some(TimeSpan(FIRST.0 * ((1 << found) - 1)))
    }
}
