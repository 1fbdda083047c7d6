//! Generations on disk: a stop between any two steps, damage of every kind, and what is let go.

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

fn texts(store: &GenerationStore) -> Vec<(u64, Option<String>)> {
    let all = store.read_all().expect("can be read");
    all.into_iter().map(|s| (s.number, s.canonical.ok())).collect()
}

fn whole(store: &GenerationStore) -> Vec<String> {
    texts(store).into_iter().filter_map(|(_, text)| text).collect()
}

/// Where this variable is set the test is a process that stores and is aborted behind a step.
const ABORT: &str = "ASTERLATCH_TEST_ABORT_BEHIND";

#[test]
fn an_abort_behind_any_step_leaves_a_whole_generation() {
    if let Ok(at) = std::env::var(ABORT) {
        let (folder, step) = at.split_once('|').expect("folder and step");
        let step: usize = step.parse().expect("a number");
        let store = GenerationStore::open(Path::new(folder)).expect("opens");
        let stop = |done: Step| {
            if done == STEPS[step] {
                std::process::abort();
            }
        };
        store.store(0, "new\n", 2, stop).expect("stores");
        unreachable!("it was aborted");
    }
    for (n, step) in STEPS.iter().enumerate() {
        let folder = tempfile::tempdir().expect("a folder");
        let store = GenerationStore::open(folder.path()).expect("opens");
        for text in ["oldest\n", "old\n"] {
            store.store(0, text, 2, |_| ()).expect("stores");
        }
        let mut child = Command::new(std::env::current_exe().expect("is known"));
        child.args([
            "--exact",
            "an_abort_behind_any_step_leaves_a_whole_generation",
            "--nocapture",
        ]);
        child.env(ABORT, format!("{}|{n}", folder.path().display()));
        let output = child.output().expect("runs");
        assert!(!output.status.success(), "{step:?}: it was not aborted");
        // It counts from the rename on, and not before.
        let renamed = STEPS.iter().position(|s| *s == Step::Renamed).expect("is a step");
        let newest = if n >= renamed { "new\n" } else { "old\n" };
        assert_eq!(whole(&store)[0], newest, "{step:?}");
        // The next start stores as ever, and cleans up.
        store.store(0, "next\n", 2, |_| ()).expect("stores");
        assert_eq!(whole(&store), ["next\n", newest], "{step:?}");
        let left: Vec<_> = fs::read_dir(folder.path())
            .expect("lists")
            .map(|e| e.expect("is there").file_name())
            .collect();
        assert_eq!(left.len(), 2, "{step:?}: {left:?}");
    }
}

#[test]
fn a_generation_cut_or_changed_at_any_byte_is_known_for_damaged() {
    let text = encode(7, "{\"a\": 1}\n");
    assert_eq!(decode(7, text.as_bytes()), Ok("{\"a\": 1}\n"));
    for at in 0..text.len() {
        assert!(decode(7, &text.as_bytes()[..at]).is_err(), "cut at {at}");
        let mut changed = text.clone().into_bytes();
        changed[at] ^= 1;
        assert!(decode(7, &changed).is_err(), "changed at {at}");
    }
    #[rustfmt::skip]
    let cases: [(&[u8], Damage); 8] = [
        (b"", Damage::NoHeader), (b"\xff\xfe", Damage::NotText), (b"asterlatch generation\n", Damage::NoHeader),
        (b"asterlatch generation x 1 a\nb", Damage::NoHeader), (b"asterlatch generation 8 1 a\nb", Damage::OtherNumber),
        (b"asterlatch generation 7 2 a\nb", Damage::CutShort), (b"asterlatch generation 7 0 a\nb", Damage::TooLong),
        (b"asterlatch generation 7 1 a\nb", Damage::OtherHash),
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
fn damaged_ones_are_passed_over_and_go_once_a_whole_one_is_newer() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = GenerationStore::open(folder.path()).expect("opens");
    store.store(3, "three\n", 8, |_| ()).expect("stores");
    fs::write(folder.path().join(file_name(9)), "torn").expect("writes");
    fs::write(
        folder.path().join(format!("{}{TEMPORARY_SUFFIX}", file_name(10))),
        "begun",
    )
    .expect("writes");
    fs::write(folder.path().join("notes.txt"), "not ours").expect("writes");
    assert_eq!(texts(&store), [(9, None), (3, Some("three\n".to_owned()))]);
    // A number is never given twice, also not that of a damaged one.
    assert_eq!(store.store(4, "ten\n", 8, |_| ()).expect("stores"), 10);
    assert_eq!(texts(&store).len(), 2);
    assert!(folder.path().join("notes.txt").exists(), "what is not ours stays");
}

#[test]
fn only_so_many_are_kept() {
    #[rustfmt::skip]
    let cases: [(&[(u64, bool)], usize, &[u64]); 6] = [
        (&[], 2, &[]), (&[(3, true), (2, true), (1, true)], 2, &[1]),
        (&[(4, false), (3, true), (2, false), (1, true)], 2, &[2]), (&[(3, false), (2, false)], 1, &[]),
        (&[(3, true), (2, true)], 0, &[2]), (&[(5, true), (4, false), (3, true), (2, true)], 1, &[4, 3, 2]),
    ];
    for (all, max_generations, gone) in cases {
        assert_eq!(
            generations_to_remove(all, max_generations),
            gone,
            "{all:?}, {max_generations}"
        );
    }
    let folder = tempfile::tempdir().expect("a folder");
    let store = GenerationStore::open(folder.path()).expect("opens");
    for n in 0..20 {
        store.store(0, &format!("{n}\n"), 3, |_| ()).expect("stores");
    }
    assert_eq!(whole(&store), ["19\n", "18\n", "17\n"]);
}

#[test]
fn going_back_counts_changes_and_not_stores() {
    let row = |texts: &[&str]| -> Vec<(u64, String)> {
        let count = texts.len() as u64;
        texts
            .iter()
            .enumerate()
            .map(|(n, t)| (count - n as u64, hash(t)))
            .collect()
    };
    #[rustfmt::skip]
    let cases: [(&[&str], usize, Option<u64>); 8] = [
        (&[], 1, None), (&["a"], 1, None), (&["a", "b"], 1, Some(1)), (&["a", "a", "b"], 1, Some(1)),
        (&["a", "a"], 1, None), (&["a", "b", "a"], 2, Some(1)), (&["a", "b", "c"], 3, None), (&["a", "b"], 0, None),
    ];
    for (texts, steps, expected) in cases {
        assert_eq!(
            rollback_target(&row(texts), steps),
            expected,
            "{texts:?} by {steps}"
        );
    }
}

#[test]
fn names_tell_numbers_and_nothing_else_does() {
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
