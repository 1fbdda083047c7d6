//! Command line of the test bed: experiments on one machine.

use crate::arrivals::Arrivals;
use crate::checker::{check, latencies, StatementRecord};
use crate::cluster::{self, ClusterPlan};
use crate::deployment::Deployment;
use crate::fault_script::FaultScript;
use crate::load_generator;
use crate::member::{lock, pause};
use crate::roaming_clients::RoamingBehavior;
use crate::scenario;
use crate::wire::wall_clock_now;
use asterlatch::time::{TimeSpan, Timestamp};
use clap::{Args, CommandFactory, FromArgMatches, Parser, Subcommand};
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;

/// Stand-in members, discovery and clients around the built program.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Three groups, the program, and ten seconds of load with faults: what became of each statement.
    Demo {
        #[command(flatten)]
        common: LoadArguments,
        /// For how many seconds clients ask.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Faults, a line each; without it a few of each kind.
        #[arg(long)]
        script: Option<PathBuf>,
    },
    /// Several processes of the program with faults between them.
    Fleet {
        #[command(flatten)]
        arguments: FleetArguments,
        /// What befalls whom: one of the scenes by name.
        #[arg(long, default_value = "killed")]
        scene: String,
        /// Or a script, a line each.
        #[arg(long)]
        script: Option<PathBuf>,
    },
    /// All scenes, each with so many seeds.
    TrialFleet {
        #[command(flatten)]
        arguments: FleetArguments,
        #[arg(long, default_value_t = 6)]
        seeds: u64,
        /// So many plays at once: a play of five drivers takes about half of a core.
        #[arg(long, default_value_t = 1)]
        jobs: usize,
        /// Only these scenes.
        #[arg(long)]
        scene: Vec<String>,
    },
    /// Upgrades, or restarts in their place, under load: what clients notice.
    Upgrade {
        #[command(flatten)]
        common: LoadArguments,
        #[arg(long, default_value_t = 20)]
        count: u32,
        /// A restart instead: leaves, and begins with nothing learned.
        #[arg(long)]
        restart: bool,
        /// Another build of the program: upgrades go to it and back in turn.
        #[arg(long, conflicts_with = "restart")]
        next: Option<PathBuf>,
        /// A member's fault beside every second one.
        #[arg(long)]
        faults: bool,
        /// For how many seconds behind each one its effect is looked at.
        #[arg(long, default_value_t = 2.0)]
        after: f64,
        /// For how many seconds before each one nothing happens.
        #[arg(long, default_value_t = 2.0)]
        calm: f64,
    },
}

/// What every command puts up.
#[derive(Args)]
struct SetupArguments {
    /// The built program; without it the one that lies beside this one.
    #[arg(long)]
    driver: Option<PathBuf>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 3)]
    groups: u32,
    #[arg(long, default_value_t = 2)]
    replicas: u32,
}

impl SetupArguments {
    fn driver(&self) -> io::Result<PathBuf> {
        match &self.driver {
            Some(path) => Ok(path.clone()),
            None => Ok(std::env::current_exe()?.with_file_name("asterlatch")),
        }
    }
}

#[derive(Args)]
struct FleetArguments {
    #[command(flatten)]
    basis: SetupArguments,
    #[arg(long, default_value_t = 5)]
    drivers: u32,
    /// Statements a second, over all drivers.
    #[arg(long, default_value_t = 600.0)]
    rate: f64,
    #[arg(long, default_value_t = 6.0)]
    seconds: f64,
    #[arg(long, default_value_t = 64)]
    clients: usize,
    /// Of a thousand statements, those asked at another driver than their session's.
    #[arg(long, default_value_t = 100)]
    roam: u32,
    /// Of a thousand writes, those whose client goes away at once and repeats them elsewhere.
    #[arg(long, default_value_t = 100)]
    hasty: u32,
    /// Each driver is alone: nothing is shared.
    #[arg(long)]
    alone: bool,
}

#[derive(Args)]
struct LoadArguments {
    #[command(flatten)]
    basis: SetupArguments,
    /// Statements a second.
    #[arg(long, default_value_t = 500.0)]
    rate: f64,
    /// Members answer reads from what they have, however old that is.
    #[arg(long)]
    unchecked: bool,
    /// How many may wait for an answer at once.
    #[arg(long, default_value_t = 96)]
    clients: usize,
}

const DEMO_FAULTS: &str = "
1.5s member 2 slow 60ms for 1s
3s member 3 is down for 1s
4.5s member 9 lags 3s for 1s
5s group 2 switches to 5
6s member 8 drains for 3s
7s member 6 fails for 500ms
8s member 1 hangs for 400ms
9s primary of 3 loses answers for 100ms
";

impl LoadArguments {
    fn scene(&self, script: FaultScript) -> io::Result<Deployment> {
        let folder = std::env::temp_dir().join(format!("asterlatch-lab-{}", std::process::id()));
        Deployment::start(
            &self.basis.driver()?,
            &folder,
            (self.basis.groups, self.basis.replicas),
            script,
            !self.unchecked,
        )
    }

