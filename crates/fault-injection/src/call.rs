//! The system calls that can be made to fail, and the errors that Linux documents for them.

use std::fmt;

/// A Linux error number with its symbolic name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorNumber {
    name: &'static str,
    /// The value in `errno`.
    pub number: i32,
}

macro_rules! error_numbers {
    ($($name:ident)*) => {
        /// All error numbers that a plan may name.
        const ERROR_NUMBERS: &[ErrorNumber] = &[$($name),*];
        $(const $name: ErrorNumber = ErrorNumber { name: stringify!($name), number: libc::$name };)*
    };
}

error_numbers! {
    EACCES EADDRINUSE EADDRNOTAVAIL EAGAIN ECONNABORTED ECONNREFUSED ECONNRESET EHOSTUNREACH EINTR EIO EMFILE
    ENETDOWN ENETUNREACH ENFILE ENOBUFS ENOMEM ENOSPC EPERM EPIPE EPROTO ETIMEDOUT
}

impl ErrorNumber {
    /// Looks up a symbolic name such as `EMFILE`.
    pub fn find(name: &str) -> Option<ErrorNumber> {
        ERROR_NUMBERS.iter().copied().find(|error| error.name == name)
    }
}

impl fmt::Display for ErrorNumber {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name)
    }
}

macro_rules! calls {
    ($($(#[$doc:meta])* $call:ident $name:literal [$($error:ident)*],)*) => {
        /// A system call that can be made to fail.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Call {
            $($(#[$doc])* $call,)*
        }

        impl Call {
            /// All calls, in order of declaration.
            pub const ALL: &'static [Call] = &[$(Call::$call),*];

            /// The name used in fault plans.
            pub fn name(self) -> &'static str {
                match self {
                    $(Call::$call => $name,)*
                }
            }

            /// The errors returned in turn if the plan names none.
            pub fn default_errors(self) -> &'static [ErrorNumber] {
                match self {
                    $(Call::$call => &[$($error),*],)*
                }
            }
        }
    };
}

calls! {
    /// `accept4`.
    Accept "accept" [ECONNABORTED ENFILE ENOBUFS EINTR ENOMEM EMFILE EPROTO ENETDOWN],
    /// `socket`.
    Socket "socket" [ENFILE ENOBUFS EMFILE ENOMEM],
    /// `bind`.
    Bind "bind" [EADDRINUSE ENOMEM],
    /// `listen`.
    Listen "listen" [EADDRINUSE],
    /// `connect`; with `EINTR` the connection is established nevertheless, as on Linux.
    Connect "connect" [EADDRNOTAVAIL ENETUNREACH ETIMEDOUT EHOSTUNREACH ENOBUFS EINTR EAGAIN],
    /// `epoll_wait`.
    EpollWait "epoll_wait" [EINTR],
    /// `epoll_create1`.
    EpollCreate "epoll_create" [EMFILE ENFILE ENOMEM],
    /// `epoll_ctl` that adds a descriptor.
    EpollAdd "epoll_add" [ENOMEM ENOSPC],
    /// `eventfd`.
    EventFd "eventfd" [EMFILE ENFILE ENOMEM],
    /// `setsockopt`.
    SetSocketOption "setsockopt" [ENOBUFS ENOMEM],
    /// `send`.
    Send "send" [EINTR],
    /// `recv`.
    Receive "recv" [EINTR],
    /// `send` and `write` that transfer half of the bytes; no error.
    ShortSend "short_send" [],
    /// `recv` that returns at most seven bytes; no error.
    ShortReceive "short_recv" [],
    /// `pthread_create`.
    SpawnThread "thread" [EAGAIN],
}

impl Call {
    /// Looks up a name used in fault plans.
    pub fn find(name: &str) -> Option<Call> {
        Call::ALL.iter().copied().find(|call| call.name() == name)
    }
}
