//! Classification of Linux errors by system call.

use asterlatch_driver::transport::socket_errors::{
    accept, connect, epoll, is_local_failure, is_out_of_descriptors, listen, receive, retry_option, send,
    send_message, socket, socket_option, NextStep, Origin, SocketError,
};
use libc::*;
use std::io;

type Classify = fn(&io::Error) -> SocketError;

fn assert_classified(name: &str, classify: Classify, rows: &[(&[i32], Origin, bool, NextStep)]) {
    for (errnos, origin, is_transient, next) in rows {
        let expected = SocketError {
            origin: *origin,
            is_transient: *is_transient,
            next: *next,
        };
        for errno in *errnos {
            let error = io::Error::from_raw_os_error(*errno);
            assert_eq!(classify(&error), expected, "{name}: {error}");
        }
    }
    let other_error = io::Error::other("no errno");
    assert_eq!(classify(&other_error).origin, Origin::Program, "{name}");
}

use NextStep::{GiveUp, Retry, RetryLater, Wait};
use Origin::{Host, NoFailure, Peer, Program};

/// Errors that end an established connection, whichever call reports them.
const CONNECTION_ERRORS: &[i32] = &[
    ECONNRESET,
    ECONNABORTED,
    ECONNREFUSED,
    EPIPE,
    ESHUTDOWN,
    ENOTCONN,
    ETIMEDOUT,
    EHOSTUNREACH,
    EHOSTDOWN,
    ENETUNREACH,
    ENETDOWN,
    ENETRESET,
    EPROTO,
];

#[rustfmt::skip]
#[test]
fn classify_errors_before_connection_is_open() {
    assert_classified("accept", accept, &[
        (&[EAGAIN], NoFailure, true, Wait),
        (&[EINTR], NoFailure, true, Retry),
        (&[EMFILE, ENFILE, ENOBUFS, ENOMEM], Host, true, RetryLater),
        (&[ECONNABORTED, EPROTO, ENOPROTOOPT, ENETDOWN, ENETUNREACH, EHOSTDOWN, EHOSTUNREACH, ENONET, EOPNOTSUPP, ETIMEDOUT],
            Peer, true, Retry),
        (&[EPERM], Host, true, Retry),
        (&[EBADF, EFAULT, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    assert_classified("socket", socket, &[
        (&[EMFILE, ENFILE, ENOBUFS, ENOMEM], Host, true, RetryLater),
        (&[EINTR], NoFailure, true, Retry),
        (&[EACCES, EPERM, EAFNOSUPPORT, EPROTONOSUPPORT], Host, false, GiveUp),
        (&[EINVAL], Program, false, GiveUp),
    ]);
    assert_classified("listen", listen, &[
        (&[EADDRINUSE, EAGAIN, ENOBUFS, ENOMEM], Host, true, RetryLater),
        (&[EACCES, EPERM, EADDRNOTAVAIL, EOPNOTSUPP], Host, false, GiveUp),
        (&[EBADF, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    assert_classified("connect", connect, &[
        (&[EINPROGRESS, EALREADY, EINTR, EISCONN], NoFailure, true, Wait),
        (&[EAGAIN, EADDRNOTAVAIL, EADDRINUSE, ENOBUFS, ENOMEM, ENETDOWN, ENETUNREACH], Host, true, GiveUp),
        (&[EACCES, EPERM, EAFNOSUPPORT], Host, false, GiveUp),
        (&[ECONNREFUSED, ECONNRESET, ECONNABORTED, ETIMEDOUT, EHOSTUNREACH, EHOSTDOWN, ENETRESET], Peer, false, GiveUp),
        (&[EBADF, EFAULT, ENOTSOCK], Program, false, GiveUp),
    ]);
}

#[rustfmt::skip]
#[test]
fn classify_errors_of_open_connections_and_epoll() {
    assert_classified("recv", receive, &[
        (&[EAGAIN], NoFailure, true, Wait),
        (&[EINTR], NoFailure, true, Retry),
        (&[ENOBUFS, ENOMEM], Host, true, RetryLater),
        (CONNECTION_ERRORS, Peer, false, GiveUp),
        (&[EBADF, EFAULT, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    assert_classified("send", send, &[
        (&[EAGAIN], NoFailure, true, Wait),
        (&[EINTR], NoFailure, true, Retry),
        (&[ENOBUFS, ENOMEM], Host, true, RetryLater),
        (&[EPERM], Host, false, GiveUp),
        (CONNECTION_ERRORS, Peer, false, GiveUp),
        (&[EBADF, EFAULT, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    assert_classified("sendmsg", send_message, &[
        (&[EAGAIN], NoFailure, true, Wait),
        (&[EINTR], NoFailure, true, Retry),
        (&[ETOOMANYREFS, ENOBUFS, ENOMEM], Host, true, RetryLater),
        (CONNECTION_ERRORS, Peer, false, GiveUp),
        (&[EMSGSIZE, EBADF, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    assert_classified("epoll", epoll, &[
        (&[EINTR], NoFailure, true, Retry),
        (&[EMFILE, ENFILE, ENOMEM, ENOSPC], Host, true, RetryLater),
        (&[EBADF, EEXIST, EINVAL, ELOOP, ENOENT, EPERM], Program, false, GiveUp),
    ]);
    assert_classified("getsockopt", socket_option, &[
        (&[EINTR], NoFailure, true, Retry),
        (&[ENOBUFS, ENOMEM], Host, true, RetryLater),
        (CONNECTION_ERRORS, Peer, false, GiveUp),
        (&[EBADF, EFAULT, EINVAL, ENOPROTOOPT, ENOTSOCK], Program, false, GiveUp),
    ]);
}

#[test]
fn is_out_of_descriptors_differs_from_is_local_failure() {
    let error = io::Error::from_raw_os_error;
    for errno in [EMFILE, ENFILE] {
        assert!(is_out_of_descriptors(&error(errno)) && is_local_failure(&error(errno)));
    }
    for errno in [
        ENOBUFS,
        ENOMEM,
        EADDRNOTAVAIL,
        ENETUNREACH,
        EAGAIN,
        ENOSPC,
        EACCES,
    ] {
        assert!(
            !is_out_of_descriptors(&error(errno)) && is_local_failure(&error(errno)),
            "{errno}"
        );
    }
    for errno in [ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EBADF] {
        assert!(!is_local_failure(&error(errno)), "{errno}");
    }
}

#[test]
fn retry_option_transient_error_is_retried() {
    // Error, failures before success, expected attempts, and whether the last attempt succeeds.
    for (errno, failures, expected, succeeds) in [
        (ENOBUFS, 0, 1, true),
        (ENOBUFS, 3, 4, true),
        (ENOMEM, 100, 8, false),
        (EINVAL, 1, 1, false),
    ] {
        let mut attempts = 0;
        let result = retry_option(|| {
            attempts += 1;
            if attempts > failures {
                Ok(())
            } else {
                Err(io::Error::from_raw_os_error(errno))
            }
        });
        assert_eq!((attempts, result.is_ok()), (expected, succeeds), "{errno}");
    }
}
