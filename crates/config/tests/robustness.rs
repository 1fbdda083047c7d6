//! No file content causes a panic, unbounded time or memory, or a read outside its folder.

#![allow(clippy::type_complexity)] // Tables of cases.

use asterlatch_config::diagnostic::SourceFile;
use asterlatch_config::format::format;
use asterlatch_config::fuzz_checks::check_bytes;
use asterlatch_config::load::{read, FolderSource, LoadOutcome, MemorySource, MAX_FILE_BYTES};
use asterlatch_config::resolved::{changes, ResolvedSettings};
use asterlatch_config::service_schema;
use asterlatch_config::unit::{Quantity, QuantityError, Unit};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs;
use std::os::unix::fs::symlink;

fn load_root(bytes: impl Into<Vec<u8>>) -> LoadOutcome {
    let files = MemorySource(BTreeMap::from([("root.latch".to_owned(), bytes.into())]));
    read(
        "root.latch",
        &files,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    )
}

#[test]
fn load_pathological_file_reports_bounded_error() {
    let deep = |open: &str, close: &str| format!("x = {}1{}\n", open.repeat(10_000), close.repeat(10_000));
    let names: String = (1..5000).map(|n| format!("a{n} = [a{}]\n", n - 1)).collect();
    let doubled: String = (1..60).map(|n| format!("t{n} = t{0} + t{0}\n", n - 1)).collect();
    let twice: String = (1..31).map(|n| format!("a{n} = [a{0}, a{0}]\n", n - 1)).collect();
    #[rustfmt::skip]
    let cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("60 MB", vec![b'#'; 60 << 20], "longer than"),
        ("brackets", deep("[", "]").into(), "nested more than"),
        ("braces", deep("{1:", "}").into(), "nested more than"),
        ("parentheses", deep("(", ")").into(), "nested more than"),
        ("calls", deep("f(", ")").into(), "nested more than"),
        ("not", deep("not ", "").into(), "nested more than"),
        ("minus", deep("-", "").into(), "nested more than"),
        ("open only", "[".repeat(10_000).into(), "nested more than"),
        ("chained calls", format!("x = f{}\n", "()".repeat(10_000)).into(), "nested more than"),
        ("chained indices", format!("x = f{}\n", "[0]".repeat(10_000)).into(), "nested more than"),
        ("if", format!("x = {}2\n", "1 if True else ".repeat(10_000)).into(), "nested more than"),
        ("clauses", format!("x = [1 {}]\n", "for a in [1] ".repeat(10_000)).into(), "clauses"),
        ("nested values", format!("a0 = []\n{names}").into(), "the value is nested too deeply"),
        ("doubled strings", format!("t0 = \"0123456789abcdef\"\n{doubled}").into(), "too many values"),
        ("lists with shared elements", format!("a0 = [1]\n{twice}x = a30 == a30\n").into(),
         "too many steps"),
        ("never ends", "x = [1 for a in range(2000) for b in range(2000) for c in range(2000)]".into(),
         "too many"),
        ("not UTF-8", b"x = 1\ny = \xff".to_vec(), "invalid UTF-8"),
        ("NUL", b"x = \0".to_vec(), "unexpected character"),
        ("a lone carriage return", b"x = 1\ry = 2".to_vec(), "unexpected character"),
        ("UTF-16", "x = 1\n".encode_utf16().flat_map(u16::to_le_bytes).collect(), "unexpected character"),
        ("a name of a megabyte", "a".repeat(1 << 20).into(), "unknown name"),
        ("20001 entries", (0..20_001).map(|n| format!("workload(\"w{n}\")\n")).collect::<String>().into(),
         "more than 20000"),
        ("generated entries", "[workload(str(n)) for n in range(30000)]".into(), "more than 20000"),
    ];
    for (name, bytes, message_part) in cases {
        let outcome = load_root(bytes);
        let text = outcome.render_diagnostics();
        assert!(
            outcome.settings.is_none() && text.contains(message_part),
            "{name}\n{}",
            &text[..text.len().min(400)]
        );
        assert!(text.starts_with("root.latch:"), "{name}");
        assert!(
            text.len() < 200_000,
            "{name}: {} bytes of diagnostics",
            text.len()
        );
        assert!(outcome.diagnostics.len() <= 101, "{name}");
    }
}

