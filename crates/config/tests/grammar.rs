//! The grammar page is read, and sentences made from it must parse.

use asterlatch_config::diagnostic::{render, SourceFile};
use asterlatch_config::format::format;
use asterlatch_config::load::significant_tokens;
use asterlatch_config::parse::parse;
use std::collections::BTreeMap;

const PAGE: &str = include_str!("../../../docs/config/grammar.md");

#[derive(Clone, Debug)]
enum Part {
    Literal(String),
    Rule(String),
    Special(String),
    Choice(Vec<Part>),
    Row(Vec<Part>),
    Maybe(Box<Part>),
    Many(Box<Part>),
    But(Box<Part>, Box<Part>),
}

type Rules = BTreeMap<String, Part>;

fn block(fence: &str) -> &'static str {
    let from = PAGE
        .split_once(&format!("```{fence}\n"))
        .expect("the page has the block")
        .1;
    from.split_once("```").expect("the block ends").0
}

/// Reads the notation that the page explains.
struct Reader<'a> {
    words: Vec<&'a str>,
    at: usize,
}

fn split(text: &str) -> Vec<&str> {
    let mut words = Vec::new();
    let mut rest = text.trim_start();
    while let Some(first) = rest.chars().next() {
        let end = match first {
            '"' | '\'' => 2 + rest[1..].find(first).expect("a literal ends"),
            '?' => 2 + rest[1..].find('?').expect("a special ends"),
            c if c.is_alphanumeric() => rest.find(|c: char| !c.is_alphanumeric()).unwrap_or(rest.len()),
            _ => 1,
        };
        words.push(&rest[..end]);
        rest = rest[end..].trim_start();
    }
    words
}

impl<'a> Reader<'a> {
    fn rules(text: &'a str) -> Rules {
        let mut reader = Reader {
            words: split(text),
            at: 0,
        };
        let mut rules = Rules::new();
        while reader.at < reader.words.len() {
            let name = reader.next().to_owned();
            assert_eq!(reader.next(), "=", "{name}");
            let part = reader.choice();
            assert_eq!(reader.next(), ";", "{name}");
            assert!(rules.insert(name.clone(), part).is_none(), "{name} twice");
        }
        rules
    }

    fn next(&mut self) -> &'a str {
        self.at += 1;
        self.words[self.at - 1]
    }

    fn taken(&mut self, word: &str) -> bool {
        let found = self.words.get(self.at) == Some(&word);
        self.at += usize::from(found);
        found
    }

    fn choice(&mut self) -> Part {
        let mut all = vec![self.row()];
        while self.taken("|") {
            all.push(self.row());
        }
        Part::Choice(all)
    }

    fn row(&mut self) -> Part {
        let mut all = vec![self.one()];
        while self.taken(",") {
            all.push(self.one());
        }
        match self.taken("-") {
            true => Part::But(Box::new(Part::Row(all)), Box::new(self.one())),
            false => Part::Row(all),
        }
    }

    fn one(&mut self) -> Part {
        let word = self.next();
        let mut inner = |end: &str| {
            let part = self.choice();
            assert_eq!(self.next(), end);
            Box::new(part)
        };
        match word {
            "[" => Part::Maybe(inner("]")),
            "{" => Part::Many(inner("}")),
            "(" => *inner(")"),
            _ => match word.chars().next() {
                Some('"' | '\'') => Part::Literal(word[1..word.len() - 1].to_owned()),
                Some('?') => Part::Special(word.trim_matches(['?', ' ']).to_owned()),
                _ => Part::Rule(word.to_owned()),
            },
        }
    }
}

/// How deep a part goes at least, by what is known of its rules.
fn least(part: &Part, depths: &BTreeMap<String, usize>) -> usize {
    match part {
        Part::Literal(_) | Part::Special(_) | Part::Maybe(_) | Part::Many(_) => 0,
        Part::Rule(name) => 1 + depths.get(name).copied().unwrap_or(0),
        Part::Choice(all) => all.iter().map(|p| least(p, depths)).min().unwrap_or(0),
        Part::Row(all) => all.iter().map(|p| least(p, depths)).max().unwrap_or(0),
        Part::But(part, _) => least(part, depths),
    }
}

fn depths(rules: &Rules) -> BTreeMap<String, usize> {
    let mut depths: BTreeMap<String, usize> = rules.keys().map(|r| (r.clone(), 1000)).collect();
    for _ in 0..rules.len() {
        for (name, part) in rules {
            let found = least(part, &depths).min(1000);
            depths.insert(name.clone(), found);
        }
    }
    depths
}

struct Maker<'a> {
    depths: &'a BTreeMap<String, usize>,
    rules: &'a Rules,
    tokens: &'a Rules,
    chance: fastrand::Rng,
    out: String,
    indent: usize,
    used: BTreeMap<String, usize>,
}

