//! `asterlatch config ...`: what operators ask of their files, without a running service.

use super::operators::{read, registry};
use asterlatch_config::format;
use asterlatch_config::host::MACHINE;
use asterlatch_config::load::{Folder, Source, LONGEST_FILE};
use asterlatch_config::meaning::{changes, Meaning};
use asterlatch_config::registry::Machine;
use asterlatch_config::report::{self, Shown, Weight};
use asterlatch_config::store::Store;
use asterlatch_config::unit::{Quantity, Unit};
use asterlatch_config::{parse, shelf};
use clap::{Args, Subcommand};
use std::io::Write;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Command {
    /// Say all that is wrong with a file: 0 where nothing is, 1 otherwise
    Check {
        file: String,
        #[command(flatten)]
        machine: MachineArguments,
    },
    /// Write a file in its one form; with --check only say whether it is
    Format {
        file: String,
        /// Change nothing; 1 where something would change
        #[arg(long)]
        check: bool,
    },
    /// Say what changes in meaning: 0 nothing, 1 something, 2 where one can't be read
    Diff {
        old: String,
        new: String,
        #[command(flatten)]
        machine: MachineArguments,
    },
    /// Print the whole meaning as JSON, defaults included
    Show {
        file: String,
        #[command(flatten)]
        machine: MachineArguments,
    },
    /// Print everything that may be set, as Markdown
    Reference,
    /// Print the stored generations of a folder, the newest first
    History { folder: PathBuf },
    /// Store an earlier generation as the newest one, for the next start without a valid file
    Rollback {
        folder: PathBuf,
        /// How many changes to go back by
        #[arg(default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..))]
        steps: u16,
    },
}

/// The machine that settings are held against.
#[derive(Args)]
pub struct MachineArguments {
    /// Memory of the process, such as 192MiB
    #[arg(long, value_parser = memory)]
    memory: Option<i64>,
    /// Descriptors of the process
    #[arg(long, value_parser = clap::value_parser!(i64).range(1..))]
    descriptors: Option<i64>,
}

fn memory(text: &str) -> Result<i64, String> {
    match Quantity::read(text) {
        Ok(Quantity {
            unit: Unit::Size,
            amount,
        }) if amount > 0 => Ok(amount),
        _ => Err(format!("a size such as {}", Unit::Size.example())),
    }
}

impl MachineArguments {
    fn machine(&self) -> Machine {
        Machine {
            memory: self.memory.unwrap_or(MACHINE.memory),
            descriptors: self.descriptors.unwrap_or(MACHINE.descriptors),
        }
    }
}

/// Output that nobody reads any more is no fault of the command.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

fn complain(text: &str) {
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// Carries a command out; says its exit code.
pub fn run(command: &Command) -> u8 {
    match command {
        Command::Check { file, machine } => check(file, machine.machine()),
        Command::Format { file, check } => format_file(file, *check),
        Command::Diff { old, new, machine } => diff(old, new, machine.machine()),
        Command::Show { file, machine } => match meaning(file, machine.machine()) {
            Some(meaning) => {
                print(&meaning.canonical(registry()));
                0
            }
            None => 1,
        },
        Command::Reference => {
            print(&registry().reference());
            0
        }
        Command::History { folder } => told(folder, history(folder)),
        Command::Rollback { folder, steps } => told(folder, rollback(folder, usize::from(*steps))),
    }
}

fn told(folder: &Path, done: std::io::Result<Result<String, String>>) -> u8 {
    match done {
        Ok(Ok(text)) => {
            print(&text);
            0
        }
        Ok(Err(fault)) => {
            complain(&format!("asterlatch: {}: {fault}\n", folder.display()));
            1
        }
        Err(e) => {
            complain(&format!("asterlatch: {}: {e}\n", folder.display()));
            1
        }
    }
}

fn check(file: &str, machine: Machine) -> u8 {
    let outcome = read(file, machine);
    complain(&outcome.text());
    match outcome.meaning {
        None => 1,
        Some(_) => {
            let warnings = outcome
                .reports
                .iter()
                .filter(|r| r.weight == Weight::Warning)
                .count();
            let files = outcome.files.len();
            print(&format!(
                "{file}: valid, {files} files, {} settings, {warnings} warnings\n",
                outcome.places.len()
            ));
            0
        }
    }
}

fn meaning(file: &str, machine: Machine) -> Option<Meaning> {
    let outcome = read(file, machine);
    if outcome.meaning.is_none() {
        complain(&outcome.text());
    }
    outcome.meaning
}

fn diff(old: &str, new: &str, machine: Machine) -> u8 {
    let (Some(old), Some(new)) = (meaning(old, machine), meaning(new, machine)) else {
        return 2;
    };
    let all = changes(registry(), &old, &new);
    let text: String = all.iter().map(|c| c.written(registry()) + "\n").collect();
    print(&text);
    u8::from(!all.is_empty())
}

/// Reads one file's text, without its includes; faults are told.
fn text(file: &str) -> Option<(Folder, String, String)> {
    let (folder, name) = Folder::of(file);
    let bytes = folder.identity(&name).and_then(|identity| {
        let bytes = folder.bytes(&identity, LONGEST_FILE)?;
        Ok((identity, bytes))
    });
    match bytes {
        Ok((identity, bytes)) if bytes.len() <= LONGEST_FILE => match String::from_utf8(bytes) {
            Ok(text) => return Some((folder, identity, text)),
            Err(_) => complain(&format!("{file}:1:1: not UTF-8\n")),
        },
        Ok(_) => complain(&format!("{file}:1:1: longer than {LONGEST_FILE} bytes\n")),
        Err(missing) => complain(&format!("{file}:1:1: can't be read: {missing:?}\n")),
    }
    None
}

fn format_file(file: &str, check: bool) -> u8 {
    let Some((_, identity, text)) = text(file) else {
        return 1;
    };
    let parsed = parse::parse(0, &text);
    if !parsed.reports.is_empty() {
        let shown = [Shown {
            name: file.to_owned(),
            text,
        }];
        let all: String = parsed.reports.iter().map(|r| report::text(r, &shown)).collect();
        complain(&all);
        return 1;
    }
    let formatted = format::format(&text);
    if formatted == text {
        return 0;
    }
    if check {
        complain(&format!(
            "{file}:1:1: not in its form; asterlatch config format {file} writes it so\n"
        ));
        return 1;
    }
    match replace(Path::new(&identity), &formatted) {
        Ok(()) => 0,
        Err(e) => {
            complain(&format!("{file}:1:1: can't be written: {e}\n"));
            1
        }
    }
}

/// Writes beside the file and renames: who reads it meanwhile finds one or the other, whole.
fn replace(path: &Path, text: &str) -> std::io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    let permissions = std::fs::metadata(path)?.permissions();
    let write = || {
        let mut file = std::fs::File::create(&beside)?;
        file.set_permissions(permissions)?;
        file.write_all(text.as_bytes())?;
        file.sync_all()?;
        std::fs::rename(&beside, path)
    };
    write().inspect_err(|_| drop(std::fs::remove_file(&beside)))
}

