//! Files that an earlier build wrote: what they mean stays, and the same values give the same bytes.
//!
//! `cargo test -p asterlatch-config --test fixtures -- --ignored` writes the fixtures anew from the build as it is.

use asterlatch::time::{TimeSpan, Timestamp};
use asterlatch_config::generation_files::{encode, Damage, TEMPORARY_SUFFIX};
use asterlatch_config::generations::{Command, Decision, Difference, Generation, Generations, ReadOutcome};
use asterlatch_config::load::{read, FolderSource};
use asterlatch_config::probation::ProbationCriteria;
use asterlatch_config::resolved::{changes, hash, ResolvedSettings};
use asterlatch_config::service_schema;
use asterlatch_config::store::GenerationStore;
use std::fs;
use std::path::{Path, PathBuf};

/// The settings of the fixture, and what they resolve to as text.
const EVERY_SETTING: &str = "every-setting.latch";
const EVERY_SETTING_RESOLVED: &str = "every-setting.json";
const GENERATIONS: &str = "generations";
/// Generations that the store keeps.
const MOST_GENERATIONS: usize = 8;
const DAMAGED: &str = "generation-00000000000000000006.latch.json";
const NEVER_ENDED: &str = "generation-00000000000000000007.latch.json";

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn text(name: &str) -> String {
    fs::read_to_string(fixtures().join(name)).expect("the fixture is there")
}

/// What the file with every setting comes to.
fn resolved() -> ResolvedSettings {
    let path = fixtures().join(EVERY_SETTING);
    let (folder, name) = FolderSource::containing(path.to_str().expect("is text"));
    let outcome = read(
        &name,
        &folder,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    );
    assert_eq!(outcome.render_diagnostics(), "", "no error and no warning");
    outcome.settings.expect("is valid")
}

/// The meanings of the stored generations, oldest first, each with its number.
fn stored_meanings() -> [(u64, String); 3] {
    let schema = service_schema::schema();
    let all_default = ResolvedSettings::defaults(&schema).canonical(&schema);
    let every_setting = resolved().canonical(&schema);
    [(3, all_default.clone()), (4, every_setting), (5, all_default)]
}

fn store_generations(folder: &Path) {
    let store = GenerationStore::open(folder).expect("opens");
    for (number, canonical) in stored_meanings() {
        let stored = store.store(number, &canonical, MOST_GENERATIONS, |_| ());
        assert_eq!(stored.expect("stores"), number);
    }
}

#[test]
#[ignore = "writes the fixtures"]
fn write_fixtures() {
    let schema = service_schema::schema();
    let canonical = resolved().canonical(&schema);
    fs::write(fixtures().join(EVERY_SETTING_RESOLVED), &canonical).expect("is written");
    let folder = fixtures().join(GENERATIONS);
    let _ = fs::remove_dir_all(&folder);
    store_generations(&folder);
    let whole = encode(6, &canonical).into_bytes();
    fs::write(folder.join(DAMAGED), &whole[..whole.len() / 2]).expect("is written");
    let never_ended = folder.join(format!("{NEVER_ENDED}{TEMPORARY_SUFFIX}"));
    fs::write(never_ended, &whole[..100]).expect("is written");
}

#[test]
fn every_setting_is_stated_and_differs_from_its_default() {
    let schema = service_schema::schema();
    let (settings, default) = (resolved(), ResolvedSettings::defaults(&schema));
    let stated: Vec<String> = changes(&schema, &default, &settings)
        .iter()
        .map(|change| schema.format_path(&change.path))
        .collect();
    for section in &schema.sections {
        for row in section.settings {
            let is_stated = stated
                .iter()
                .any(|path| path.starts_with(section.name) && path.ends_with(&format!(".{}", row.name)));
            assert!(is_stated, "{}.{} is not in {stated:?}", section.name, row.name);
        }
    }
    assert_eq!(stated.len(), 55, "{stated:?}");
}

#[test]
fn every_setting_resolves_to_the_same_text() {
    let schema = service_schema::schema();
    let canonical = text(EVERY_SETTING_RESOLVED);
    assert_eq!(resolved().canonical(&schema), canonical);
    let (read_again, left_out) = ResolvedSettings::from_canonical(&schema, &canonical).expect("is read");
    assert_eq!(left_out, Vec::<String>::new());
    assert_eq!(read_again, resolved());
    assert_eq!(read_again.canonical(&schema), canonical);
}

#[test]
fn hash_of_every_setting_stays() {
    assert_eq!(hash(&text(EVERY_SETTING_RESOLVED)), EVERY_SETTING_HASH);
}

