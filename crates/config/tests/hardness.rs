//! Nothing that a file holds makes the program panic, run on, or take much memory; nothing outside its folder is read.

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

fn root(bytes: impl Into<Vec<u8>>) -> LoadOutcome {
    let files = MemorySource(BTreeMap::from([("root.latch".to_owned(), bytes.into())]));
    read(
        "root.latch",
        &files,
        &service_schema::schema(),
        service_schema::DEFAULT_MACHINE,
    )
}

#[test]
fn monstrous_files_end_with_one_clear_error() {
    let deep = |open: &str, close: &str| format!("x = {}1{}\n", open.repeat(10_000), close.repeat(10_000));
    let names: String = (1..5000).map(|n| format!("a{n} = [a{}]\n", n - 1)).collect();
    let doubled: String = (1..60).map(|n| format!("t{n} = t{0} + t{0}\n", n - 1)).collect();
    let twice: String = (1..31).map(|n| format!("a{n} = [a{0}, a{0}]\n", n - 1)).collect();
    #[rustfmt::skip]
    let cases: Vec<(&str, Vec<u8>, &str)> = vec![
        ("60 MB", vec![b'#'; 60 << 20], "longer than"),
        ("brackets", deep("[", "]").into(), "nested more than"),
        ("braces", deep("{1:", "}").into(), "nested more than"),
        ("round ones", deep("(", ")").into(), "nested more than"),
        ("calls", deep("f(", ")").into(), "nested more than"),
        ("not", deep("not ", "").into(), "nested more than"),
        ("minus", deep("-", "").into(), "nested more than"),
        ("open only", "[".repeat(10_000).into(), "nested more than"),
        ("calls in a row", format!("x = f{}\n", "()".repeat(10_000)).into(), "nested more than"),
        ("indices in a row", format!("x = f{}\n", "[0]".repeat(10_000)).into(), "nested more than"),
        ("if", format!("x = {}2\n", "1 if True else ".repeat(10_000)).into(), "nested more than"),
        ("clauses", format!("x = [1 {}]\n", "for a in [1] ".repeat(10_000)).into(), "clauses"),
        ("values in values", format!("a0 = []\n{names}").into(), "the value nests too deeply"),
        ("doubled texts", format!("t0 = \"0123456789abcdef\"\n{doubled}").into(), "too many values"),
        ("lists that hold one another twice", format!("a0 = [1]\n{twice}x = a30 == a30\n").into(), "too many steps"),
        ("never ends", "x = [1 for a in range(2000) for b in range(2000) for c in range(2000)]".into(), "too many"),
        ("not UTF-8", b"x = 1\ny = \xff".to_vec(), "not UTF-8"),
        ("NUL", b"x = \0".to_vec(), "means nothing here"),
        ("a lone carriage return", b"x = 1\ry = 2".to_vec(), "means nothing here"),
        ("UTF-16", "x = 1\n".encode_utf16().flat_map(u16::to_le_bytes).collect(), "means nothing here"),
        ("a name of a megabyte", "a".repeat(1 << 20).into(), "nothing is called"),
        ("20001 entries", (0..20_001).map(|n| format!("workload(\"w{n}\")\n")).collect::<String>().into(), "more than 20000"),
        ("entries made", "[workload(str(n)) for n in range(30000)]".into(), "more than 20000"),
    ];
    for (name, bytes, words) in cases {
        let outcome = root(bytes);
        let text = outcome.render_diagnostics();
        assert!(
            outcome.settings.is_none() && text.contains(words),
            "{name}\n{}",
            &text[..text.len().min(400)]
        );
        assert!(text.starts_with("root.latch:"), "{name}");
        assert!(text.len() < 200_000, "{name}: {} bytes told", text.len());
        assert!(outcome.diagnostics.len() <= 101, "{name}");
    }
}

