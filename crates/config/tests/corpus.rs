//! Files of the language, whole and faulty. Each faulty one says, in its first line, where its first error is and what
//! words the message holds; each valid one has a form whose meaning is the same.

use asterlatch_config::format::format;
use asterlatch_config::load::{read, LoadOutcome, MemorySource};
use asterlatch_config::resolved::{changes, hash};
use asterlatch_config::service_schema;
use std::collections::BTreeMap;

/// Reads one case: files are parted by lines `--- NAME`, the first is `root.latch`.
fn held(text: &str) -> MemorySource {
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

fn meant(files: &MemorySource) -> LoadOutcome {
    read(
        "root.latch",
        files,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    )
}

fn cases(text: &str) -> Vec<(String, String)> {
    let parts = text.split("\n===== ").skip(1);
    let case = |part: &str| {
        let (head, body) = part.split_once('\n').expect("a case has a head");
        (head.to_owned(), body.to_owned() + "\n")
    };
    parts.map(case).collect()
}

#[test]
fn faulty_files_are_told_with_file_line_and_column() {
    let all = cases(include_str!("corpus/faulty.txt"));
    assert!(all.len() >= 90, "{} cases", all.len());
    let mut failed = Vec::new();
    for (head, body) in &all {
        // Where the error is, and words of its message.
        let (at, words) = head.split_once(' ').expect("a place and words");
        let outcome = meant(&held(body));
        let text = outcome.render_diagnostics();
        let first = text.lines().next().unwrap_or("no error");
        if outcome.settings.is_some() || !first.starts_with(&format!("{at}: ")) || !first.contains(words) {
            failed.push(format!("{head}\n{body}{text}"));
        }
        // Each message names a file of the case, a line and a column that are there.
        for diagnostic in &outcome.diagnostics {
            let file = &outcome.files[diagnostic.location.file as usize];
            let (line, _) = file.line_and_column(diagnostic.location.start);
            assert!(line <= file.text.lines().count() + 1, "{head}: line {line}");
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
fn valid_files_keep_their_meaning_in_their_form() {
    let all = cases(include_str!("corpus/valid.txt"));
    assert!(all.len() >= 60, "{} cases", all.len());
    let schema = service_schema::schema();
    let mut by_meaning: BTreeMap<String, Vec<String>> = BTreeMap::new();
    let mut meanings = Vec::new();
    for (head, body) in &all {
        let files = held(body);
        let outcome = meant(&files);
        let text = outcome.render_diagnostics();
        let settings = outcome.settings.unwrap_or_else(|| panic!("{head}\n{body}{text}"));
        let formed: BTreeMap<_, _> = files
            .0
            .iter()
            .map(|(name, bytes)| {
                let text = String::from_utf8(bytes.clone()).expect("is text");
                let formed = format(&text);
                assert_eq!(
                    format(&formed),
                    formed,
                    "{head}: {name} has no one form\n{formed}"
                );
                (name.clone(), formed.into_bytes())
            })
            .collect();
        let again = meant(&MemorySource(formed))
            .settings
            .unwrap_or_else(|| panic!("{head}: its form is faulty"));
        assert!(
            changes(&schema, &settings, &again).is_empty(),
            "{head}: its form means something else"
        );
        // The first word of the head is a class: cases of a class mean the same, others don't.
        let class = head.split(' ').next().expect("has a class").to_owned();
        by_meaning
            .entry(hash(&settings.canonical(&schema)))
            .or_default()
            .push(class);
        meanings.push(settings);
    }
    let mut seen = BTreeMap::new();
    for (hash, classes) in &by_meaning {
        assert!(
            classes.windows(2).all(|p| p[0] == p[1]),
            "one meaning for {classes:?}"
        );
        assert!(
            seen.insert(classes[0].clone(), hash).is_none(),
            "two meanings for {}",
            classes[0]
        );
    }
    // The diff is empty just where the canonical texts are equal.
    for a in &meanings {
        for b in &meanings {
            let same = a.canonical(&schema) == b.canonical(&schema);
            assert_eq!(changes(&schema, a, b).is_empty(), same);
        }
    }
}
