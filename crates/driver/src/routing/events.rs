//! What comes to the event loop.

use crate::protocol::{execution, session, watch};
use crate::transport::listener::Arrival;

/// What the process was told from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Notice {
    Leave,
    Report,
    /// The configuration is to be read again.
    Reload,
    /// A new process is to take over.
    Upgrade,
    /// Something was done for the program beside this queue.
    Done,
}

pub enum Input {
    Arrival(Arrival<session::Say>),
    Client(session::Heard),
    Member(execution::Heard),
    /// News of the call with this number.
    Discovery(u32, watch::Heard),
    Notice(Notice),
    /// What other drivers have told.
    Peers(super::gossip::News),
}

macro_rules! taken_in {
    ($($kind:ty => $name:ident,)*) => {
        $(impl From<$kind> for Input {
            fn from(news: $kind) -> Input {
                Input::$name(news)
            }
        })*
    };
}
taken_in! {
    Arrival<session::Say> => Arrival,
    session::Heard => Client,
    execution::Heard => Member,
}

impl From<watch::News> for Input {
    fn from(news: watch::News) -> Input {
        Input::Discovery(news.call, news.heard)
    }
}
