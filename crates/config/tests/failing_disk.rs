//! Generations on a disk that fails for a while, at each of its calls, and a kill or a power failure at each.

use asterlatch_config::generation_files;
use asterlatch_config::generation_writer::{GenerationWriter, INITIAL_BACKOFF, MAX_BACKOFF};
use asterlatch_config::store::{GenerationStore, StoreError};
use asterlatch_storage::memory::{Call, MemoryFileSystem, ProcessEnd, ALL_CALLS};
use std::path::{Path, PathBuf};

const FOLDER: &str = "/state";
const MOST: usize = 2;

fn path(number: u64) -> PathBuf {
    Path::new(FOLDER).join(generation_files::file_name(number))
}

fn store(disk: &MemoryFileSystem) -> GenerationStore<MemoryFileSystem> {
    GenerationStore::new(disk.clone(), Path::new(FOLDER))
}

/// A disk that holds generations 0 and 1.
fn disk() -> MemoryFileSystem {
    let disk = MemoryFileSystem::default();
    for text in ["oldest\n", "old\n"] {
        store(&disk).store(0, text, MOST, |_| ()).expect("stores");
    }
    disk
}

fn whole(disk: &MemoryFileSystem) -> Vec<(u64, String)> {
    let all = store(disk).read_all().expect("is read");
    let whole = all
        .into_iter()
        .filter_map(|one| Some((one.number, one.canonical.ok()?)));
    whole.collect()
}

#[test]
fn unreadable_generation_is_neither_damaged_nor_removed() {
    for errno in [libc::EIO, libc::EMFILE] {
        let disk = disk();
        // Were it damaged, a newer whole one would let it go.
        disk.fail_calls_on(Call::Read, &path(1), errno);
        let contents = store(&disk).contents().expect("the folder is read");
        assert_eq!(contents.stored.len(), 1);
        assert_eq!(contents.unreadable[0].number, 1);
        assert_eq!(contents.newest_number(), 1, "its number is given away");
        assert!(store(&disk).read_all().is_err(), "it isn't passed over unsaid");
        assert_eq!(store(&disk).store(0, "new\n", MOST, |_| ()).expect("stores"), 2);
        disk.clear_fault();
        let expected = [
            (2, "new\n".to_owned()),
            (1, "old\n".to_owned()),
            (0, "oldest\n".to_owned()),
        ];
        assert_eq!(whole(&disk), expected);
        // Read again, it counts again.
        store(&disk).store(0, "next\n", MOST, |_| ()).expect("stores");
        assert_eq!(whole(&disk), [(3, "next\n".to_owned()), (2, "new\n".to_owned())]);
    }
}

#[test]
fn failed_folder_sync_leaves_the_generation_in_force_and_owed() {
    let disk = disk();
    let mut writer = GenerationWriter::new(store(&disk));
    disk.fail_calls(Call::SyncFolder, libc::EIO);
    let error = writer
        .store(2, "new\n".to_owned(), MOST)
        .expect_err("isn't durable");
    assert!(
        matches!(error, StoreError::NotDurable { number: 2, .. }),
        "{error}"
    );
    assert_eq!(whole(&disk)[0], (2, "new\n".to_owned()), "the next start uses it");
    assert_eq!(whole(&disk).len(), 3, "nothing older goes before it is durable");
    disk.clear_fault();
    assert_eq!(
        writer.retry().expect("is pending").expect("stores"),
        2,
        "no second number"
    );
    assert_eq!(writer.retry_backoff(), None);
    let expected = [(2, "new\n".to_owned()), (1, "old\n".to_owned())];
    assert_eq!(whole(&disk), expected);
    // A removal isn't synced: what comes back is older, and goes with the next.
    disk.restart(ProcessEnd::PowerFailure);
    assert_eq!(whole(&disk)[..MOST], expected);
}

#[test]
fn generation_is_stored_again_once_the_disk_works() {
    for call in ALL_CALLS {
        for errno in [libc::ENOSPC, libc::EIO] {
            let disk = disk();
            let mut writer = GenerationWriter::new(store(&disk));
            disk.fail_calls(call, errno);
            let first = writer.store(2, "new\n".to_owned(), MOST);
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
            // Whatever was told, a start on what is there finds whole generations alone.
            disk.clear_fault();
            let before = whole(&disk);
            match &first {
                Err(StoreError::NotStored(_)) => assert_eq!(before[0].1, "old\n", "{call:?}"),
                _ => assert_eq!(before[0], (2, "new\n".to_owned()), "{call:?}"),
            }
            if let Some(again) = writer.retry() {
                assert_eq!(again.expect("stores"), 2, "{call:?}");
            }
            disk.restart(ProcessEnd::PowerFailure);
            assert_eq!(whole(&disk)[0], (2, "new\n".to_owned()), "{call:?} {errno}");
        }
    }
}

#[test]
fn kill_or_power_failure_at_any_call_leaves_a_whole_generation() {
    for end in [ProcessEnd::Kill, ProcessEnd::PowerFailure] {
        for at in 1.. {
            let disk = disk();
            disk.kill_at_call(at);
            let result = store(&disk).store(2, "new\n", MOST, |_| ());
            let was_killed = disk.call_count() >= at;
            disk.restart(end);
            let newest = whole(&disk)[0].clone();
            if result.is_ok() {
                assert_eq!(newest, (2, "new\n".to_owned()), "{end:?} at {at}");
            }
            assert!(["new\n", "old\n"].contains(&newest.1.as_str()), "{end:?} at {at}");
            // The next start stores as ever, and cleans up.
            store(&disk).store(0, "next\n", MOST, |_| ()).expect("stores");
            assert_eq!(whole(&disk)[0].1, "next\n", "{end:?} at {at}");
            assert_eq!(whole(&disk).len(), MOST, "{end:?} at {at}");
            if !was_killed {
                assert!(at > 8, "only {at} calls were tried");
                break;
            }
        }
    }
}
