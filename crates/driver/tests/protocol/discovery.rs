//! The endpoint list, HTTP responses and the watch on discovery.

use crate::harness::*;

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn endpoint_lists_are_read_or_rejected() {
    let whole = |status, body: &[u8], taken, keep| Response::Complete {
        status,
        body: body.to_vec(),
        length: taken,
        keep_alive: keep,
    };
    #[rustfmt::skip]
    let cases: Vec<(&[u8], Response)> = vec![
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HT", whole(200, b"{}", 40, true)),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nConnection: close\r\n\r\n{}", whole(200, b"{}", 59, false)),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", whole(503, b"", 38, true)),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n", whole(200, b"{}", 64, true)),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{}", Response::Partial),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", Response::Partial),
        (b"HTTP/1.1 200 OK\r\nCont", Response::Partial),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}x\r\n", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\n\r\n{}", Response::UntilClose { status: 200, body_start: 19 }),
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n{}", Response::Malformed),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}", Response::Malformed),
        (b"SSH-2.0-OpenSSH\r\n", Response::Malformed),
    ];
    for (bytes, expected) in cases {
        assert_eq!(
            http::parse_response(bytes),
            expected,
            "{}",
            String::from_utf8_lossy(bytes)
        );
    }
    let listed = |entry: &str| format!(r#"{{"index":4,"snapshot":false,"endpoints":[{entry}]}}"#);
    let good = r#"{"name":"s","address":"1.2.3.4:5","zone":"a","group":3,"status":"DRAINING","weight":2.5,"since_ms":9,"rank":"source"}"#;
    #[rustfmt::skip]
    let cases = [
        (listed(good), Some((1, 0))),
        (listed(r#"{"name":"s","status":"DELETED"}"#), Some((1, 0))),
        (format!("\r\n {{\n\t\"endpoints\" : [\n    {good}\n  ] ,\r\n  \"index\" :\t4\n}}\n\n"), Some((1, 0))),
        (listed(good)[..60].to_owned(), None),
        (format!("{}x", listed(good)), None),
        (listed(&format!(r#"{good},{{"address":"1.2.3.4:5","status":"SERVING"}},7"#)), Some((1, 2))),
        (listed(r#"{"name":"s","status":"SERVING"}"#), Some((0, 1))),
        (listed(r#"{"name":"s","address":"1.2.3.4:5","status":"AWAY"}"#), Some((0, 1))),
        (listed(r#"{"name":"s","address":"1.2.3.4:5","status":"SERVING","group":"x"}"#), Some((0, 1))),
        (r#"{"index":4}"#.to_owned(), None),
        (r#"{"endpoints":[]}"#.to_owned(), None),
        ("[]".to_owned(), None),
        (listed("").replacen('{', &format!(r#"{{"x":{}1{},"#, "[".repeat(15), "]".repeat(15)), 1), Some((0, 0))),
        (listed("").replacen('{', &format!(r#"{{"x":{}1{},"#, "[".repeat(16), "]".repeat(16)), 1), None),
        (listed("").replacen('{', &format!(r#"{{"x":"\\\"{}","#, "[".repeat(99)), 1), Some((0, 0))),
        ("{".to_owned(), None),
    ];
    for (text, expected) in cases {
        let read = endpoint_list::parse(text.as_bytes());
        assert_eq!(read.map(|r| (r.entries.len(), r.skipped)), expected, "{text}");
    }
    let read = endpoint_list::parse(listed(good).as_bytes()).expect("is good");
    let e = &read.entries[0];
    assert_eq!(
        (read.index, read.is_complete, e.status, e.group),
        (4, false, EndpointStatus::Draining, 3)
    );
    assert_eq!(
        (e.weight, e.since_ms, e.is_primary, &e.zone[..]),
        (2.5, 9, true, "a")
    );
}

#[test]
fn answered_watch_sends_next_request_at_once() {
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let list = |index: u32| answer(&format!(r#"{{"index":{index},"snapshot":true,"endpoints":[]}}"#));
    let path = |out: &ConnectionOutput<discovery_watch::DiscoveryMessage>| {
        let text = String::from_utf8_lossy(&out.bytes).into_owned();
        text.split(' ').nth(1).unwrap_or_default().to_owned()
    };
    for (known, first) in [
        (None, "/registry/instances"),
        (Some(7), "/registry/instances?after=7&wait_ms=500"),
    ] {
        let (mut calls, mut out) = (
            discovery_watch::DiscoveryWatch::new(3, "h".to_owned(), 500, known),
            ConnectionOutput::default(),
        );
        calls.on_open(&mut out);
        assert_eq!(path(&out), first);
        for index in [8, 9] {
            out.bytes.clear();
            hear(&mut calls, list(index).as_bytes(), 11, &mut out);
            assert_eq!(
                path(&out),
                format!("/registry/instances?after={index}&wait_ms=500")
            );
            assert!(
                matches!(out.events.pop(), Some(discovery_watch::DiscoveryMessage { request: 3, event: discovery_watch::DiscoveryEvent::Listed(r) }) if r.index == u64::from(index))
            );
        }
        // Discovery began anew, with changes that came after nothing known here; in the end with the whole list.
        out.bytes.clear();
        let change = answer(r#"{"index":2,"snapshot":false,"endpoints":[]}"#);
        hear(&mut calls, change.as_bytes(), 11, &mut out);
        assert_eq!(path(&out), "/registry/instances");
        assert!(matches!(
            out.events.pop(),
            Some(discovery_watch::DiscoveryMessage {
                event: discovery_watch::DiscoveryEvent::Outdated,
                ..
            })
        ));
        hear(&mut calls, list(2).as_bytes(), 11, &mut out);
        assert!(
            matches!(out.events.pop(), Some(discovery_watch::DiscoveryMessage { event: discovery_watch::DiscoveryEvent::Listed(r), .. }) if r.is_complete)
        );
        hear(&mut calls, answer("{}").as_bytes(), 11, &mut out);
        assert!(matches!(
            out.events.pop(),
            Some(discovery_watch::DiscoveryMessage {
                request: 3,
                event: discovery_watch::DiscoveryEvent::Unreadable
            })
        ));
        assert!(out.close);
    }
}

/// An answer that says no length ends with its connection, where the peer ended that. A reset is no end, and one that was cut
/// is none either.
#[test]
fn response_without_length_ends_with_connection() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let list = r#"{"index":8,"snapshot":true,"endpoints":[]}"#;
    for (status, bytes, ended, told) in [
        ("whole", format!("{head}{list}"), true, "8"),
        ("reset", format!("{head}{list}"), false, ""),
        ("cut", format!("{head}{}", &list[..20]), true, "unreadable"),
        (
            "not a list",
            format!("HTTP/1.1 503 No\r\n\r\n{list}"),
            true,
            "unreadable",
        ),
        ("only a head", head.to_owned(), true, "unreadable"),
        ("half a head", head[..12].to_owned(), true, ""),
        (
            "half of what was promised",
            format!("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{list}"),
            true,
            "",
        ),
    ] {
        let mut call = discovery_watch::DiscoveryWatch::new(3, "h".to_owned(), 500, Some(7));
        let (mut out, mut input) = (ConnectionOutput::default(), Vec::new());
        call.on_open(&mut out);
        assert!(
            call.wants_input(1 << 20) && !call.wants_input(16 << 20),
            "one that never ends fills no memory"
        );
        for byte in bytes.bytes() {
            input.push(byte);
            call.on_input(&mut input, AT, &mut out);
        }
        assert!(out.events.is_empty(), "{status}: not before its end");
        if ended {
            call.on_peer_closed(&input, &mut out);
        }
        call.on_closed(AT, &mut out);
        let words = out.events.iter().map(|n| match &n.event {
            discovery_watch::DiscoveryEvent::Listed(list) => list.index.to_string(),
            discovery_watch::DiscoveryEvent::Outdated => "older".to_owned(),
            discovery_watch::DiscoveryEvent::Unreadable => "unreadable".to_owned(),
            discovery_watch::DiscoveryEvent::Closed => "down".to_owned(),
        });
        let words = words.collect::<Vec<_>>().join(" ");
        assert_eq!(words, format!("{told} down").trim(), "{status}");
    }
}