#[test]
fn load_unusual_but_valid_file_succeeds() {
    #[rustfmt::skip]
    let cases: [(&str, &[u8]); 5] = [
        ("byte order mark", b"\xef\xbb\xbfclients(rest = 9s)\n"),
        ("CRLF", b"clients(\r\n  rest = 9s,\r\n)\r\n"),
        ("no end of line", b"clients(rest = 9s)"), ("tabs", b"\tclients(\trest\t=\t9s\t)".trim_ascii_start()),
        ("long chains", b"clients(rest = 9s)"),
    ];
    let schema = service_schema::schema();
    let plain = load_root("clients(rest = 9s)")
        .settings
        .expect("the file is valid");
    for (name, bytes) in cases {
        let found = load_root(bytes).settings.unwrap_or_else(|| panic!("{name}"));
        assert!(changes(&schema, &plain, &found).is_empty(), "{name}");
    }
    let chain = format!("x = {}1\nclients(rest = 9s)", "1 + ".repeat(50_000));
    assert!(
        load_root(chain).settings.is_some(),
        "a long chain is not deeply nested"
    );
}

/// A file that is read while it is written may be truncated anywhere. Truncation within a statement must be
/// an error.
#[test]
fn load_truncated_file_rejects_partial_statement() {
    let text = "# é\ndef f(t = 1s):\n    u = t * 2\n    return u\n\n\
                clients(\n    rest = f(4s),  # a\n    message = 3s,\n)\n\
                x = {\"a\": [1, 2], \"b\": \"\\\"\\n\"}\n\
                workload(\"a\", timeout = 1s if True else 2s, **{\"longest\": 1KiB})\n";
    assert!(
        load_root(text).settings.is_some(),
        "{}",
        load_root(text).render_diagnostics()
    );
    for at in 0..text.len() {
        let outcome = load_root(&text.as_bytes()[..at]);
        let _ = outcome.render_diagnostics();
        let is_inside = at > text.find("clients(").expect("the text has the bracket") + 7
            && at <= text.find(")\nx").expect("the text has the bracket");
        assert!(
            !is_inside || outcome.settings.is_none(),
            "accepted although truncated at {at}, within a bracket"
        );
    }
}

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[test]
fn check_bytes_arbitrary_input_holds() {
    #[rustfmt::skip]
    let pieces = prop::sample::select(vec![
        "x", "f", "clients", "workload", "rest", "timeout", "memory", "load", "def", "return", "if",
        "else", "for", "in",
        "and", "or", "not", "True", "None", "1", "2s", "15%", "64KiB", "5/s", "1.5s", "\"a\"", "\"b\"",
        "\"", "(", ")",
        "[", "]", "{", "}", ",", ":", "=", "==", "<", "+", "-", "*", "**", "//", "%", "\n", "\n    ",
        "\n\n", " ", "# c\n",
        "\t", "\r\n", "\u{feff}", "\0", "é", "$", "clients(rest = 9s)", "x = ",
        "def f(a):\n    return a\n", "range(9)",
        "load(\"root.latch\")", "len", "str", "(x)", "[0]", "f(1)", " for a in [1, 2]", " if True else ", "a",
    ]);
    let generated_text =
        prop::collection::vec(pieces, 0..40).prop_map(|setting_count| setting_count.concat());
    runner(3000)
        .run(&generated_text, |text| {
            check_bytes(text.as_bytes());
            Ok(())
        })
        .expect("the property holds");
    runner(500)
        .run(&prop::collection::vec(any::<u8>(), 0..200), |bytes| {
            check_bytes(&bytes);
            Ok(())
        })
        .expect("the property holds");
}

