//! Endpoint lists, HTTP responses and the discovery watch.

use crate::harness::*;

#[test]
#[expect(clippy::too_many_lines, reason = "a table of cases, or one run step by step")]
fn parse_response_and_parse_endpoint_list_accept_valid_input_only() {
    let complete = |status, body: &[u8], length, keep_alive| Response::Complete {
        status,
        body: body.to_vec(),
        length,
        keep_alive,
    };
    #[rustfmt::skip]
    let cases: Vec<(&[u8], Response)> = vec![
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HT", complete(200, b"{}", 40, true)),
        (b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nConnection: close\r\n\r\n{}", complete(200, b"{}", 59, false)),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", complete(503, b"", 38, true)),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n1\r\n}\r\n0\r\n\r\n", complete(200, b"{}", 64, true)),
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
    let list_with = |entry: &str| format!(r#"{{"index":4,"snapshot":false,"endpoints":[{entry}]}}"#);
    let valid_entry = r#"{"name":"s","address":"1.2.3.4:5","zone":"a","group":3,"status":"DRAINING","weight":2.5,"since_ms":9,"rank":"source"}"#;
    #[rustfmt::skip]
    let cases = [
        (list_with(valid_entry), Some((1, 0))),
        (list_with(r#"{"name":"s","status":"DELETED"}"#), Some((1, 0))),
        (format!("\r\n {{\n\t\"endpoints\" : [\n    {valid_entry}\n  ] ,\r\n  \"index\" :\t4\n}}\n\n"), Some((1, 0))),
        (list_with(valid_entry)[..60].to_owned(), None),
        (format!("{}x", list_with(valid_entry)), None),
        (list_with(&format!(r#"{valid_entry},{{"address":"1.2.3.4:5","status":"SERVING"}},7"#)), Some((1, 2))),
        (list_with(r#"{"name":"s","status":"SERVING"}"#), Some((0, 1))),
        (list_with(r#"{"name":"s","address":"1.2.3.4:5","status":"AWAY"}"#), Some((0, 1))),
        (list_with(r#"{"name":"s","address":"1.2.3.4:5","status":"SERVING","group":"x"}"#), Some((0, 1))),
        (r#"{"index":4}"#.to_owned(), None),
        (r#"{"endpoints":[]}"#.to_owned(), None),
        ("[]".to_owned(), None),
        (list_with("").replacen('{', &format!(r#"{{"x":{}1{},"#, "[".repeat(15), "]".repeat(15)), 1), Some((0, 0))),
        (list_with("").replacen('{', &format!(r#"{{"x":{}1{},"#, "[".repeat(16), "]".repeat(16)), 1), None),
        (list_with("").replacen('{', &format!(r#"{{"x":"\\\"{}","#, "[".repeat(99)), 1), Some((0, 0))),
        ("{".to_owned(), None),
    ];
    for (text, expected) in cases {
        let parsed = endpoint_list::parse(text.as_bytes());
        assert_eq!(
            parsed.map(|list| (list.entries.len(), list.skipped)),
            expected,
            "{text}"
        );
    }
    let parsed = endpoint_list::parse(list_with(valid_entry).as_bytes()).expect("parse a valid list");
    let endpoint = &parsed.entries[0];
    assert_eq!(
        (parsed.index, parsed.is_complete, endpoint.status, endpoint.group),
        (4, false, EndpointStatus::Draining, 3)
    );
    assert_eq!(
        (
            endpoint.weight,
            endpoint.since_ms,
            endpoint.is_primary,
            &endpoint.zone[..]
        ),
        (2.5, 9, true, "a")
    );
}

#[test]
fn on_input_complete_response_sends_next_request() {
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let list = |index: u32| answer(&format!(r#"{{"index":{index},"snapshot":true,"endpoints":[]}}"#));
    let path = |out: &ConnectionOutput<discovery_watch::DiscoveryMessage>| {
        let text = String::from_utf8_lossy(&out.bytes).into_owned();
        text.split(' ').nth(1).unwrap_or_default().to_owned()
    };
    for (known_version, expected_path) in [
        (None, "/registry/instances"),
        (Some(7), "/registry/instances?after=7&wait_ms=500"),
    ] {
        let (mut watch, mut out) = (
            discovery_watch::DiscoveryWatch::new(3, "h".to_owned(), 500, known_version),
            ConnectionOutput::default(),
        );
        watch.on_open(&mut out);
        assert_eq!(path(&out), expected_path);
        for index in [8, 9] {
            out.bytes.clear();
            feed_input(&mut watch, list(index).as_bytes(), 11, &mut out);
            assert_eq!(
                path(&out),
                format!("/registry/instances?after={index}&wait_ms=500")
            );
            assert!(
                matches!(out.events.pop(), Some(discovery_watch::DiscoveryMessage { request: 3, event: discovery_watch::DiscoveryEvent::Listed(r) }) if r.index == u64::from(index))
            );
        }
        // Discovery has restarted and sends changes to an older version, later the complete list.
        out.bytes.clear();
        let change = answer(r#"{"index":2,"snapshot":false,"endpoints":[]}"#);
        feed_input(&mut watch, change.as_bytes(), 11, &mut out);
        assert_eq!(path(&out), "/registry/instances");
        assert!(matches!(
            out.events.pop(),
            Some(discovery_watch::DiscoveryMessage {
                event: discovery_watch::DiscoveryEvent::Outdated,
                ..
            })
        ));
        feed_input(&mut watch, list(2).as_bytes(), 11, &mut out);
        assert!(
            matches!(out.events.pop(), Some(discovery_watch::DiscoveryMessage { event: discovery_watch::DiscoveryEvent::Listed(r), .. }) if r.is_complete)
        );
        feed_input(&mut watch, answer("{}").as_bytes(), 11, &mut out);
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

/// A response without a length ends when the peer closes the connection. A response cut off by a reset is not
/// used.
#[test]
fn on_peer_closed_response_without_length_is_complete() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let list = r#"{"index":8,"snapshot":true,"endpoints":[]}"#;
    for (name, bytes, is_closed_by_peer, expected_event) in [
        ("complete", format!("{head}{list}"), true, "8"),
        ("reset", format!("{head}{list}"), false, ""),
        ("truncated", format!("{head}{}", &list[..20]), true, "unreadable"),
        (
            "not a list",
            format!("HTTP/1.1 503 No\r\n\r\n{list}"),
            true,
            "unreadable",
        ),
        ("only headers", head.to_owned(), true, "unreadable"),
        ("partial headers", head[..12].to_owned(), true, ""),
        (
            "shorter than the declared length",
            format!("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{list}"),
            true,
            "",
        ),
    ] {
        let mut watch = discovery_watch::DiscoveryWatch::new(3, "h".to_owned(), 500, Some(7));
        let (mut out, mut input) = (ConnectionOutput::default(), Vec::new());
        watch.on_open(&mut out);
        assert!(
            watch.wants_input(1 << 20) && !watch.wants_input(16 << 20),
            "an endless response is bounded"
        );
        for byte in bytes.bytes() {
            input.push(byte);
            watch.on_input(&mut input, AT, &mut out);
        }
        assert!(out.events.is_empty(), "{name}: no event before the end");
        if is_closed_by_peer {
            watch.on_peer_closed(&input, &mut out);
        }
        watch.on_closed(AT, &mut out);
        let events = out.events.iter().map(|message| match &message.event {
            discovery_watch::DiscoveryEvent::Listed(list) => list.index.to_string(),
            discovery_watch::DiscoveryEvent::Outdated => "outdated".to_owned(),
            discovery_watch::DiscoveryEvent::Unreadable => "unreadable".to_owned(),
            discovery_watch::DiscoveryEvent::Closed => "closed".to_owned(),
        });
        let events = events.collect::<Vec<_>>().join(" ");
        assert_eq!(events, format!("{expected_event} closed").trim(), "{name}");
    }
}
