//! Sentences generated from the grammar in the documentation must parse.

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
    Sequence(Vec<Part>),
    Optional(Box<Part>),
    Repeated(Box<Part>),
    Except(Box<Part>, Box<Part>),
}

type Rules = BTreeMap<String, Part>;

fn block(fence: &str) -> &'static str {
    let rest_of_page = PAGE
        .split_once(&format!("```{fence}\n"))
        .expect("the page has the block")
        .1;
    rest_of_page.split_once("```").expect("the block is closed").0
}

/// Parser of the notation that the page explains.
struct GrammarParser<'a> {
    words: Vec<&'a str>,
    position: usize,
}

fn split(text: &str) -> Vec<&str> {
    let mut words = Vec::new();
    let mut rest = text.trim_start();
    while let Some(first) = rest.chars().next() {
        let end = match first {
            '"' | '\'' => 2 + rest[1..].find(first).expect("a literal is closed"),
            '?' => 2 + rest[1..].find('?').expect("a special is closed"),
            c if c.is_alphanumeric() => rest.find(|c: char| !c.is_alphanumeric()).unwrap_or(rest.len()),
            _ => 1,
        };
        words.push(&rest[..end]);
        rest = rest[end..].trim_start();
    }
    words
}

impl<'a> GrammarParser<'a> {
    fn rules(text: &'a str) -> Rules {
        let mut parser = GrammarParser {
            words: split(text),
            position: 0,
        };
        let mut rules = Rules::new();
        while parser.position < parser.words.len() {
            let name = parser.next().to_owned();
            assert_eq!(parser.next(), "=", "{name}");
            let part = parser.choice();
            assert_eq!(parser.next(), ";", "{name}");
            assert!(rules.insert(name.clone(), part).is_none(), "{name} twice");
        }
        rules
    }

    fn next(&mut self) -> &'a str {
        self.position += 1;
        self.words[self.position - 1]
    }

    fn accept(&mut self, word: &str) -> bool {
        let found = self.words.get(self.position) == Some(&word);
        self.position += usize::from(found);
        found
    }

    fn choice(&mut self) -> Part {
        let mut all = vec![self.sequence()];
        while self.accept("|") {
            all.push(self.sequence());
        }
        Part::Choice(all)
    }

    fn sequence(&mut self) -> Part {
        let mut all = vec![self.primary()];
        while self.accept(",") {
            all.push(self.primary());
        }
        match self.accept("-") {
            true => Part::Except(Box::new(Part::Sequence(all)), Box::new(self.primary())),
            false => Part::Sequence(all),
        }
    }

    fn primary(&mut self) -> Part {
        let word = self.next();
        let mut inner = |end: &str| {
            let part = self.choice();
            assert_eq!(self.next(), end);
            Box::new(part)
        };
        match word {
            "[" => Part::Optional(inner("]")),
            "{" => Part::Repeated(inner("}")),
            "(" => *inner(")"),
            _ => match word.chars().next() {
                Some('"' | '\'') => Part::Literal(word[1..word.len() - 1].to_owned()),
                Some('?') => Part::Special(word.trim_matches(['?', ' ']).to_owned()),
                _ => Part::Rule(word.to_owned()),
            },
        }
    }
}

/// Minimum depth of a part, given the known depths of rules.
fn min_depth(part: &Part, depths: &BTreeMap<String, usize>) -> usize {
    match part {
        Part::Literal(_) | Part::Special(_) | Part::Optional(_) | Part::Repeated(_) => 0,
        Part::Rule(name) => 1 + depths.get(name).copied().unwrap_or(0),
        Part::Choice(all) => all.iter().map(|p| min_depth(p, depths)).min().unwrap_or(0),
        Part::Sequence(all) => all.iter().map(|p| min_depth(p, depths)).max().unwrap_or(0),
        Part::Except(part, _) => min_depth(part, depths),
    }
}

fn depths(rules: &Rules) -> BTreeMap<String, usize> {
    let mut depths: BTreeMap<String, usize> = rules.keys().map(|r| (r.clone(), 1000)).collect();
    for _ in 0..rules.len() {
        for (name, part) in rules {
            let found = min_depth(part, &depths).min(1000);
            depths.insert(name.clone(), found);
        }
    }
    depths
}

