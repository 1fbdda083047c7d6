//! Valid and invalid files. The heading of an invalid one has the location of its first error and a part of
//! the message; the settings of a valid one survive formatting.

use asterlatch_config::format::format;
use asterlatch_config::load::{read, LoadOutcome, MemorySource};
use asterlatch_config::resolved::{changes, hash};
use asterlatch_config::service_schema;
use std::collections::BTreeMap;

/// Files of a case, separated by lines `--- NAME`; the first one is `root.latch`.
fn parse_case(text: &str) -> MemorySource {
    let mut files = BTreeMap::new();
    let (mut name, mut body) = ("root.latch".to_owned(), String::new());
    for line in text.split_inclusive('\n') {
        match line.trim_end().strip_prefix("--- ") {
            Some(next) => {
                files.insert(
                    std::mem::replace(&mut name, next.to_owned()),
                    std::mem::take(&mut body).into_bytes(),
                );
            }
            None => body.push_str(line),
        }
    }
    files.insert(name, body.into_bytes());
    MemorySource(files)
}

fn load_root(files: &MemorySource) -> LoadOutcome {
    read(
        "root.latch",
        files,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    )
}

fn cases(text: &str) -> Vec<(String, String)> {
    let parts = text.split("\n===== ").skip(1);
    let parse_case_block = |part: &str| {
        let (heading, body) = part.split_once('\n').expect("a case has a heading and a body");
        (heading.to_owned(), body.to_owned() + "\n")
    };
    parts.map(parse_case_block).collect()
}

#[test]
fn load_invalid_file_reports_location_and_message() {
    let all = cases(include_str!("corpus/faulty.txt"));
    assert!(all.len() >= 90, "{} cases", all.len());
    let mut failed = Vec::new();
    for (heading, body) in &all {
        let (location, message_part) = heading
            .split_once(' ')
            .expect("a heading has a location and a message");
        let outcome = load_root(&parse_case(body));
        let text = outcome.render_diagnostics();
        let first = text.lines().next().unwrap_or("no error");
        if outcome.settings.is_some()
            || !first.starts_with(&format!("{location}: "))
            || !first.contains(message_part)
        {
            failed.push(format!("{heading}\n{body}{text}"));
        }
        // Each diagnostic refers to an existing line of the case's files.
        for diagnostic in &outcome.diagnostics {
            let file = &outcome.files[diagnostic.location.file as usize];
            let (line, _) = file.line_and_column(diagnostic.location.start);
            assert!(line <= file.text.lines().count() + 1, "{heading}: line {line}");
        }
    }
    assert!(
        failed.is_empty(),
        "{} failed\n\n{}",
        failed.len(),
        failed.join("\n")
    );
}

#[test]
fn format_valid_file_keeps_settings() {
    let all = cases(include_str!("corpus/valid.txt"));
    assert!(all.len() >= 60, "{} cases", all.len());
    let schema = service_schema::schema();
    let mut classes_by_hash: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut all_settings = Vec::new();
    for (heading, body) in &all {
        let files = parse_case(body);
        let outcome = load_root(&files);
        let text = outcome.render_diagnostics();
        let settings = outcome
            .settings
            .unwrap_or_else(|| panic!("{heading}\n{body}{text}"));
        let formatted: BTreeMap<_, _> = files
            .0
            .iter()
            .map(|(name, bytes)| {
                let text = String::from_utf8(bytes.clone()).expect("a valid file is UTF-8");
                let formatted = format(&text);
                assert_eq!(
                    format(&formatted),
                    formatted,
                    "{heading}: formatting {name} is not idempotent\n{formatted}"
                );
                (name.clone(), formatted.into_bytes())
            })
            .collect();
        let reloaded = load_root(&MemorySource(formatted))
            .settings
            .unwrap_or_else(|| panic!("{heading}: the formatted files are invalid"));
        assert!(
            changes(&schema, &settings, &reloaded).is_empty(),
            "{heading}: the formatted files have other settings"
        );
        // Settings are equal exactly within a class, the first word of the heading.
        let class = heading
            .split(' ')
            .next()
            .expect("a heading has a class")
            .to_owned();
        classes_by_hash
            .entry(hash(&settings.canonical(&schema)))
            .or_default()
            .push(class);
        all_settings.push(settings);
    }
    let mut seen = BTreeMap::new();
    for (hash, classes) in &classes_by_hash {
        assert!(
            classes.windows(2).all(|p| p[0] == p[1]),
            "equal settings for {classes:?}"
        );
        assert!(
            seen.insert(classes[0].clone(), hash).is_none(),
            "different settings for {}",
            classes[0]
        );
    }
    // The diff is empty exactly if the canonical texts are equal.
    for a in &all_settings {
        for b in &all_settings {
            let are_equal = a.canonical(&schema) == b.canonical(&schema);
            assert_eq!(changes(&schema, a, b).is_empty(), are_equal);
        }
    }
}
