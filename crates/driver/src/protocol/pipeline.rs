//! Statements of one client that are open or whose answers wait for earlier ones. Answers keep the order of
//! statements.

use super::client_events::FinalAnswer;
use super::statement_comment::StatementError;
use std::collections::VecDeque;

/// Maximum number of statements in the pipeline; further ones stay unread.
const MAX_STATEMENTS: usize = 16;

struct PipelinedStatement {
    /// Offset of the statement's end among all input.
    end: u64,
    answer: Option<Vec<u8>>,
}

/// An answered statement that was taken from the front of the pipeline.
pub(super) struct AnsweredStatement {
    /// Offset of the statement's end among all input.
    pub(super) end: u64,
    /// Messages of the answer, up to ReadyForQuery.
    pub(super) answer: Vec<u8>,
}

/// Statements of a client in the order of their numbers, which are consecutive.
#[derive(Default)]
pub(super) struct Pipeline {
    statements: VecDeque<PipelinedStatement>,
    /// Number of the first statement.
    first_number: u32,
}

impl Pipeline {
    pub(super) fn is_empty(&self) -> bool {
        self.statements.is_empty()
    }

    /// Whether no further statement may be added.
    pub(super) fn is_full(&self) -> bool {
        self.statements.len() >= MAX_STATEMENTS
    }

    /// Bytes of the answers that wait for earlier ones.
    pub(super) fn held_bytes(&self) -> usize {
        let answers = self.statements.iter().filter_map(|s| s.answer.as_ref());
        answers.map(Vec::capacity).sum()
    }

    /// Whether the statement with this number is the first one.
    pub(super) fn is_first(&self, number: u32) -> bool {
        number == self.first_number
    }

    /// Adds a statement without an answer and returns its number.
    pub(super) fn push_open(&mut self, end: u64) -> u32 {
        let number = self.first_number.wrapping_add(self.statements.len() as u32);
        self.statements
            .push_back(PipelinedStatement { end, answer: None });
        number
    }

    /// Adds a statement with its answer.
    pub(super) fn push_answered(&mut self, end: u64, answer: Vec<u8>) {
        let answer = Some(answer);
        self.statements.push_back(PipelinedStatement { end, answer });
    }

    /// Adds a statement that is rejected without being forwarded.
    pub(super) fn push_rejected(&mut self, end: u64, reason: StatementError) {
        self.push_answered(end, FinalAnswer::from(reason).into_bytes());
    }

    /// Answers the statement with this number. Returns false if it is not open; a second answer is dropped.
    pub(super) fn answer(&mut self, number: u32, answer: FinalAnswer) -> bool {
        let index = number.wrapping_sub(self.first_number) as usize;
        let statement = self.statements.get_mut(index);
        let Some(open) = statement.filter(|statement| statement.answer.is_none()) else {
            return false;
        };
        open.answer = Some(answer.into_bytes());
        true
    }

    /// Answers all open statements with the same answer.
    pub(super) fn answer_all(&mut self, answer: impl Fn() -> FinalAnswer) {
        let statements = self.statements.iter_mut();
        for open in statements.filter(|statement| statement.answer.is_none()) {
            open.answer = Some(answer().into_bytes());
        }
    }

    /// Takes the first statement if it is answered.
    pub(super) fn pop_answered(&mut self) -> Option<AnsweredStatement> {
        let first = self.statements.pop_front_if(|first| first.answer.is_some())?;
        self.first_number = self.first_number.wrapping_add(1);
        Some(AnsweredStatement {
            end: first.end,
            answer: first.answer.unwrap_or_default(),
        })
    }
}
