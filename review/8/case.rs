//! A new configuration (SIGHUP) while an upgrade (SIGUSR2) is on its way, and a drain later. See claim.txt.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CLIENTS: usize = 24;
/// When the upgrade is asked for, when the configuration is replaced, when a member begins to drain.
const UPGRADE_MS: f64 = 3_000.0;
const RELOAD_MS: f64 = 5_000.0;
const DRAIN_MS: f64 = 22_000.0;
/// By when a change counts as told at the latest, behind the moment from which discovery had it.
const TOLD_MS: f64 = 6_000.0;
/// `rules.drain_grace_us`, and by how much every time limit is longer on sockets.
const GRACE_MS: f64 = 2_000.0 + 50.0;
const WATCHED_MS: f64 = 30_000.0;

fn settings() -> &'static str {
    r#"{"peers_total":2,"my_number":0,"az":0,"layer":0,"tick_us":5000,"service_type":"replicas","stages":["billing-db"],
    "kinds":["std-3c"],"zones":["heredia","cartago"],"discovery":"push","worth_by":"request","weight_kind":"off",
    "categories":[
     {"name":"balance-view","objective_us":500000,"give_up_us":1500000,"worth":1.0,"late_worth":0.2,"idempotency":"retryable","key_scope":"all","window_us":5000000,"stream":false},
     {"name":"history-view","objective_us":800000,"give_up_us":2500000,"worth":1.0,"late_worth":0.0,"idempotency":"retryable","key_scope":"all","window_us":5000000,"stream":false},
     {"name":"payment-post","objective_us":1200000,"give_up_us":3000000,"worth":3.0,"late_worth":0.3,"idempotency":"fragile","key_scope":"all","window_us":5000000,"stream":false}],
    "family_info":{"freshness":["recent","loose","update"],"staleness_bound_us":[800000,0,0],"tokens":"client","behind":"hold",
     "answers_stamped":true,"role_listed":"delayed","synchronous":false,"counted_from_us":0,"catch_up_wait_us":20000,
     "report_x0":"position_in_seconds_after_zero","report_x1":"1_from_a_primary"},
    "limits":{"cancel":true,"probes":true,"try_limit":10,"may_duplicate":true,"may_tell":false,"retry_after":true,
     "max_retry_after_us":500000,"conn_idle_us":30000000,"connect_timeout_us":250000,"streams_per_conn":1,"max_open":21659},
    "report":{"how":"on_probe","fields":["x0","x1","cpu_share"]},
    "rules":{"drain_grace_us":2000000,"tip_multiple":4.0,"fall_us":2000000,"cold_from":0.15,"warm_within_us":15000000,"grace_to_answer_us":20000},
    "clients":{"marks_retry":true}}"#
}

type Arrivals = Arc<Mutex<Vec<(f64, String)>>>;

struct Node {
    member: Member,
    arrivals: Arrivals,
    is_draining: Arc<AtomicBool>,
}

fn node(number: usize, record: &Record) -> Node {
    let name = format!("s-{number}");
    let is_primary = number == 0;
    let rank = if is_primary { "source" } else { "copy" };
    let (arrivals, is_draining) = (Arrivals::default(), Arc::<AtomicBool>::default());
    let (noted, draining, served, record) = (arrivals.clone(), is_draining.clone(), AtomicUsize::new(0), record.clone());
    let member_name = name.clone();
    let serve = move |statement: &Received| {
        lock(&noted).push((statement.first_byte_at, statement.id.clone()));
        if draining.load(Ordering::Acquire) {
            record.line(format!("{member_name} drains and turns away {} (id {})", statement.class, statement.id));
            return Reply::Error { code: "53300", rank };
        }
        if statement.is_write && !is_primary {
            return Reply::Error { code: "25006", rank };
        }
        let shift = (served.fetch_add(1, Ordering::Relaxed) % 8) as f64;
        sleep_ms(if statement.class == "balance-view" { 70.0 + shift * 6.0 } else { 110.0 + shift * 8.0 });
        Reply::Row { value: statement.key.clone().into_bytes(), rank, as_of: unix_ms().floor() }
    };
    let vitals = move || format!("x0={:.3},x1={},cpu_share=0.20", (unix_ms() - 5.0) / 1000.0, u8::from(is_primary));
    Node { member: start_member(&name, "127.0.0.1", Arc::new(serve), Arc::new(vitals)), arrivals, is_draining }
}

