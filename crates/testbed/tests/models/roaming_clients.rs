//! Records of roaming clients.

use crate::{ms, START};
use asterlatch_testbed::arrivals::Arrivals;
use asterlatch_testbed::checker::ClientOutcome;
use asterlatch_testbed::fault_script::FaultScript;
use asterlatch_testbed::roaming_clients::{start, RoamingBehavior, RoamingOptions};
use asterlatch_testbed::store_model::StoreModel;
use asterlatch_testbed::wire::{error_response, message, read_message, wall_clock_now};
use std::io::{Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Answers the startup message, then rejects every statement.
fn reject_statements(mut stream: TcpStream) -> Result<()> {
    let ready = message(b'Z', b"I");
    read_message(&mut stream, false)?;
    stream.write_all(&ready)?;
    loop {
        read_message(&mut stream, true)?;
        stream.write_all(&[error_response("53300", "rejected"), ready.clone()].concat())?;
    }
}

fn start_rejecting_driver() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind the driver");
    let address = listener.local_addr().expect("get the driver's address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || reject_statements(stream));
        }
    });
    address
}

/// Guards against rejections judged as late by the client's own delay behind them.
#[test]
fn record_of_rejected_statement_ends_with_its_last_attempt() {
    let script = FaultScript::parse("").expect("parse the empty script");
    let store = StoreModel::new(1, 1, script, START);
    let arrivals = Arrivals::new(&store.workloads, 100.0, 1, ms(100), 1);
    let behavior = RoamingBehavior {
        roam_per_mille: 0,
        abandon_per_mille: 0,
    };
    let options = RoamingOptions {
        clients: 2,
        behavior,
        seed: 1,
    };
    let drivers = [start_rejecting_driver()];
    let store = Arc::new(Mutex::new(store));
    let records = start(&store, &drivers, arrivals, wall_clock_now(), options).finish();
    assert!(!records.is_empty());
    for roaming in records {
        assert_eq!(roaming.record.outcome, ClientOutcome::Rejected);
        let ended = roaming.attempts.last().map(|attempt| attempt.ended);
        assert_eq!(Some(roaming.record.answered), ended);
    }
}
