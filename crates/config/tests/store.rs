//! Generations on disk: a crash after any step, every kind of damage, and removal.

#![allow(clippy::type_complexity)] // Tables of cases.

use asterlatch_config::generation_files::{
    classify_files, decode, encode, file_name, generations_to_remove, parse_file_name, rollback_target,
    Damage, TEMPORARY_SUFFIX,
};
use asterlatch_config::resolved::hash;
use asterlatch_config::store::{GenerationStore, Step, STEPS};
use std::fs;
use std::path::Path;
use std::process::Command;

fn read_texts(store: &GenerationStore) -> Vec<(u64, Option<String>)> {
    let generations = store.read_all().expect("read the generations");
    generations
        .into_iter()
        .map(|s| (s.number, s.canonical.ok()))
        .collect()
}

fn intact(store: &GenerationStore) -> Vec<String> {
    read_texts(store)
        .into_iter()
        .filter_map(|(_, text)| text)
        .collect()
}

/// If this variable is set, the test is the child process that aborts after a step of storing.
const ABORT: &str = "ASTERLATCH_TEST_ABORT_BEHIND";

#[test]
fn store_aborted_after_any_step_leaves_intact_generation() {
    if let Ok(position) = std::env::var(ABORT) {
        let (folder, step) = position
            .split_once('|')
            .expect("the variable holds a folder and a step");
        let step: usize = step.parse().expect("the step is a number");
        let store = GenerationStore::open(Path::new(folder)).expect("open the store");
        let abort_at = |finished_step: Step| {
            if finished_step == STEPS[step] {
                std::process::abort();
            }
        };
        store
            .store(0, "new\n", 2, abort_at)
            .expect("store the generation");
        unreachable!("the process was aborted");
    }
    for (index, step) in STEPS.iter().enumerate() {
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let store = GenerationStore::open(folder.path()).expect("open the store");
        for text in ["oldest\n", "old\n"] {
            store.store(0, text, 2, |_| ()).expect("store the generation");
        }
        let mut child = Command::new(std::env::current_exe().expect("find the test executable"));
        child.args([
            "--exact",
            "store_aborted_after_any_step_leaves_intact_generation",
            "--nocapture",
        ]);
        child.env(ABORT, format!("{}|{index}", folder.path().display()));
        let output = child.output().expect("run the child process");
        assert!(
            !output.status.success(),
            "{step:?}: the child process was not aborted"
        );
        // The new generation counts from its rename on.
        let renamed = STEPS
            .iter()
            .position(|s| *s == Step::Renamed)
            .expect("the rename is a step");
        let newest = if index >= renamed { "new\n" } else { "old\n" };
        assert_eq!(intact(&store)[0], newest, "{step:?}");
        // The next start stores a generation and removes leftovers.
        store.store(0, "next\n", 2, |_| ()).expect("store the generation");
        assert_eq!(intact(&store), ["next\n", newest], "{step:?}");
        let remaining: Vec<_> = fs::read_dir(folder.path())
            .expect("list the folder")
            .map(|e| e.expect("read the folder entry").file_name())
            .collect();
        assert_eq!(remaining.len(), 2, "{step:?}: {remaining:?}");
    }
}

