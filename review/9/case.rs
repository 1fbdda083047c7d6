//! A drain that discovery's agent holds behind a longer outage of discovery. See claim.txt.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const DRIVERS: usize = 2;
const CLIENTS_PER_DRIVER: usize = 6;
const OUTAGE_BEGINS_MS: f64 = 5_000.0;
const OUTAGE_MS: f64 = 21_000.0;
/// The drain comes this long behind the end of the outage.
const DRAIN_BEHIND_MS: f64 = 100.0;
const WATCHED_MS: f64 = 4_000.0;
/// `rules.drain_grace_us`, and by how much every time limit is longer on sockets.
const GRACE_MS: f64 = 250.0 + 50.0;

fn settings(number: usize) -> String {
    format!(r#"{{"peers_total":{DRIVERS},"my_number":{number},"az":0,"layer":0,"tick_us":5000,"service_type":"replicas","stages":["lodging-db"],
    "kinds":["std-11"],"zones":["ub-dc1"],"discovery":"push","worth_by":"request","weight_kind":"off",
    "categories":[
     {{"name":"availability-read","objective_us":250000,"give_up_us":750000,"worth":1.0,"late_worth":0.2,"idempotency":"retryable","key_scope":"all","window_us":5000000,"stream":false}},
     {{"name":"rate-read","objective_us":150000,"give_up_us":600000,"worth":3.0,"late_worth":0.0,"idempotency":"retryable","key_scope":"all","window_us":5000000,"stream":false}},
     {{"name":"booking-write","objective_us":500000,"give_up_us":2000000,"worth":6.0,"late_worth":0.3,"idempotency":"dedup","key_scope":"cell","window_us":1200000,"stream":false}}],
    "family_info":{{"freshness":["recent","loose","update"],"staleness_bound_us":[3000000,0,0],"tokens":"client","behind":"reject",
     "answers_stamped":true,"role_listed":"off","synchronous":false,"counted_from_us":0,"catch_up_wait_us":0,
     "report_x0":"position_in_seconds_after_zero","report_x1":"1_from_a_primary"}},
    "limits":{{"cancel":true,"probes":true,"try_limit":8,"may_duplicate":false,"may_tell":false,"retry_after":true,
     "max_retry_after_us":500000,"conn_idle_us":30000000,"connect_timeout_us":250000,"streams_per_conn":1,"max_open":20000}},
    "report":{{"how":"on_probe","fields":["x0","x1","pending","cpu_share"]}},
    "rules":{{"drain_grace_us":250000,"tip_multiple":2.0,"fall_us":3000000,"cold_from":0.26,"warm_within_us":17000000,"grace_to_answer_us":20000}},
    "clients":{{"marks_retry":true}}}}"#)
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
        sleep_ms(if statement.is_write { 50.0 + shift * 4.0 } else { 20.0 + shift * 2.0 });
        Reply::Row { value: statement.key.clone().into_bytes(), rank, as_of: unix_ms().floor() }
    };
    let vitals = move || format!("x0={:.3},x1={},pending=0,cpu_share=0.20", (unix_ms() - 5.0) / 1000.0, u8::from(is_primary));
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
        let text = match sequence % 25 {
            0 => format!("/* id=b{number}x{sequence},c=booking-write,d=2000,cluster=1 */ INSERT INTO rows (handle, blob) VALUES ('{key}', '\\x9f03') RETURNING blob"),
            n if n % 2 == 0 => format!("/* id=a{number}x{sequence},c=availability-read,d=750,cluster=1 */ SELECT blob FROM rows WHERE handle = '{key}'"),
            _ => format!("/* id=q{number}x{sequence},c=rate-read,d=600,cluster=1 */ SELECT blob FROM rows WHERE handle = '{key}'"),
        };
        let answer = open.query(&text, 2600.0);
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
        sleep_ms(10.0);
    }
}

fn main() {
    let (folder, record_path) = arguments();
    let record = Record::create(&record_path);
    let nodes: Vec<Node> = (0..6).map(|number| node(number, &record)).collect();
    let registry = Registry::default();
    for node in &nodes {
        registry.set(Endpoint::serving(&node.member, "ub-dc1", 1));
    }
    let mut drivers = Vec::new();
    for number in 0..DRIVERS {
        let front = registry.open_front("127.0.0.1", &record);
        let listen = free_address("127.0.0.1");
        let config = format!("{folder}/config-{number}.json");
        replace_file(&config, &format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be96{number}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{}}}"#,
            front.address, registry.complete_list(), settings(number)));
        drivers.push(Driver::start(&format!("n{number}"), &config, &folder, listen, &record));
        sleep_ms(700.0);
    }
    let started = unix_ms();
    let end = started + OUTAGE_BEGINS_MS + OUTAGE_MS + DRAIN_BEHIND_MS + WATCHED_MS;
    let answers = Arc::<Mutex<BTreeMap<String, usize>>>::default();
    let mut clients = Vec::new();
    for (index, driver) in drivers.iter().enumerate() {
        for client_number in 0..CLIENTS_PER_DRIVER {
            let (record, answers, listen) = (record.clone(), answers.clone(), driver.listen);
            let number = index * CLIENTS_PER_DRIVER + client_number;
            clients.push(thread::spawn(move || client(number, listen, end, &record, &answers)));
        }
    }
    sleep_ms(started + OUTAGE_BEGINS_MS - unix_ms());
    if has_trouble() {
        record.line("discovery falls silent");
        registry.set_silent(true);
    }
    sleep_ms(started + OUTAGE_BEGINS_MS + OUTAGE_MS - unix_ms());
    registry.set_silent(false);
    record.line("discovery is back");
    sleep_ms(DRAIN_BEHIND_MS);
    let drained = &nodes[3];
    drained.is_draining.store(true, Ordering::Release);
    registry.set_status(&drained.member.name, "DRAINING");
    let told_at = unix_ms();
    record.line(format!("discovery and the agents have: {} drains", drained.member.name));
    for client in clients {
        let _ = client.join();
    }
    for driver in &mut drivers {
        driver.end();
    }
    let arrivals = lock(&drained.arrivals);
    let before = arrivals.iter().filter(|(at, _)| (told_at - 2000.0..told_at).contains(at)).count();
    let mut late = 0;
    for (at, id) in arrivals.iter().filter(|(at, _)| *at > told_at) {
        let behind = at - told_at;
        let is_late = behind > GRACE_MS;
        late += usize::from(is_late);
        record.line(format!("{} got {id} {behind:.0} ms after the drain was told{}", drained.member.name, if is_late { ": BROKEN" } else { "" }));
    }
    let text = format!("{before} statements to {} in the 2 s before its drain, {late} later than {GRACE_MS} ms behind it; answers {:?}", drained.member.name, lock(&answers));
    record.line(&text);
    println!("{text}");
    if before < 5 {
        cannot_run("the member got no statements before its drain");
    }
    std::process::exit(i32::from(late > 0));
}