    fn load(&self, scene: &Deployment, seconds: f64) -> (load_generator::Load, Timestamp) {
        let from = wall_clock_now();
        let workloads = lock(&scene.store).workloads.clone();
        let until = TimeSpan((seconds * 1e6) as u64);
        let arrivals = Arrivals::new(&workloads, self.rate, self.basis.groups, until, self.basis.seed);
        let load = load_generator::start(&scene.store, scene.listen, arrivals, from, self.clients);
        (load, from)
    }
}

/// Ends the program, judges, and prints; whether all rules were kept.
fn conclude(mut scene: Deployment, records: &[StatementRecord]) -> bool {
    scene.end();
    let report = check(&lock(&scene.store), records);
    println!("{report}");
    let _ = std::fs::remove_dir_all(&scene.folder);
    report.violation_count() == 0
}

fn demo(common: &LoadArguments, seconds: f64, script: Option<PathBuf>) -> io::Result<bool> {
    let text = match &script {
        Some(path) => {
            std::fs::read_to_string(path).map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?
        }
        None => DEMO_FAULTS.to_owned(),
    };
    let script = FaultScript::parse(&text).map_err(io::Error::other)?;
    println!(
        "{} groups of {} members, {} statements a second for {seconds} s; faults:",
        common.basis.groups,
        common.basis.replicas + 1,
        common.rate
    );
    println!("{}\n", text.trim());
    let scene = common.scene(script)?;
    let (load, _) = common.load(&scene, seconds);
    let records = load.finish();
    Ok(conclude(scene, &records))
}

/// `around` are the calm spans before and behind each one.
fn upgrade(
    common: &LoadArguments,
    count: u32,
    restart: bool,
    next: Option<PathBuf>,
    faults: bool,
    around: (TimeSpan, TimeSpan),
) -> io::Result<bool> {
    let (quiet, behind) = around;
    let mut text = String::new();
    let each = (quiet.0 + behind.0) as f64 / 1e6 + 2.0;
    for n in (0..count).filter(|n| faults && n % 2 == 1) {
        // While the two serve side by side, and a little on either side of that.
        let at = f64::from(n) * each + quiet.0 as f64 / 1e6 - 0.1;
        let faults = [
            "slow 40ms",
            "is down",
            "switches",
            "fails",
            "lags 2s",
            "drains",
            "hangs",
        ];
        let size = common.basis.replicas + 1;
        let (member, fault) = (
            n % (common.basis.groups * size) + 1,
            faults[(n / 2) as usize % faults.len()],
        );
        text += &match fault {
            "switches" => {
                let group = (member - 1) / size + 1;
                let to = (group - 1) * size + n % size + 1;
                format!("{}s group {group} switches to {to}\n", at + 0.15)
            }
            fault => format!("{at}s member {member} {fault} for 700ms\n"),
        };
    }
    let mut scene = common.scene(FaultScript::parse(&text).map_err(io::Error::other)?)?;
    scene.next = next;
    let (load, from) = common.load(&scene, f64::from(count) * each + 0.5);
    lock(&scene.store).started_at = from;
    let mut spans = Vec::new();
    for n in 0..count {
        let at = from + TimeSpan((f64::from(n) * each * 1e6) as u64) + quiet;
        pause(at - wall_clock_now());
        if restart {
            scene.end();
            scene.begin()?;
        } else {
            scene.upgrade()?;
        }
        spans.push((at, wall_clock_now()));
    }
    let records = load.finish();
    let within = |r: &StatementRecord, spans: &[(Timestamp, Timestamp)]| {
        spans.iter().any(|(a, b)| (*a..*b).contains(&r.due))
    };
    let calm: Vec<_> = spans
        .iter()
        .map(|(at, _)| (*at - quiet, *at - TimeSpan::millis(200)))
        .collect();
    let after: Vec<_> = spans.iter().map(|(_, end)| (*end, *end + behind)).collect();
    let kind = if restart { "restarts" } else { "upgrades" };
    println!("{count} {kind}, {} statements a second", common.rate);
    for (name, spans) in [("before", &calm), ("meanwhile", &spans), ("behind", &after)] {
        let own = latencies(records.iter().filter(|r| within(r, spans)));
        let part = |q| own.value_at_quantile(q) as f64 / 1000.0;
        let (primary, replica) = reads(&scene, from, spans);
        println!(
            "{name:<10} {:>7} answered, p50 {:>6.1} ms, p99 {:>6.1} ms, most {:>6.1} ms, reads at primaries {:.2} %",
            own.len(),
            part(0.5),
            part(0.99),
            part(1.0),
            100.0 * f64::from(primary) / f64::from((primary + replica).max(1))
        );
    }
    let kept = conclude(scene, &records);
    // The judge looks at all of them together.
    let (passed, failed) = if kept { (count, 0) } else { (0, count) };
    println!("{passed} passed, {failed} failed");
    Ok(kept)
}

/// Reads that members executed meanwhile.
fn reads(scene: &Deployment, from: Timestamp, spans: &[(Timestamp, Timestamp)]) -> (u32, u32) {
    let store = lock(&scene.store);
    let at = |tenth: &u64| from + TimeSpan::millis(tenth * 100);
    let meant = store
        .reads
        .iter()
        .filter(|(t, _)| spans.iter().any(|(a, b)| (*a..*b).contains(&at(t))));
    meant.fold((0, 0), |(p, r), (_, (primary, replica))| {
        (p + primary, r + replica)
    })
}