/// Generated valid programs: formatting keeps the settings, and the diff is exact.
#[test]
fn format_and_changes_generated_program_agree() {
    let schema = service_schema::schema();
    let span = (50u64..100_000).prop_flat_map(|ms| {
        prop::sample::select(vec![
            format!("{ms}ms"),
            format!("{}us", ms * 1000),
            format!("{} * 1ms", ms),
            format!("{}ms + {}ms", ms / 2, ms - ms / 2),
            format!("{ms}ms if 1 < 2 else 1s"),
            format!("[1s, {ms}ms][1]"),
            format!("max([{ms}ms, 1ms])"),
        ])
        .prop_map(move |text| (ms, text))
    });
    let entries = prop::collection::btree_map("[a-z]{1,6}", span, 0..8);
    let style = prop::collection::vec(0u8..4, 8);
    runner(400)
        .run(&(entries.clone(), entries, style), |(a, b, style)| {
            let program = |entries: &BTreeMap<String, (u64, String)>, reverse: bool| {
                let mut lines: Vec<String> = entries
                    .iter()
                    .enumerate()
                    .map(|(n, (name, (_, text)))| match style[n % style.len()] {
                        0 => format!("workload(\"{name}\", timeout={text})"),
                        1 => format!("[workload(n , timeout = {text}) for n in [\"{name}\"]]  # c"),
                        2 => format!("workload(\n\"{name}\",\n # why\n timeout = ({text})\n)"),
                        _ => format!("workload(\"{name}\", **{{\"timeout\": {text}}})"),
                    })
                    .collect();
                if reverse {
                    lines.reverse();
                }
                lines.join("\n")
            };
            let resolve = |text: String| {
                load_root(text.clone())
                    .settings
                    .unwrap_or_else(|| panic!("{text}\n{}", load_root(text.clone()).render_diagnostics()))
            };
            let (old, new) = (resolve(program(&a, false)), resolve(program(&b, true)));
            prop_assert_eq!(&resolve(format(&program(&a, true))), &old);
            let expected_changes = a
                .iter()
                .filter(|(k, v)| b.get(*k).map(|w| w.0) != Some(v.0))
                .count()
                + b.keys().filter(|k| !a.contains_key(*k)).count();
            let found = changes(&schema, &old, &new);
            let timeout_changes = found
                .iter()
                .filter(|c| schema.setting(&c.path).name == "timeout")
                .count();
            prop_assert_eq!(timeout_changes, expected_changes);
            prop_assert_eq!(found.is_empty(), old.canonical(&schema) == new.canonical(&schema));
            let (reloaded, unknown_names) =
                ResolvedSettings::from_canonical(&schema, &new.canonical(&schema))
                    .expect("parse the canonical text");
            prop_assert!(unknown_names.is_empty());
            prop_assert_eq!(reloaded, new);
            Ok(())
        })
        .expect("the property holds");
}

#[test]
fn quantity_parse_and_display_round_trip() {
    use Unit::*;
    #[rustfmt::skip]
    let cases: [(&str, Result<(Unit, i64), QuantityError>, &str); 20] = [
        ("0", Ok((Count, 0)), "0"), ("16", Ok((Count, 16)), "16"),
        ("1.2s", Ok((Duration, 1_200_000)), "1200ms"),
        ("60s", Ok((Duration, 60_000_000)), "1min"), ("0ms", Ok((Duration, 0)), "0s"),
        ("0.000001s", Ok((Duration, 1)), "1us"), ("0.0000001s", Err(QuantityError::TooFine), ""),
        ("64KiB", Ok((Size, 65_536)), "64KiB"), ("1000KB", Ok((Size, 1_000_000)), "1MB"),
        ("1.5KiB", Ok((Size, 1536)), "1536B"),
        ("200/s", Ok((Rate, 720_000_000)), "200/s"), ("1/h", Ok((Rate, 1000)), "1/h"),
        ("0.0005/h", Err(QuantityError::TooFine), ""),
        ("0.5/h", Ok((Rate, 500)), "0.5/h"), ("15%", Ok((Share, 150_000)), "15%"),
        ("66.6667%", Ok((Share, 666_667)), "66.6667%"),
        ("0.0001%", Ok((Share, 1)), "0.0001%"), ("1.5", Err(QuantityError::TooFine), ""),
        ("9999999999999999d", Err(QuantityError::TooLarge), ""),
        ("5parsec", Err(QuantityError::UnknownUnit), ""),
    ];
    for (text, expected, written) in cases {
        let found = Quantity::parse(text);
        assert_eq!(found.map(|q| (q.unit, q.amount)), expected, "{text}");
        if let Ok(found) = found {
            assert_eq!(found.to_string(), written, "{text}");
        }
    }
    let any_amount = (
        prop::sample::select(vec![Count, Duration, Size, Rate, Share]),
        0..i64::MAX,
    );
    runner(3000)
        .run(&any_amount, |(unit, amount)| {
            let q = Quantity::new(unit, amount);
            prop_assert_eq!(Quantity::parse(&q.to_string()), Ok(q));
            Ok(())
        })
        .expect("the property holds");
}