#[test]
fn decode_truncated_or_modified_generation_is_damaged() {
    let text = encode(7, "{\"a\": 1}\n");
    assert_eq!(decode(7, text.as_bytes()), Ok("{\"a\": 1}\n"));
    for position in 0..text.len() {
        assert!(
            decode(7, &text.as_bytes()[..position]).is_err(),
            "cut at {position}"
        );
        let mut changed = text.clone().into_bytes();
        changed[position] ^= 1;
        assert!(decode(7, &changed).is_err(), "changed at {position}");
    }
    #[rustfmt::skip]
    let cases: [(&[u8], Damage); 8] = [
        (b"", Damage::InvalidHeader), (b"\xff\xfe", Damage::NotUtf8),
        (b"asterlatch generation\n", Damage::InvalidHeader),
        (b"asterlatch generation x 1 a\nb", Damage::InvalidHeader),
        (b"asterlatch generation 8 1 a\nb", Damage::NumberMismatch),
        (b"asterlatch generation 7 2 a\nb", Damage::Truncated),
        (b"asterlatch generation 7 0 a\nb", Damage::TooLong),
        (b"asterlatch generation 7 1 a\nb", Damage::HashMismatch),
    ];
    for (bytes, damage) in cases {
        assert_eq!(
            decode(7, bytes),
            Err(damage),
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
}

#[test]
fn store_newer_generation_removes_damaged_ones() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let store = GenerationStore::open(folder.path()).expect("open the store");
    store
        .store(3, "three\n", 8, |_| ())
        .expect("store the generation");
    fs::write(folder.path().join(file_name(9)), "torn").expect("write a file");
    fs::write(
        folder.path().join(format!("{}{TEMPORARY_SUFFIX}", file_name(10))),
        "begun",
    )
    .expect("write a file");
    fs::write(folder.path().join("notes.txt"), "not ours").expect("write a file");
    assert_eq!(read_texts(&store), [(9, None), (3, Some("three\n".to_owned()))]);
    // A number is never reused, not even that of a damaged generation.
    assert_eq!(
        store.store(4, "ten\n", 8, |_| ()).expect("store the generation"),
        10
    );
    assert_eq!(read_texts(&store).len(), 2);
    assert!(folder.path().join("notes.txt").exists(), "other files stay");
}

#[test]
fn store_removes_generations_above_bound() {
    #[rustfmt::skip]
    let cases: [(&[(u64, bool)], usize, &[u64]); 6] = [
        (&[], 2, &[]), (&[(3, true), (2, true), (1, true)], 2, &[1]),
        (&[(4, false), (3, true), (2, false), (1, true)], 2, &[2]), (&[(3, false), (2, false)], 1, &[]),
        (&[(3, true), (2, true)], 0, &[2]), (&[(5, true), (4, false), (3, true), (2, true)], 1, &[4, 3, 2]),
    ];
    for (generations, max_generations, expected) in cases {
        assert_eq!(
            generations_to_remove(generations, max_generations),
            expected,
            "{generations:?}, {max_generations}"
        );
    }
    let folder = tempfile::tempdir().expect("create a temporary folder");
    let store = GenerationStore::open(folder.path()).expect("open the store");
    for index in 0..20 {
        store
            .store(0, &format!("{index}\n"), 3, |_| ())
            .expect("store the generation");
    }
    assert_eq!(intact(&store), ["19\n", "18\n", "17\n"]);
}

#[test]
fn rollback_target_counts_changes_not_stores() {
    let generation_list = |texts: &[&str]| -> Vec<(u64, String)> {
        let count = texts.len() as u64;
        texts
            .iter()
            .enumerate()
            .map(|(index, t)| (count - index as u64, hash(t)))
            .collect()
    };
    #[rustfmt::skip]
    let cases: [(&[&str], usize, Option<u64>); 8] = [
        (&[], 1, None), (&["a"], 1, None), (&["a", "b"], 1, Some(1)), (&["a", "a", "b"], 1, Some(1)),
        (&["a", "a"], 1, None), (&["a", "b", "a"], 2, Some(1)), (&["a", "b", "c"], 3, None),
        (&["a", "b"], 0, None),
    ];
    for (texts, steps, expected) in cases {
        assert_eq!(
            rollback_target(&generation_list(texts), steps),
            expected,
            "{texts:?} by {steps}"
        );
    }
}

#[test]
fn parse_file_name_accepts_only_generations() {
    assert_eq!(parse_file_name(&file_name(42)), Some(42));
    assert_eq!(parse_file_name(&file_name(u64::MAX)), Some(u64::MAX));
    for other in [
        "",
        "generation-.latch.json",
        "generation-1.latch.json",
        "x",
        "generation-99999999999999999999.latch.json",
    ] {
        assert_eq!(parse_file_name(other), None, "{other}");
    }
    let names = [
        file_name(2),
        "x".to_owned(),
        format!("{}{TEMPORARY_SUFFIX}", file_name(5)),
        file_name(11),
    ];
    let files = classify_files(names);
    assert_eq!((files.generations, files.temporary.len()), (vec![11, 2], 1));
}
