//! Generations on a disk whose calls fail temporarily, and a kill or power failure at each call.

use asterlatch_config::generation_files;
use asterlatch_config::generation_writer::{GenerationWriter, INITIAL_BACKOFF, MAX_BACKOFF};
use asterlatch_config::store::{GenerationStore, StoreError};
use asterlatch_storage::memory::{Call, MemoryFileSystem, ProcessEnd, ALL_CALLS};
use std::path::{Path, PathBuf};

const FOLDER: &str = "/state";
const MAX_GENERATIONS: usize = 2;

fn path(number: u64) -> PathBuf {
    Path::new(FOLDER).join(generation_files::file_name(number))
}

fn store(disk: &MemoryFileSystem) -> GenerationStore<MemoryFileSystem> {
    GenerationStore::new(disk.clone(), Path::new(FOLDER))
}

/// A disk that holds generations 0 and 1.
fn disk_with_generations() -> MemoryFileSystem {
    let disk = MemoryFileSystem::default();
    for text in ["oldest\n", "old\n"] {
        store(&disk)
            .store(0, text, MAX_GENERATIONS, |_| ())
            .expect("store the generation");
    }
    disk
}

fn intact(disk: &MemoryFileSystem) -> Vec<(u64, String)> {
    let stored = store(disk).read_all().expect("read the generations");
    let intact = stored
        .into_iter()
        .filter_map(|generation| Some((generation.number, generation.canonical.ok()?)));
    intact.collect()
}

#[test]
fn store_with_unreadable_generation_keeps_it() {
    for errno in [libc::EIO, libc::EMFILE] {
        let disk = disk_with_generations();
        // A damaged one would be removed with a newer intact one.
        disk.fail_calls_on(Call::Read, &path(1), errno);
        let contents = store(&disk).contents().expect("read the folder");
        assert_eq!(contents.stored.len(), 1);
        assert_eq!(contents.unreadable[0].number, 1);
        assert_eq!(contents.newest_number(), 1, "its number is in use");
        assert!(
            store(&disk).read_all().is_err(),
            "an unreadable generation is an error"
        );
        assert_eq!(
            store(&disk)
                .store(0, "new\n", MAX_GENERATIONS, |_| ())
                .expect("store the generation"),
            2
        );
        disk.clear_fault();
        let expected = [
            (2, "new\n".to_owned()),
            (1, "old\n".to_owned()),
            (0, "oldest\n".to_owned()),
        ];
        assert_eq!(intact(&disk), expected);
        // Readable again, it counts towards the bound.
        store(&disk)
            .store(0, "next\n", MAX_GENERATIONS, |_| ())
            .expect("store the generation");
        assert_eq!(intact(&disk), [(3, "next\n".to_owned()), (2, "new\n".to_owned())]);
    }
}

#[test]
fn store_failed_folder_sync_leaves_generation_newest_and_pending() {
    let disk = disk_with_generations();
    let mut writer = GenerationWriter::new(store(&disk));
    disk.fail_calls(Call::SyncFolder, libc::EIO);
    let error = writer
        .store(2, "new\n".to_owned(), MAX_GENERATIONS)
        .expect_err("the folder sync fails");
    assert!(
        matches!(error, StoreError::NotDurable { number: 2, .. }),
        "{error}"
    );
    assert_eq!(
        intact(&disk)[0],
        (2, "new\n".to_owned()),
        "the next start uses the new generation"
    );
    assert_eq!(
        intact(&disk).len(),
        3,
        "older generations stay until it is durable"
    );
    disk.clear_fault();
    assert_eq!(
        writer
            .retry()
            .expect("a generation is pending")
            .expect("store the generation"),
        2,
        "the retry reuses the number"
    );
    assert_eq!(writer.retry_backoff(), None);
    let expected = [(2, "new\n".to_owned()), (1, "old\n".to_owned())];
    assert_eq!(intact(&disk), expected);
    // Removals aren't synced, so an older generation may reappear; the next store removes it.
    disk.restart(ProcessEnd::PowerFailure);
    assert_eq!(intact(&disk)[..MAX_GENERATIONS], expected);
}

#[test]
fn retry_on_repaired_disk_stores_pending_generation() {
    for call in ALL_CALLS {
        for errno in [libc::ENOSPC, libc::EIO] {
            let disk = disk_with_generations();
            let mut writer = GenerationWriter::new(store(&disk));
            disk.fail_calls(call, errno);
            let first = writer.store(2, "new\n".to_owned(), MAX_GENERATIONS);
            let mut backoffs: Vec<_> = writer.retry_backoff().into_iter().collect();
            for _ in 0..9 {
                let Some(_) = writer.retry() else { break };
                backoffs.extend(writer.retry_backoff());
            }
            assert!(
                backoffs.is_sorted()
                    && backoffs
                        .iter()
                        .all(|p| (INITIAL_BACKOFF..=MAX_BACKOFF).contains(p))
            );
            // Whatever the result was, a start finds only intact generations.
            disk.clear_fault();
            let before = intact(&disk);
            match &first {
                Err(StoreError::NotStored(_)) => assert_eq!(before[0].1, "old\n", "{call:?}"),
                _ => assert_eq!(before[0], (2, "new\n".to_owned()), "{call:?}"),
            }
            if let Some(again) = writer.retry() {
                assert_eq!(again.expect("store the generation"), 2, "{call:?}");
            }
            disk.restart(ProcessEnd::PowerFailure);
            assert_eq!(intact(&disk)[0], (2, "new\n".to_owned()), "{call:?} {errno}");
        }
    }
}

#[test]
fn store_interrupted_at_any_call_leaves_intact_generation() {
    for interruption in [ProcessEnd::Kill, ProcessEnd::PowerFailure] {
        for call_number in 1.. {
            let disk = disk_with_generations();
            disk.kill_at_call(call_number);
            let result = store(&disk).store(2, "new\n", MAX_GENERATIONS, |_| ());
            let was_killed = disk.call_count() >= call_number;
            disk.restart(interruption);
            let newest = intact(&disk)[0].clone();
            if result.is_ok() {
                assert_eq!(
                    newest,
                    (2, "new\n".to_owned()),
                    "{interruption:?} at {call_number}"
                );
            }
            assert!(
                ["new\n", "old\n"].contains(&newest.1.as_str()),
                "{interruption:?} at {call_number}"
            );
            // The next start stores a generation and removes leftovers.
            store(&disk)
                .store(0, "next\n", MAX_GENERATIONS, |_| ())
                .expect("store the generation");
            assert_eq!(intact(&disk)[0].1, "next\n", "{interruption:?} at {call_number}");
            assert_eq!(
                intact(&disk).len(),
                MAX_GENERATIONS,
                "{interruption:?} at {call_number}"
            );
            if !was_killed {
                assert!(call_number > 8, "only {call_number} calls were tried");
                break;
            }
        }
    }
}
