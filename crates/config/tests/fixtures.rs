//! Fixtures of an earlier build: their settings stay the same, and equal settings give the same bytes.
//!
//! `cargo test -p asterlatch-config --test fixtures -- --ignored` rewrites the fixtures with the current
//! build.

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

/// A file that sets every setting, and its resolved settings in canonical form.
const EVERY_SETTING: &str = "every-setting.latch";
const EVERY_SETTING_RESOLVED: &str = "every-setting.json";
const GENERATIONS: &str = "generations";
/// Bound on the stored generations.
const MAX_GENERATIONS: usize = 8;
const DAMAGED: &str = "generation-00000000000000000006.latch.json";
const INTERRUPTED_WRITE: &str = "generation-00000000000000000007.latch.json";

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn fixture_text(name: &str) -> String {
    fs::read_to_string(fixtures().join(name)).expect("read the fixture")
}

/// Resolved settings of the file with every setting.
fn resolved() -> ResolvedSettings {
    let path = fixtures().join(EVERY_SETTING);
    let (folder, name) = FolderSource::containing(path.to_str().expect("the path is UTF-8"));
    let outcome = read(
        &name,
        &folder,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    );
    assert_eq!(outcome.render_diagnostics(), "", "no error and no warning");
    outcome.settings.expect("the fixture is valid")
}

/// Numbers and canonical texts of the stored generations, oldest first.
fn stored_settings() -> [(u64, String); 3] {
    let schema = service_schema::schema();
    let all_default = ResolvedSettings::defaults(&schema).canonical(&schema);
    let every_setting = resolved().canonical(&schema);
    [(3, all_default.clone()), (4, every_setting), (5, all_default)]
}

fn store_generations(folder: &Path) {
    let store = GenerationStore::open(folder).expect("open the store");
    for (number, canonical) in stored_settings() {
        let stored = store.store(number, &canonical, MAX_GENERATIONS, |_| ());
        assert_eq!(stored.expect("store the generation"), number);
    }
}

#[test]
#[ignore = "writes the fixtures"]
fn write_fixtures() {
    let schema = service_schema::schema();
    let canonical = resolved().canonical(&schema);
    fs::write(fixtures().join(EVERY_SETTING_RESOLVED), &canonical).expect("write the fixture");
    let folder = fixtures().join(GENERATIONS);
    let _ = fs::remove_dir_all(&folder);
    store_generations(&folder);
    let intact = encode(6, &canonical).into_bytes();
    fs::write(folder.join(DAMAGED), &intact[..intact.len() / 2]).expect("write the fixture");
    let interrupted_write = folder.join(format!("{INTERRUPTED_WRITE}{TEMPORARY_SUFFIX}"));
    fs::write(interrupted_write, &intact[..100]).expect("write the fixture");
}

#[test]
fn every_setting_file_overrides_all_defaults() {
    let schema = service_schema::schema();
    let (settings, default) = (resolved(), ResolvedSettings::defaults(&schema));
    let set_paths: Vec<String> = changes(&schema, &default, &settings)
        .iter()
        .map(|change| schema.format_path(&change.path))
        .collect();
    for section in &schema.sections {
        for row in section.settings {
            let is_set = set_paths
                .iter()
                .any(|path| path.starts_with(section.name) && path.ends_with(&format!(".{}", row.name)));
            assert!(is_set, "{}.{} is not in {set_paths:?}", section.name, row.name);
        }
    }
    assert_eq!(set_paths.len(), 55, "{set_paths:?}");
}

#[test]
fn canonical_every_setting_equals_fixture() {
    let schema = service_schema::schema();
    let canonical = fixture_text(EVERY_SETTING_RESOLVED);
    assert_eq!(resolved().canonical(&schema), canonical);
    let (reloaded, left_out) =
        ResolvedSettings::from_canonical(&schema, &canonical).expect("read the settings");
    assert_eq!(left_out, Vec::<String>::new());
    assert_eq!(reloaded, resolved());
    assert_eq!(reloaded.canonical(&schema), canonical);
}