impl FleetArguments {
    fn plan(&self, drivers: u32, text: &str, seed: u64) -> io::Result<ClusterPlan> {
        Ok(ClusterPlan {
            drivers,
            groups: self.basis.groups,
            replicas: self.basis.replicas,
            script: FaultScript::parse(text).map_err(io::Error::other)?,
            gossip_enabled: !self.alone,
            seconds: self.seconds,
            rate: self.rate,
            clients: self.clients,
            behavior: RoamingBehavior {
                roam_per_mille: self.roam,
                abandon_per_mille: self.hasty,
            },
            seed,
        })
    }

    fn run(&self, drivers: u32, text: &str, seed: u64) -> io::Result<cluster::RunReport> {
        cluster::run(&self.basis.driver()?, &self.plan(drivers, text, seed)?)
    }
}

fn fleet_scene(arguments: &FleetArguments, scene: &str, script: Option<&PathBuf>) -> io::Result<bool> {
    let (drivers, text) = match script {
        Some(path) => {
            let read = std::fs::read_to_string(path);
            let text = read.map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?;
            (arguments.drivers, text)
        }
        None => {
            let found = scenario::scenarios(arguments.drivers).find(|(name, ..)| *name == scene);
            let names: Vec<_> = scenario::scenarios(0).map(|(name, ..)| name).collect();
            let (_, drivers, text) =
                found.ok_or_else(|| io::Error::other(format!("no scene '{scene}': {}", names.join(", "))))?;
            (drivers, text.to_owned())
        }
    };
    println!(
        "{drivers} drivers, {} statements a second:\n{text}\n",
        arguments.rate
    );
    let outcome = arguments.run(drivers, &text, arguments.basis.seed)?;
    println!("{outcome}");
    Ok(outcome.all_rules_kept())
}

fn trial_fleet(arguments: &FleetArguments, seeds: u64, jobs: usize, only: &[String]) -> io::Result<bool> {
    let meant = |name: &str| only.is_empty() || only.iter().any(|o| o == name);
    let scenes: Vec<_> = scenario::scenarios(arguments.drivers)
        .filter(|(name, ..)| meant(name))
        .collect();
    let seeds = arguments.basis.seed..arguments.basis.seed + seeds;
    // Scene by scene, whoever is free takes the next.
    let plays = scenes
        .iter()
        .flat_map(|scene| seeds.clone().map(move |seed| (scene, seed)));
    let plays = Mutex::new(plays.collect::<Vec<_>>().into_iter());
    let (passed, failed) = (AtomicU32::new(0), AtomicU32::new(0));
    let next = || plays.lock().ok()?.next();
    let work = || -> io::Result<()> {
        while let Some(((name, drivers, text), seed)) = next() {
            let outcome = arguments.run(*drivers, text, seed)?;
            let r = outcome.retries;
            println!(
                "{name:<18} seed {seed:<4} asked {:>6}, rejected {:>4}, in doubt {:>4}; repeats {:>4}, untrue {}, doubled {}; {}",
                outcome.asked,
                outcome.rejected,
                outcome.aborted,
                r.retried,
                r.false_reports,
                r.executed_twice,
                if outcome.all_rules_kept() { "kept".to_owned() } else { format!("{:?}", outcome.violations) }
            );
            let count = if outcome.all_rules_kept() {
                &passed
            } else {
                &failed
            };
            count.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..jobs.max(1)).map(|_| scope.spawn(work)).collect();
        let ends = workers.into_iter().map(|w| {
            w.join()
                .unwrap_or_else(|_| Err(io::Error::other("a play panicked")))
        });
        ends.collect::<io::Result<()>>()
    })?;
    let (passed, failed) = (passed.into_inner(), failed.into_inner());
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

/// Runs the command line of the program called `name` and returns its exit code: 0 if every rule was kept, 1 if one was
/// broken, 2 on an error.
pub fn main(name: &'static str) -> ExitCode {
    let matches = CommandLine::command().name(name).get_matches();
    let line = CommandLine::from_arg_matches(&matches).unwrap_or_else(|e| e.exit());
    let done = match line.command {
        Command::Fleet {
            arguments,
            scene,
            script,
        } => fleet_scene(&arguments, &scene, script.as_ref()),
        Command::TrialFleet {
            arguments,
            seeds,
            jobs,
            scene,
        } => trial_fleet(&arguments, seeds, jobs, &scene),
        Command::Demo {
            common,
            seconds,
            script,
        } => demo(&common, seconds, script),
        Command::Upgrade {
            common,
            count,
            restart,
            next,
            faults,
            after,
            calm,
        } => {
            let span = |seconds: f64| TimeSpan((seconds.max(0.0) * 1e6) as u64);
            let around = (span(calm.max(0.5)), span(after));
            upgrade(&common, count, restart, next, faults, around)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("{name}: {e}");
            ExitCode::from(2)
        }
    }
}