impl Maker<'_> {
    fn draw(&mut self, below: usize) -> usize {
        self.chance.usize(..below)
    }

    /// From here on the sentence only comes to its end.
    fn is_far(&self, depth: usize) -> bool {
        depth > 40 || self.out.len() > 2000
    }

    fn put(&mut self, part: &Part, depth: usize, in_token: bool) {
        match part {
            Part::Literal(word) => {
                self.out.push_str(word);
                self.space(in_token);
            }
            Part::Special(what) => match what.as_str() {
                "newline" => {
                    self.out.push('\n');
                    self.out.push_str(&" ".repeat(self.indent));
                }
                "indent" => {
                    self.indent += 3;
                    self.out.push_str("   ");
                }
                "dedent" => {
                    self.indent -= 3;
                    let end = self.out.trim_end_matches(' ').len();
                    self.out.truncate(end);
                }
                other => panic!("unknown special {other}"),
            },
            Part::Rule(name) => {
                *self.used.entry(name.clone()).or_default() += 1;
                match self.rules.get(name) {
                    Some(part) if !in_token => self.put(&part.clone(), depth + 1, false),
                    _ => {
                        let part = self
                            .tokens
                            .get(name)
                            .unwrap_or_else(|| panic!("no rule {name}"))
                            .clone();
                        self.put(&part, depth + 1, true);
                        self.space(in_token);
                    }
                }
            }
            Part::Choice(all) => {
                // Deep down the shortest way out is taken.
                let n = if self.is_far(depth) {
                    let least: Vec<_> = all.iter().map(|p| least(p, self.depths)).collect();
                    let first = least.iter().min().expect("has choices");
                    least.iter().position(|l| l == first).expect("is there")
                } else {
                    self.draw(all.len())
                };
                self.put(&all[n].clone(), depth, in_token);
            }
            Part::Row(all) => all.clone().iter().for_each(|p| self.put(p, depth, in_token)),
            Part::Maybe(part) => {
                if !self.is_far(depth) && self.draw(3) == 0 {
                    self.put(part, depth, in_token);
                }
            }
            Part::Many(part) => {
                while !self.is_far(depth) && self.draw(3) == 0 {
                    self.put(part, depth, in_token);
                }
            }
            Part::But(part, but) => {
                let start = self.out.len();
                loop {
                    self.put(part, depth, in_token);
                    let Part::Rule(name) = &**but else {
                        panic!("a rule is left out")
                    };
                    let words = format!("{:?}", self.tokens[name]);
                    if !words.contains(&format!("Literal({:?})", &self.out[start..])) {
                        return;
                    }
                    self.out.truncate(start);
                }
            }
        }
    }

    fn space(&mut self, in_token: bool) {
        if !in_token {
            self.out.push(' ');
        }
    }
}

#[test]
fn sentences_of_the_grammar_page_parse() {
    let (rules, tokens) = (Reader::rules(block("ebnf")), Reader::rules(block("ebnf-tokens")));
    let depths = depths(&rules);
    let mut used = BTreeMap::new();
    for seed in 0..500u64 {
        let chance = fastrand::Rng::with_seed(seed);
        let mut maker = Maker {
            depths: &depths,
            rules: &rules,
            tokens: &tokens,
            chance,
            out: String::new(),
            indent: 0,
            used,
        };
        for _ in 0..3 {
            maker.put(&Part::Rule("statement".to_owned()), 0, false);
        }
        let sentence = maker.out;
        used = maker.used;
        // What a sentence nests or counts beyond the bounds is refused for that alone.
        let parsed = parse(0, &sentence);
        let others: Vec<_> = parsed
            .diagnostics
            .iter()
            .filter(|r| !r.message.starts_with("nested more") && !r.message.contains("too large"))
            .collect();
        let shown = [SourceFile {
            name: "made".to_owned(),
            text: sentence.clone(),
        }];
        let told: String = others.iter().map(|r| render(r, &shown)).collect();
        assert!(others.is_empty(), "seed {seed}\n{sentence}\n{told}");
        if parsed.diagnostics.is_empty() {
            let formatted = format(&sentence);
            assert_eq!(
                format(&formatted),
                formatted,
                "seed {seed}: the form has a form of its own\n{sentence}"
            );
            let commas = |text: &str| -> Vec<String> {
                let all = significant_tokens(text).into_iter().map(|(_, w)| w.to_owned());
                all.filter(|w| w != ",").collect()
            };
            assert_eq!(
                commas(&formatted),
                commas(&sentence),
                "seed {seed}: words were lost"
            );
            assert!(
                parse(0, &formatted).diagnostics.is_empty(),
                "seed {seed}\n{formatted}"
            );
        }
    }
    let unused: Vec<_> = rules
        .keys()
        .chain(tokens.keys())
        .filter(|r| !used.contains_key(*r))
        .collect();
    assert_eq!(
        unused,
        ["file", "keyword"],
        "rules that no sentence was made from"
    );
}