/// Defaults and bounds are literals of the setting's unit; the reference page and the example file match the
/// schema.
#[test]
fn schema_tables_are_consistent() {
    let schema = service_schema::schema();
    for (section, bounds) in schema.sections.iter().zip(&schema.bounds) {
        assert!(!section.description.is_empty());
        for (setting, b) in section.settings.iter().zip(bounds) {
            let name = format!("{}.{}", section.name, setting.name);
            assert!(
                b.min.amount != i64::MIN && b.max.amount != i64::MIN,
                "{name}: a bound is not a literal"
            );
            assert!(b.min.unit == b.max.unit && b.min.amount < b.max.amount, "{name}");
            assert_eq!(
                b.default.is_none(),
                section.key.is_some(),
                "{name}: exactly settings of entries have no default"
            );
            if let Some(default) = b.default {
                let is_in_bounds = (b.min.amount..=b.max.amount).contains(&default.amount);
                assert!(default.unit == b.unit && is_in_bounds, "{name}");
                assert_eq!(
                    default.to_string(),
                    setting.default,
                    "{name}: the default is not in its canonical form"
                );
            }
        }
    }
    let page = include_str!("../../../docs/config/reference.md");
    assert_eq!(
        page,
        schema.reference(),
        "regenerate docs/config/reference.md with `asterlatch config reference`"
    );
    let example = include_str!("../../../deploy/asterlatch.latch");
    let example_settings = load_root(example).settings.expect("the file is valid");
    assert!(
        changes(&schema, &ResolvedSettings::defaults(&schema), &example_settings).is_empty(),
        "the example states the defaults"
    );
    assert_eq!(format(example), example);
    let set_count = load_root(example).locations.len();
    let setting_count = schema
        .sections
        .iter()
        .filter(|s| s.key.is_none())
        .map(|s| s.settings.len())
        .sum::<usize>();
    assert_eq!(set_count, setting_count, "the example sets every setting");
}

/// Counts the files that are read.
struct CountingSource<'a> {
    folder: &'a FolderSource,
    reads: Cell<usize>,
}

impl asterlatch_config::load::Source for CountingSource<'_> {
    fn identity(&self, name: &str) -> Result<String, asterlatch_config::load::SourceError> {
        self.folder.identity(name)
    }
    fn bytes(
        &self,
        identity: &str,
        max_bytes: usize,
    ) -> Result<Vec<u8>, asterlatch_config::load::SourceError> {
        self.reads.set(self.reads.get() + 1);
        self.folder.bytes(identity, max_bytes)
    }
}