#[test]
fn odd_files_that_are_fine() {
    #[rustfmt::skip]
    let cases: [(&str, &[u8]); 5] = [
        ("byte order mark", b"\xef\xbb\xbfclients(rest = 9s)\n"), ("CRLF", b"clients(\r\n  rest = 9s,\r\n)\r\n"),
        ("no end of line", b"clients(rest = 9s)"), ("tabs", b"\tclients(\trest\t=\t9s\t)".trim_ascii_start()),
        ("long chains", b"clients(rest = 9s)"),
    ];
    let schema = service_schema::schema();
    let plain = root("clients(rest = 9s)").settings.expect("is valid");
    for (name, bytes) in cases {
        let found = root(bytes).settings.unwrap_or_else(|| panic!("{name}"));
        assert!(changes(&schema, &plain, &found).is_empty(), "{name}");
    }
    let chain = format!("x = {}1\nclients(rest = 9s)", "1 + ".repeat(50_000));
    assert!(root(chain).settings.is_some(), "a long chain is no deep one");
}

/// A file that is read while it is written may be cut anywhere: no cut panics, and none that lies within a statement is
/// taken for a whole file.
#[test]
fn a_file_cut_at_any_byte_is_told_or_is_whole_statements() {
    let text = "# é\ndef f(t = 1s):\n    u = t * 2\n    return u\n\nclients(\n    rest = f(4s),  # a\n    message = 3s,\n)\n\
                x = {\"a\": [1, 2], \"b\": \"\\\"\\n\"}\nworkload(\"a\", timeout = 1s if True else 2s, **{\"longest\": 1KiB})\n";
    assert!(
        root(text).settings.is_some(),
        "{}",
        root(text).render_diagnostics()
    );
    for at in 0..text.len() {
        let outcome = root(&text.as_bytes()[..at]);
        let _ = outcome.render_diagnostics();
        let inside =
            at > text.find("clients(").expect("is there") + 7 && at <= text.find(")\nx").expect("is there");
        assert!(
            !inside || outcome.settings.is_none(),
            "cut at {at}, within a bracket"
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
fn bytes_of_any_kind_are_survived() {
    #[rustfmt::skip]
    let pieces = prop::sample::select(vec![
        "x", "f", "clients", "workload", "rest", "timeout", "memory", "load", "def", "return", "if", "else", "for", "in",
        "and", "or", "not", "True", "None", "1", "2s", "15%", "64KiB", "5/s", "1.5s", "\"a\"", "\"b\"", "\"", "(", ")",
        "[", "]", "{", "}", ",", ":", "=", "==", "<", "+", "-", "*", "**", "//", "%", "\n", "\n    ", "\n\n", " ", "# c\n",
        "\t", "\r\n", "\u{feff}", "\0", "é", "$", "clients(rest = 9s)", "x = ", "def f(a):\n    return a\n", "range(9)",
        "load(\"root.latch\")", "len", "str", "(x)", "[0]", "f(1)", " for a in [1, 2]", " if True else ", "a",
    ]);
    let made = prop::collection::vec(pieces, 0..40).prop_map(|all| all.concat());
    runner(3000)
        .run(&made, |text| {
            check_bytes(text.as_bytes());
            Ok(())
        })
        .expect("holds");
    runner(500)
        .run(&prop::collection::vec(any::<u8>(), 0..200), |bytes| {
            check_bytes(&bytes);
            Ok(())
        })
        .expect("holds");
}

/// Programs that are valid by how they are made: their form means the same, and diff says what differs.
#[test]
fn made_programs_keep_their_meaning_and_differences() {
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
            let mean = |text: String| {
                root(text.clone())
                    .settings
                    .unwrap_or_else(|| panic!("{text}\n{}", root(text.clone()).render_diagnostics()))
            };
            let (old, new) = (mean(program(&a, false)), mean(program(&b, true)));
            prop_assert_eq!(&mean(format(&program(&a, true))), &old);
            let differing = a
                .iter()
                .filter(|(k, v)| b.get(*k).map(|w| w.0) != Some(v.0))
                .count()
                + b.keys().filter(|k| !a.contains_key(*k)).count();
            let found = changes(&schema, &old, &new);
            let by_timeout = found
                .iter()
                .filter(|c| schema.setting(&c.path).name == "timeout")
                .count();
            prop_assert_eq!(by_timeout, differing);
            prop_assert_eq!(found.is_empty(), old.canonical(&schema) == new.canonical(&schema));
            let (back, left_out) =
                ResolvedSettings::from_canonical(&schema, &new.canonical(&schema)).expect("is read");
            prop_assert!(left_out.is_empty());
            prop_assert_eq!(back, new);
            Ok(())
        })
        .expect("holds");
}

#[test]
fn quantities_are_read_and_written_without_loss() {
    use Unit::*;
    #[rustfmt::skip]
    let cases: [(&str, Result<(Unit, i64), QuantityError>, &str); 20] = [
        ("0", Ok((Count, 0)), "0"), ("16", Ok((Count, 16)), "16"), ("1.2s", Ok((Duration, 1_200_000)), "1200ms"),
        ("60s", Ok((Duration, 60_000_000)), "1min"), ("0ms", Ok((Duration, 0)), "0s"),
        ("0.000001s", Ok((Duration, 1)), "1us"), ("0.0000001s", Err(QuantityError::TooFine), ""),
        ("64KiB", Ok((Size, 65_536)), "64KiB"), ("1000KB", Ok((Size, 1_000_000)), "1MB"), ("1.5KiB", Ok((Size, 1536)), "1536B"),
        ("200/s", Ok((Rate, 720_000_000)), "200/s"), ("1/h", Ok((Rate, 1000)), "1/h"), ("0.0005/h", Err(QuantityError::TooFine), ""),
        ("0.5/h", Ok((Rate, 500)), "0.5/h"), ("15%", Ok((Share, 150_000)), "15%"), ("66.6667%", Ok((Share, 666_667)), "66.6667%"),
        ("0.0001%", Ok((Share, 1)), "0.0001%"), ("1.5", Err(QuantityError::TooFine), ""),
        ("9999999999999999d", Err(QuantityError::TooLarge), ""), ("5parsec", Err(QuantityError::UnknownUnit), ""),
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
        .expect("holds");
}

/// Every default and bound of the tables is a literal of its row's unit, and the page lists them.
#[test]
fn the_tables_of_settings_hold_together() {
    let schema = service_schema::schema();
    for (section, bounds) in schema.sections.iter().zip(&schema.bounds) {
        assert!(!section.description.is_empty());
        for (row, b) in section.settings.iter().zip(bounds) {
            let name = format!("{}.{}", section.name, row.name);
            assert!(
                b.min.amount != i64::MIN && b.max.amount != i64::MIN,
                "{name}: a bound can't be read"
            );
            assert!(b.min.unit == b.max.unit && b.min.amount < b.max.amount, "{name}");
            assert_eq!(
                b.default.is_none(),
                section.key.is_some(),
                "{name}: entries alone have settings of none"
            );
            if let Some(default) = b.default {
                let within = (b.min.amount..=b.max.amount).contains(&default.amount);
                assert!(default.unit == b.unit && within, "{name}");
                assert_eq!(default.to_string(), row.default, "{name}: not as it is written");
            }
        }
    }
    let page = include_str!("../../../docs/config/reference.md");
    assert_eq!(
        page,
        schema.reference(),
        "write docs/config/reference.md anew by `config reference`"
    );
    let example = include_str!("../../../deploy/asterlatch.latch");
    let meant = root(example).settings.expect("is valid");
    assert!(
        changes(&schema, &ResolvedSettings::defaults(&schema), &meant).is_empty(),
        "the example states the defaults"
    );
    assert_eq!(format(example), example);
    let stated = root(example).locations.len();
    let all = schema
        .sections
        .iter()
        .filter(|s| s.key.is_none())
        .map(|s| s.settings.len())
        .sum::<usize>();
    assert_eq!(stated, all, "the example states every default");
}

/// Counts how often each file is read.
struct Counted<'a> {
    folder: &'a FolderSource,
    reads: Cell<usize>,
}

impl asterlatch_config::load::Source for Counted<'_> {
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
fn includes_stay_in_their_folder_and_are_read_once() {
    let dir = tempfile::tempdir().expect("a folder");
    let inside = dir.path().join("in");
    fs::create_dir_all(inside.join("sub")).expect("is made");
    let write = |name: &str, text: &str| fs::write(dir.path().join(name), text).expect("is written");
    write("secret.latch", "x = 9s");
    write("in/a.latch", "x = 9s");
    write("in/sub/b.latch", "load(\"a.latch\", \"x\")\ny = x");
    symlink("../secret.latch", inside.join("out.latch")).expect("links");
    symlink("a.latch", inside.join("alias.latch")).expect("links");
    symlink("circle.latch", inside.join("round.latch")).expect("links");
    symlink("nowhere.latch", inside.join("dangling.latch")).expect("links");
    symlink("loop2.latch", inside.join("loop1.latch")).expect("links");
    symlink("loop1.latch", inside.join("loop2.latch")).expect("links");
    write("in/circle.latch", "load(\"round.latch\", \"x\")");
    fs::create_dir(inside.join("folder.latch")).expect("is made");
    write("in/long.latch", &"#".repeat(MAX_FILE_BYTES + 1));
    #[rustfmt::skip]
    let cases = [
        ("load(\"a.latch\", \"x\")\nload(\"alias.latch\", z = \"x\")\nclients(rest = z)", None, 2),
        ("load(\"sub/b.latch\", \"y\")\nload(\"./a.latch\", \"x\")\nclients(rest = y)", None, 3),
        ("load(\"out.latch\", \"x\")", Some("not within the folder"), 1),
        ("load(\"../secret.latch\", \"x\")", Some("not within the folder"), 1),
        ("load(\"sub/../../secret.latch\", \"x\")", Some("not within the folder"), 1),
        ("load(\"\", \"x\")", Some("not within the folder"), 1),
        ("load(\"dangling.latch\", \"x\")", Some("can't be read"), 1),
        ("load(\"loop1.latch\", \"x\")", Some("can't be read"), 1),
        ("load(\"folder.latch\", \"x\")", Some("not a file"), 2),
        ("load(\"long.latch\", \"x\")", Some("longer than"), 2),
        ("load(\"round.latch\", \"x\")", Some("includes itself"), 2),
        ("load(\"circle.latch\", \"x\")", Some("includes itself"), 2),
    ];
    for (text, fault, reads) in cases {
        write("in/root.latch", text);
        let path = inside.join("root.latch");
        let (folder, name) = FolderSource::containing(path.to_str().expect("is text"));
        let counted = Counted {
            folder: &folder,
            reads: Cell::new(0),
        };
        let outcome = read(
            &name,
            &counted,
            &service_schema::schema(),
            service_schema::DEFAULT_MACHINE,
        );
        match fault {
            None => assert!(
                outcome.settings.is_some(),
                "{text}\n{}",
                outcome.render_diagnostics()
            ),
            Some(words) => assert!(
                outcome.render_diagnostics().contains(words),
                "{text}\n{}",
                outcome.render_diagnostics()
            ),
        }
        assert_eq!(counted.reads.get(), reads, "{text}: each file is read once");
    }
}

#[test]
fn reports_show_the_line_and_steer_no_terminal() {
    let outcome = root("x = \"\u{1b}[31m\" + 1 # \u{7}\n");
    let text = outcome.render_diagnostics();
    assert!(
        text.contains("a text and a count can't be added")
            && !text.contains('\u{1b}')
            && !text.contains('\u{7}')
    );
    let long = root(format!("{}x = y + 1", " ".repeat(0)) + &" ".repeat(5000) + "+ z");
    assert!(
        long.render_diagnostics().lines().all(|l| l.chars().count() < 700),
        "{}",
        long.render_diagnostics()
    );
    let shown = SourceFile {
        name: "n".to_owned(),
        text: "é = 1\nzz".to_owned(),
    };
    assert_eq!(
        (
            shown.line_and_column(3),
            shown.line_and_column(7),
            shown.line_and_column(99)
        ),
        ((1, 3), (2, 1), (2, 3))
    );
}