struct SentenceGenerator<'a> {
    depths: &'a BTreeMap<String, usize>,
    rules: &'a Rules,
    tokens: &'a Rules,
    rng: fastrand::Rng,
    out: String,
    indent: usize,
    used: BTreeMap<String, usize>,
}

impl SentenceGenerator<'_> {
    fn draw(&mut self, below: usize) -> usize {
        self.rng.usize(..below)
    }

    /// Whether the sentence is large enough to be finished by the shortest derivation.
    fn must_finish(&self, depth: usize) -> bool {
        depth > 40 || self.out.len() > 2000
    }

    fn write_part(&mut self, part: &Part, depth: usize, in_token: bool) {
        match part {
            Part::Literal(word) => {
                self.out.push_str(word);
                self.space(in_token);
            }
            Part::Special(special) => match special.as_str() {
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
                    Some(part) if !in_token => self.write_part(&part.clone(), depth + 1, false),
                    _ => {
                        let part = self
                            .tokens
                            .get(name)
                            .unwrap_or_else(|| panic!("no rule {name}"))
                            .clone();
                        self.write_part(&part, depth + 1, true);
                        self.space(in_token);
                    }
                }
            }
            Part::Choice(all) => {
                // Finishes with the shallowest alternative.
                let choice_index = if self.must_finish(depth) {
                    let min_depths: Vec<_> = all.iter().map(|p| min_depth(p, self.depths)).collect();
                    let first = min_depths.iter().min().expect("a choice has alternatives");
                    min_depths
                        .iter()
                        .position(|l| l == first)
                        .expect("the minimum is one of the depths")
                } else {
                    self.draw(all.len())
                };
                self.write_part(&all[choice_index].clone(), depth, in_token);
            }
            Part::Sequence(all) => all
                .clone()
                .iter()
                .for_each(|p| self.write_part(p, depth, in_token)),
            Part::Optional(part) => {
                if !self.must_finish(depth) && self.draw(3) == 0 {
                    self.write_part(part, depth, in_token);
                }
            }
            Part::Repeated(part) => {
                while !self.must_finish(depth) && self.draw(3) == 0 {
                    self.write_part(part, depth, in_token);
                }
            }
            Part::Except(part, exception) => {
                let start = self.out.len();
                loop {
                    self.write_part(part, depth, in_token);
                    let Part::Rule(name) = &**exception else {
                        panic!("only a rule can be an exception")
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
fn parse_generated_sentence_succeeds() {
    let (rules, tokens) = (
        GrammarParser::rules(block("ebnf")),
        GrammarParser::rules(block("ebnf-tokens")),
    );
    let depths = depths(&rules);
    let mut used = BTreeMap::new();
    for seed in 0..500u64 {
        let rng = fastrand::Rng::with_seed(seed);
        let mut generator = SentenceGenerator {
            depths: &depths,
            rules: &rules,
            tokens: &tokens,
            rng,
            out: String::new(),
            indent: 0,
            used,
        };
        for _ in 0..3 {
            generator.write_part(&Part::Rule("statement".to_owned()), 0, false);
        }
        let sentence = generator.out;
        used = generator.used;
        // Sentences may exceed the bounds on nesting and numbers; those errors are expected.
        let parsed = parse(0, &sentence);
        let unexpected: Vec<_> = parsed
            .diagnostics
            .iter()
            .filter(|r| !r.message.starts_with("nested more") && !r.message.contains("too large"))
            .collect();
        let files = [SourceFile {
            name: "made".to_owned(),
            text: sentence.clone(),
        }];
        let rendered: String = unexpected.iter().map(|r| render(r, &files)).collect();
        assert!(unexpected.is_empty(), "seed {seed}\n{sentence}\n{rendered}");
        if parsed.diagnostics.is_empty() {
            let formatted = format(&sentence);
            assert_eq!(
                format(&formatted),
                formatted,
                "seed {seed}: formatting is not idempotent\n{sentence}"
            );
            let tokens_without_commas = |text: &str| -> Vec<String> {
                let all = significant_tokens(text).into_iter().map(|(_, w)| w.to_owned());
                all.filter(|w| w != ",").collect()
            };
            assert_eq!(
                tokens_without_commas(&formatted),
                tokens_without_commas(&sentence),
                "seed {seed}: tokens were lost"
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
    assert_eq!(unused, ["file", "keyword"], "rules that no sentence uses");
}