#[test]
fn load_includes_stay_in_folder_and_are_read_once() {
    let dir = tempfile::tempdir().expect("create a temporary folder");
    let inside = dir.path().join("in");
    fs::create_dir_all(inside.join("sub")).expect("create the folder");
    let write = |name: &str, text: &str| fs::write(dir.path().join(name), text).expect("write the file");
    write("secret.latch", "x = 9s");
    write("in/a.latch", "x = 9s");
    write("in/sub/b.latch", "load(\"a.latch\", \"x\")\ny = x");
    symlink("../secret.latch", inside.join("out.latch")).expect("create the symbolic link");
    symlink("a.latch", inside.join("alias.latch")).expect("create the symbolic link");
    symlink("circle.latch", inside.join("round.latch")).expect("create the symbolic link");
    symlink("nowhere.latch", inside.join("dangling.latch")).expect("create the symbolic link");
    symlink("loop2.latch", inside.join("loop1.latch")).expect("create the symbolic link");
    symlink("loop1.latch", inside.join("loop2.latch")).expect("create the symbolic link");
    write("in/circle.latch", "load(\"round.latch\", \"x\")");
    fs::create_dir(inside.join("folder.latch")).expect("create the folder");
    write("in/long.latch", &"#".repeat(MAX_FILE_BYTES + 1));
    #[rustfmt::skip]
    let cases = [
        ("load(\"a.latch\", \"x\")\nload(\"alias.latch\", z = \"x\")\nclients(rest = z)", None, 2),
        ("load(\"sub/b.latch\", \"y\")\nload(\"./a.latch\", \"x\")\nclients(rest = y)", None, 3),
        ("load(\"out.latch\", \"x\")", Some("outside the folder"), 1),
        ("load(\"../secret.latch\", \"x\")", Some("outside the folder"), 1),
        ("load(\"sub/../../secret.latch\", \"x\")", Some("outside the folder"), 1),
        ("load(\"\", \"x\")", Some("outside the folder"), 1),
        ("load(\"dangling.latch\", \"x\")", Some("can't be read"), 1),
        ("load(\"loop1.latch\", \"x\")", Some("can't be read"), 1),
        ("load(\"folder.latch\", \"x\")", Some("not a regular file"), 2),
        ("load(\"long.latch\", \"x\")", Some("longer than"), 2),
        ("load(\"round.latch\", \"x\")", Some("loads itself"), 2),
        ("load(\"circle.latch\", \"x\")", Some("loads itself"), 2),
    ];
    for (text, expected_error, reads) in cases {
        write("in/root.latch", text);
        let path = inside.join("root.latch");
        let (folder, name) = FolderSource::containing(path.to_str().expect("the path is UTF-8"));
        let counting_source = CountingSource {
            folder: &folder,
            reads: Cell::new(0),
        };
        let outcome = read(
            &name,
            &counting_source,
            &service_schema::schema(),
            service_schema::DEFAULT_MACHINE,
        );
        match expected_error {
            None => assert!(
                outcome.settings.is_some(),
                "{text}\n{}",
                outcome.render_diagnostics()
            ),
            Some(message_part) => assert!(
                outcome.render_diagnostics().contains(message_part),
                "{text}\n{}",
                outcome.render_diagnostics()
            ),
        }
        assert_eq!(
            counting_source.reads.get(),
            reads,
            "{text}: each file must be read once"
        );
    }
}

#[test]
fn render_untrusted_source_strips_control_characters() {
    let outcome = load_root("x = \"\u{1b}[31m\" + 1 # \u{7}\n");
    let text = outcome.render_diagnostics();
    assert!(
        text.contains("a string and a count cannot be added")
            && !text.contains('\u{1b}')
            && !text.contains('\u{7}')
    );
    let long = load_root(format!("{}x = y + 1", " ".repeat(0)) + &" ".repeat(5000) + "+ z");
    assert!(
        long.render_diagnostics().lines().all(|l| l.chars().count() < 700),
        "{}",
        long.render_diagnostics()
    );
    let file = SourceFile {
        name: "n".to_owned(),
        text: "é = 1\nzz".to_owned(),
    };
    assert_eq!(
        (
            file.line_and_column(3),
            file.line_and_column(7),
            file.line_and_column(99)
        ),
        ((1, 3), (2, 1), (2, 3))
    );
}