#[test]
fn drivers_of_every_setting_stay() {
    let schema = service_schema::schema();
    let configured_peers: Vec<_> = service_schema::configured_peers(&schema, &resolved())
        .into_iter()
        .map(|driver| (driver.name, driver.address.to_string(), driver.receives_inquiries))
        .collect();
    let expected = [
        ("b".to_owned(), "10.0.0.2:7947".to_owned(), true),
        ("c".to_owned(), "10.0.0.3:7948".to_owned(), false),
    ];
    assert_eq!(configured_peers, expected);
}

#[test]
fn stored_generations_are_read_newest_first() {
    let store = GenerationStore::open(&fixtures().join(GENERATIONS)).expect("opens");
    let all = store.read_all().expect("is read");
    let found: Vec<_> = all
        .iter()
        .map(|stored| (stored.number, stored.canonical.clone()))
        .collect();
    let mut expected = vec![(6, Err(Damage::CutShort))];
    let whole = stored_meanings().into_iter().rev();
    expected.extend(whole.map(|(number, canonical)| (number, Ok(canonical))));
    assert_eq!(found, expected);
    assert_eq!(all[2].hash().as_deref(), Some(EVERY_SETTING_HASH));
}

#[test]
fn generations_stored_again_give_the_same_bytes() {
    let folder = tempfile::tempdir().expect("a folder");
    store_generations(folder.path());
    let mut names: Vec<_> = fs::read_dir(folder.path())
        .expect("lists")
        .map(|entry| entry.expect("is there").file_name())
        .collect();
    names.sort();
    assert_eq!(names.len(), stored_meanings().len());
    for name in names {
        let before = fs::read(fixtures().join(GENERATIONS).join(&name)).expect("the fixture is there");
        let now = fs::read(folder.path().join(&name)).expect("was stored");
        assert!(before == now, "{name:?} has other bytes than before");
    }
}

/// A process that finds the folder goes on behind all numbers in it, and clears away what no use is left for.
#[test]
fn a_folder_of_an_earlier_build_is_gone_on_with() {
    let folder = tempfile::tempdir().expect("a folder");
    for entry in fs::read_dir(fixtures().join(GENERATIONS)).expect("lists") {
        let entry = entry.expect("is there");
        fs::copy(entry.path(), folder.path().join(entry.file_name())).expect("is copied");
    }
    let schema = service_schema::schema();
    let store = GenerationStore::open(folder.path()).expect("opens");
    let newest = store
        .read_all()
        .expect("is read")
        .into_iter()
        .find(|s| s.canonical.is_ok());
    let newest = newest.expect("one is whole");
    let canonical = newest.canonical.clone().expect("is whole");
    let (settings, _) = ResolvedSettings::from_canonical(&schema, &canonical).expect("is read");
    let mut generations = Generations::new(
        newest.number,
        hash(&canonical),
        settings,
        |_, _| Difference::default(),
        |_| NO_PROBATION,
    );
    let ticket = generations.begin_read();
    let next = resolved();
    let hash = hash(&next.canonical(&schema));
    let read = ReadOutcome::Valid {
        hash: hash.clone(),
        settings: next.clone(),
    };
    let commands = generations.on_read(Timestamp(0) + TimeSpan::millis(1), ticket, read);
    let kept = Generation {
        number: 6,
        hash,
        settings: next.clone(),
    };
    let in_force = Decision::Applied {
        number: 6,
        live: 0,
        at_next_start: 0,
    };
    let expected = vec![
        Command::Apply(next.clone()),
        Command::Report(in_force),
        Command::Store(kept),
        Command::Report(Decision::Confirmed { number: 6 }),
    ];
    assert_eq!(commands, expected);
    // Number 6 is the damaged one's, so that the store gives the next.
    let stored = store.store(6, &next.canonical(&schema), MOST_GENERATIONS, |_| ());
    assert_eq!(stored.expect("stores"), 7);
    let numbers: Vec<_> = store
        .read_all()
        .expect("is read")
        .iter()
        .map(|s| s.number)
        .collect();
    assert_eq!(numbers, [7, 5, 4, 3]);
    let left = fs::read_dir(folder.path()).expect("lists").count();
    assert_eq!(left, 4, "what was damaged and what was never ended is gone");
}

const NO_PROBATION: ProbationCriteria = ProbationCriteria {
    probation: TimeSpan(0),
    margin: 0.02,
    min_rejections: 20,
};

/// Stands in generations, in the log and in what operators compare.
const EVERY_SETTING_HASH: &str = "c48bf9249b49323f1de736ae0bf566124eef3d3eac7e1cac8c8f5fe370ff63cc";
