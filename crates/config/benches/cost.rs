//! Time and allocations of checking and comparing files with 100, 1,000 and 10,000 entries in 50 includes:
//! `cargo bench -p asterlatch-config --bench cost`. The `size` benchmark asserts the bound on the cost of an
//! entry.

use asterlatch_config::load::{read, MemorySource};
use asterlatch_config::resolved::{changes, ResolvedSettings};
use asterlatch_config::service_schema;
use divan::{AllocProfiler, Bencher};
use std::collections::BTreeMap;

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

const INCLUDES: usize = 50;
const ENTRIES: [usize; 3] = [100, 1000, 10_000];

fn main() {
    divan::main();
}

fn files(entries: usize, timeout: usize) -> MemorySource {
    let entry = |n: usize| {
        format!(
            "workload(\"workload-{n}\", timeout = {}ms, longest = 16KiB)\n",
            timeout + n
        )
    };
    let part = |i: usize| {
        (
            format!("part{i}.latch"),
            (i..entries).step_by(INCLUDES).map(entry).collect::<String>(),
        )
    };
    let mut files: BTreeMap<_, _> = (0..INCLUDES)
        .map(part)
        .map(|(n, t)| (n, t.into_bytes()))
        .collect();
    let root: String = (0..INCLUDES)
        .map(|i| format!("load(\"part{i}.latch\")\n"))
        .collect();
    files.insert("root.latch".to_owned(), root.into_bytes());
    MemorySource(files)
}

fn resolve(files: &MemorySource) -> ResolvedSettings {
    let outcome = read(
        "root.latch",
        files,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    );
    outcome.settings.expect("the files are valid")
}

#[divan::bench(args = ENTRIES, sample_count = 20)]
fn check(bencher: Bencher, entries: usize) {
    let files = files(entries, 1000);
    bencher.bench_local(|| resolve(&files));
}

#[divan::bench(args = ENTRIES, sample_count = 20)]
fn diff(bencher: Bencher, entries: usize) {
    let schema = service_schema::schema();
    let (old, new) = (resolve(&files(entries, 1000)), resolve(&files(entries, 2000)));
    bencher.bench_local(|| changes(&schema, &old, &new));
}