fn client(number: usize, listen: std::net::SocketAddr, end: f64, record: &Record, answers: &Mutex<BTreeMap<String, usize>>) {
    let mut connection = Client::connect(listen).ok();
    let mut sequence = 0;
    sleep_ms(number as f64 * 13.0);
    while unix_ms() < end {
        let Some(open) = connection.as_mut() else {
            connection = Client::connect(listen).ok();
            sleep_ms(20.0);
            continue;
        };
        sequence += 1;
        let key = format!("k{number}x{sequence}");
        let text = match sequence % 5 {
            0 => format!("/* id=p{number}x{sequence},c=payment-post,d=3000,cluster=1 */ INSERT INTO rows (handle, blob) VALUES ('{key}', '\\x9f03') RETURNING blob"),
            n if n % 2 == 0 => format!("/* id=a{number}x{sequence},c=balance-view,d=1500,cluster=1 */ SELECT blob FROM rows WHERE handle = '{key}'"),
            _ => format!("/* id=h{number}x{sequence},c=history-view,d=2500,cluster=1 */ SELECT blob FROM rows WHERE handle = '{key}'"),
        };
        let answer = open.query(&text, 3600.0);
        let kind = match &answer {
            Answer::Row(value) if *value == key.as_bytes() => "row".to_owned(),
            other => format!("{other:?}"),
        };
        *lock(answers).entry(kind.clone()).or_default() += 1;
        if kind != "row" {
            record.line(format!("client {number}: {text}: {kind}"));
        }
        if matches!(answer, Answer::Closed | Answer::Nothing) {
            connection = None;
        }
        sleep_ms(25.0);
    }
}

fn main() {
    let (folder, record_path) = arguments();
    let record = Record::create(&record_path);
    let nodes: Vec<Node> = (0..6).map(|number| node(number, &record)).collect();
    let registry = Registry::default();
    for (index, node) in nodes.iter().enumerate() {
        let rank = Some(if index == 0 { "source" } else { "copy" });
        registry.set(Endpoint { rank, ..Endpoint::serving(&node.member, "heredia", 1) });
    }
    let first_front = registry.open_front("127.0.0.1", &record);
    let second_front = registry.open_front("127.0.0.1", &record);
    let listen = free_address("127.0.0.1");
    let config = format!("{folder}/config.json");
    let config_text = |discovery: std::net::SocketAddr| {
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}}"#,
            registry.complete_list(), settings())
    };
    replace_file(&config, &config_text(first_front.address));
    let mut driver = Driver::start("n0", &config, &folder, listen, &record);
    let started = unix_ms();
    let end = started + DRAIN_MS + TOLD_MS + GRACE_MS + WATCHED_MS;
    let answers = Arc::<Mutex<BTreeMap<String, usize>>>::default();
    let clients: Vec<_> = (0..CLIENTS).map(|number| {
        let (record, answers) = (record.clone(), answers.clone());
        thread::spawn(move || client(number, listen, end, &record, &answers))
    }).collect();
    sleep_ms(started + UPGRADE_MS - unix_ms());
    if has_trouble() {
        record.line("SIGUSR2 to the driver");
        signal(driver.pid(), "USR2");
        if driver.wait_for_log("asked to serve", 1500.0).is_none() {
            driver.end();
            cannot_run("the upgrade did not begin");
        }
    }
    sleep_ms(started + RELOAD_MS - unix_ms());
    record.line(format!("new configuration: discovery moves from {} to {}; SIGHUP to the driver", first_front.address, second_front.address));
    replace_file(&config, &config_text(second_front.address));
    signal(driver.pid(), "HUP");
    first_front.close_after(1500.0);
    if driver.wait_for_log("reloaded, discovery at", 3000.0).is_none() {
        driver.end();
        cannot_run("the configuration was not read");
    }
    if has_trouble() && driver.wait_for_log("the predecessor has exited", 14_000.0).is_none() {
        driver.end();
        cannot_run("the upgrade did not end in time");
    }
    sleep_ms(started + DRAIN_MS - unix_ms());
    // Half of the members, all of them replicas.
    let drained = &nodes[3..];
    for node in drained {
        node.is_draining.store(true, Ordering::Release);
        registry.set_status(&node.member.name, "DRAINING");
    }
    let had_at = unix_ms();
    record.line("discovery has: s-3, s-4 and s-5 drain");
    for client in clients {
        let _ = client.join();
    }
    driver.end();
    let (mut before, mut late) = (0, 0);
    for node in drained {
        let arrivals = lock(&node.arrivals);
        before += arrivals.iter().filter(|(at, _)| (had_at - 2000.0..had_at).contains(at)).count();
        for (at, id) in arrivals.iter().filter(|(at, _)| *at > had_at) {
            let behind = at - had_at;
            let is_late = behind > TOLD_MS + GRACE_MS;
            late += usize::from(is_late);
            record.line(format!("{} got {id} {behind:.0} ms behind its drain{}", node.member.name, if is_late { ": BROKEN" } else { "" }));
        }
    }
    let text = format!("{before} statements to the members in the 2 s before they drain, {late} later than {} ms behind it; answers {:?}", TOLD_MS + GRACE_MS, lock(&answers));
    record.line(&text);
    println!("{text}");
    if before < 5 {
        cannot_run("the members got no statements before they drain");
    }
    std::process::exit(i32::from(late > 0));
}
