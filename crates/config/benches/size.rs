//! Asserts that time and peak memory of checking and comparing files grow linearly with the entries:
//! `make bench-config`. Byte counts are deterministic; times are compared only within a run.

use asterlatch_config::load::{read, LoadOutcome, MemorySource};
use asterlatch_config::resolved::changes;
use asterlatch_config::service_schema;
use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

struct CountingAllocator;
static CURRENT_BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is forwarded to the system allocator with the same arguments.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let now = CURRENT_BYTES.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK_BYTES.fetch_max(now, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }
    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        CURRENT_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const INCLUDES: usize = 50;
const RUNS: usize = 40;

fn files(entries: usize, timeout: usize) -> MemorySource {
    let mut files = BTreeMap::new();
    let mut root = String::new();
    for include in 0..INCLUDES {
        let name = format!("part{include}.latch");
        root.push_str(&format!("load(\"{name}\")\n"));
        let entry = |n: usize| {
            format!(
                "workload(\"workload-{n}\", timeout = {}ms, longest = 16KiB)\n",
                timeout + n
            )
        };
        let text: String = (include..entries).step_by(INCLUDES).map(entry).collect();
        files.insert(name, text.into_bytes());
    }
    files.insert("root.latch".to_owned(), root.into_bytes());
    MemorySource(files)
}

fn check(files: &MemorySource) -> LoadOutcome {
    let outcome = read(
        "root.latch",
        files,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    );
    assert!(outcome.settings.is_some(), "{}", outcome.render_diagnostics());
    outcome
}

/// Minimum time of [`RUNS`] runs, which excludes interference by other load.
fn min_duration(mut run: impl FnMut()) -> Duration {
    let measure = |_| {
        let start = Instant::now();
        run();
        start.elapsed()
    };
    (0..RUNS).map(measure).min().unwrap_or_default()
}

fn main() {
    let schema = service_schema::schema();
    println!("entries  check/entry  diff/entry  peak bytes/entry   (ratios to 1,000 entries)");
    let mut rows = Vec::new();
    for entries in [100, 1000, 10_000] {
        let (old, new) = (files(entries, 1000), files(entries, 2000));
        let before = CURRENT_BYTES.load(Ordering::Relaxed);
        PEAK_BYTES.store(before, Ordering::Relaxed);
        let outcome = check(&old);
        let peak = PEAK_BYTES.load(Ordering::Relaxed) - before;
        let (a, b) = (
            outcome.settings.expect("the files are valid"),
            check(&new).settings.expect("the files are valid"),
        );
        let checked = min_duration(|| drop(check(&old)));
        let compared = min_duration(|| assert_eq!(changes(&schema, &a, &b).len(), entries));
        let per_entry = |d: Duration| d.as_secs_f64() / entries as f64;
        rows.push((
            entries,
            per_entry(checked),
            per_entry(compared),
            peak as f64 / entries as f64,
            peak,
        ));
    }
    let base = rows[1];
    for (entries, checked, compared, bytes, peak) in &rows {
        println!(
            "{entries:>7}  {:>11.2}  {:>10.2}  {:>16.2}   peak {:.2} MiB",
            checked / base.1,
            compared / base.2,
            bytes / base.3,
            *peak as f64 / (1 << 20) as f64
        );
    }
    let (_, checked, compared, bytes, _) = rows[2];
    for (name, ratio) in [
        ("check", checked / base.1),
        ("diff", compared / base.2),
        ("memory", bytes / base.3),
    ] {
        assert!(
            ratio <= 1.5,
            "{name}: an entry of 10,000 costs {ratio:.2} times one of 1,000"
        );
    }
}