fn existing(folder: &Path) -> std::io::Result<Store> {
    // Asking must not make a folder that isn't there.
    std::fs::read_dir(folder)?;
    Store::open(folder)
}

fn history(folder: &Path) -> std::io::Result<Result<String, String>> {
    let all = existing(folder)?.all()?;
    let mut text = String::new();
    for (n, one) in all.iter().enumerate() {
        let line = match &one.canonical {
            Err(damage) => format!("{} damaged: it {}\n", one.number, damage.reason()),
            Ok(canonical) => {
                let before = all[n + 1..].iter().find_map(|o| o.canonical.as_ref().ok());
                let both = (
                    before.map(|b| Meaning::from_canonical(registry(), b)),
                    Meaning::from_canonical(registry(), canonical),
                );
                let changed = match both {
                    (_, Err(fault)) => format!("can't be read here: {fault}"),
                    (Some(Ok((old, _))), Ok((new, _))) => {
                        let all = changes(registry(), &old, &new);
                        let all: Vec<_> = all.iter().map(|c| c.written(registry())).collect();
                        if all.is_empty() {
                            "the same again".to_owned()
                        } else {
                            all.join("; ")
                        }
                    }
                    _ => "the oldest kept".to_owned(),
                };
                let hash = one.hash().unwrap_or_default();
                format!("{} {} {changed}\n", one.number, &hash[..12.min(hash.len())])
            }
        };
        text.push_str(&line);
    }
    Ok(Ok(text))
}

fn rollback(folder: &Path, steps: usize) -> std::io::Result<Result<String, String>> {
    let store = existing(folder)?;
    let all = store.all()?;
    let whole: Vec<_> = all
        .iter()
        .filter_map(|one| Some((one.number, one.hash()?)))
        .collect();
    let Some(number) = shelf::back(&whole, steps) else {
        let differing = whole.windows(2).filter(|pair| pair[0].1 != pair[1].1).count();
        return Ok(Err(format!(
            "it holds {differing} changes to go back by, not {steps}"
        )));
    };
    let canonical = all
        .iter()
        .find(|one| one.number == number)
        .and_then(|one| one.canonical.as_ref().ok());
    let Some(canonical) = canonical else {
        return Ok(Err(format!("generation {number} is damaged")));
    };
    let (meaning, _) = match Meaning::from_canonical(registry(), canonical) {
        Ok(read) => read,
        Err(fault) => return Ok(Err(format!("generation {number} can't be read here: {fault}"))),
    };
    let most = meaning.amount(registry(), "activation", "kept").max(2) as usize;
    let stored = store.keep(0, canonical, most, |_| ())?;
    Ok(Ok(format!("generation {number} is stored again as {stored}\n")))
}