#[test]
fn hash_every_setting_equals_fixture() {
    assert_eq!(hash(&fixture_text(EVERY_SETTING_RESOLVED)), EVERY_SETTING_HASH);
}

#[test]
fn configured_peers_every_setting_are_expected() {
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
fn read_all_fixture_generations_newest_first() {
    let store = GenerationStore::open(&fixtures().join(GENERATIONS)).expect("open the store");
    let all = store.read_all().expect("read the settings");
    let stored: Vec<_> = all
        .iter()
        .map(|stored| (stored.number, stored.canonical.clone()))
        .collect();
    let mut expected = vec![(6, Err(Damage::Truncated))];
    let intact = stored_settings().into_iter().rev();
    expected.extend(intact.map(|(number, canonical)| (number, Ok(canonical))));
    assert_eq!(stored, expected);
    assert_eq!(all[2].hash().as_deref(), Some(EVERY_SETTING_HASH));
}

#[test]
fn store_fixture_generations_writes_same_bytes() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    store_generations(folder.path());
    let mut names: Vec<_> = fs::read_dir(folder.path())
        .expect("list the folder")
        .map(|entry| entry.expect("read the folder entry").file_name())
        .collect();
    names.sort();
    assert_eq!(names.len(), stored_settings().len());
    for name in names {
        let before = fs::read(fixtures().join(GENERATIONS).join(&name)).expect("read the fixture");
        let after = fs::read(folder.path().join(&name)).expect("read the stored generation");
        assert!(before == after, "{name:?} differs from the fixture");
    }
}

/// A process continues after all numbers in the folder, and removes damaged generations and interrupted
/// writes.
#[test]
fn generations_folder_of_earlier_build_continues() {
    let folder = tempfile::tempdir().expect("create a temporary folder");
    for entry in fs::read_dir(fixtures().join(GENERATIONS)).expect("list the folder") {
        let entry = entry.expect("read the folder entry");
        fs::copy(entry.path(), folder.path().join(entry.file_name())).expect("copy the fixture");
    }
    let schema = service_schema::schema();
    let store = GenerationStore::open(folder.path()).expect("open the store");
    let newest = store
        .read_all()
        .expect("read the settings")
        .into_iter()
        .find(|s| s.canonical.is_ok());
    let newest = newest.expect("a generation is intact");
    let canonical = newest.canonical.clone().expect("the generation is intact");
    let (settings, _) = ResolvedSettings::from_canonical(&schema, &canonical).expect("read the settings");
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
    let generation = Generation {
        number: 6,
        hash,
        settings: next.clone(),
    };
    let applied = Decision::Applied {
        number: 6,
        live: 0,
        at_next_start: 0,
    };
    let expected = vec![
        Command::Apply(next.clone()),
        Command::Report(applied),
        Command::Store(generation),
        Command::Report(Decision::Confirmed { number: 6 }),
    ];
    assert_eq!(commands, expected);
    // Number 6 belongs to the damaged generation, so the store assigns the next one.
    let stored = store.store(6, &next.canonical(&schema), MAX_GENERATIONS, |_| ());
    assert_eq!(stored.expect("store the generation"), 7);
    let numbers: Vec<_> = store
        .read_all()
        .expect("read the settings")
        .iter()
        .map(|s| s.number)
        .collect();
    assert_eq!(numbers, [7, 5, 4, 3]);
    let file_count = fs::read_dir(folder.path()).expect("list the folder").count();
    assert_eq!(
        file_count, 4,
        "damaged generations and interrupted writes are removed"
    );
}

const NO_PROBATION: ProbationCriteria = ProbationCriteria {
    probation: TimeSpan(0),
    margin: 0.02,
    min_rejections: 20,
};

/// Stored in generations, logged, and compared by operators.
const EVERY_SETTING_HASH: &str = "c48bf9249b49323f1de736ae0bf566124eef3d3eac7e1cac8c8f5fe370ff63cc";
