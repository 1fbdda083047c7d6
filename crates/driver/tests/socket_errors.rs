//! Each row of the table of Linux's errors, by call.

use asterlatch_driver::transport::socket_errors::{
    accept, connect, epoll, is_local_failure, is_out_of_descriptors, listen, receive, retry_option, send,
    send_message, socket, socket_option, NextStep, Origin, SocketError,
};
use libc::*;
use std::io;

type Classify = fn(&io::Error) -> SocketError;

fn expect(name: &str, classify: Classify, rows: &[(&[i32], Origin, bool, NextStep)]) {
    for (numbers, origin, is_transient, next) in rows {
        let expected = SocketError {
            origin: *origin,
            is_transient: *is_transient,
            next: *next,
        };
        for number in *numbers {
            let error = io::Error::from_raw_os_error(*number);
            assert_eq!(classify(&error), expected, "{name}: {error}");
        }
    }
    let foreign = io::Error::other("not of the kernel");
    assert_eq!(classify(&foreign).origin, Origin::Program, "{name}");
}

use NextStep::{GiveUp, Retry, RetryLater, Wait};
use Origin::{Host, NoFailure, Peer, Program};

/// Errors that end an established connection, whichever call reports them.
const GONE: &[i32] = &[
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
fn errors_before_a_connection_is_open_are_classified_by_call() {
    expect("accept", accept, &[
        (&[EAGAIN], NoFailure, true, Wait),
        (&[EINTR], NoFailure, true, Retry),
        (&[EMFILE, ENFILE, ENOBUFS, ENOMEM], Host, true, RetryLater),
        (&[ECONNABORTED, EPROTO, ENOPROTOOPT, ENETDOWN, ENETUNREACH, EHOSTDOWN, EHOSTUNREACH, ENONET, EOPNOTSUPP, ETIMEDOUT],
            Peer, true, Retry),
        (&[EPERM], Host, true, Retry),
        (&[EBADF, EFAULT, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    expect("socket", socket, &[
        (&[EMFILE, ENFILE, ENOBUFS, ENOMEM], Host, true, RetryLater),
        (&[EINTR], NoFailure, true, Retry),
        (&[EACCES, EPERM, EAFNOSUPPORT, EPROTONOSUPPORT], Host, false, GiveUp),
        (&[EINVAL], Program, false, GiveUp),
    ]);
    expect("listen", listen, &[
        (&[EADDRINUSE, EAGAIN, ENOBUFS, ENOMEM], Host, true, RetryLater),
        (&[EACCES, EPERM, EADDRNOTAVAIL, EOPNOTSUPP], Host, false, GiveUp),
        (&[EBADF, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    expect("connect", connect, &[
        (&[EINPROGRESS, EALREADY, EINTR, EISCONN], NoFailure, true, Wait),
        (&[EAGAIN, EADDRNOTAVAIL, EADDRINUSE, ENOBUFS, ENOMEM, ENETDOWN, ENETUNREACH], Host, true, GiveUp),
        (&[EACCES, EPERM, EAFNOSUPPORT], Host, false, GiveUp),
        (&[ECONNREFUSED, ECONNRESET, ECONNABORTED, ETIMEDOUT, EHOSTUNREACH, EHOSTDOWN, ENETRESET], Peer, false, GiveUp),
        (&[EBADF, EFAULT, ENOTSOCK], Program, false, GiveUp),
    ]);
}

#[rustfmt::skip]
#[test]
fn errors_of_open_connections_and_of_epoll_are_classified_by_call() {
    expect("recv", receive, &[
        (&[EAGAIN], NoFailure, true, Wait),
        (&[EINTR], NoFailure, true, Retry),
        (&[ENOBUFS, ENOMEM], Host, true, RetryLater),
        (GONE, Peer, false, GiveUp),
        (&[EBADF, EFAULT, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    expect("send", send, &[
        (&[EAGAIN], NoFailure, true, Wait),
        (&[EINTR], NoFailure, true, Retry),
        (&[ENOBUFS, ENOMEM], Host, true, RetryLater),
        (&[EPERM], Host, false, GiveUp),
        (GONE, Peer, false, GiveUp),
        (&[EBADF, EFAULT, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    expect("sendmsg", send_message, &[
        (&[EAGAIN], NoFailure, true, Wait),
        (&[EINTR], NoFailure, true, Retry),
        (&[ETOOMANYREFS, ENOBUFS, ENOMEM], Host, true, RetryLater),
        (GONE, Peer, false, GiveUp),
        (&[EMSGSIZE, EBADF, EINVAL, ENOTSOCK], Program, false, GiveUp),
    ]);
    expect("epoll", epoll, &[
        (&[EINTR], NoFailure, true, Retry),
        (&[EMFILE, ENFILE, ENOMEM, ENOSPC], Host, true, RetryLater),
        (&[EBADF, EEXIST, EINVAL, ELOOP, ENOENT, EPERM], Program, false, GiveUp),
    ]);
    expect("getsockopt", socket_option, &[
        (&[EINTR], NoFailure, true, Retry),
        (&[ENOBUFS, ENOMEM], Host, true, RetryLater),
        (GONE, Peer, false, GiveUp),
        (&[EBADF, EFAULT, EINVAL, ENOPROTOOPT, ENOTSOCK], Program, false, GiveUp),
    ]);
}

#[test]
fn lack_of_descriptors_and_local_failures_are_told_apart() {
    let of = io::Error::from_raw_os_error;
    for number in [EMFILE, ENFILE] {
        assert!(is_out_of_descriptors(&of(number)) && is_local_failure(&of(number)));
    }
    for number in [
        ENOBUFS,
        ENOMEM,
        EADDRNOTAVAIL,
        ENETUNREACH,
        EAGAIN,
        ENOSPC,
        EACCES,
    ] {
        assert!(
            !is_out_of_descriptors(&of(number)) && is_local_failure(&of(number)),
            "{number}"
        );
    }
    for number in [ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EBADF] {
        assert!(!is_local_failure(&of(number)), "{number}");
    }
}

#[test]
fn option_is_set_again_where_the_failure_passes() {
    // The error, failures before a success, attempts made, and whether the last one succeeds.
    for (number, failures, expected, succeeds) in [
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
                Err(io::Error::from_raw_os_error(number))
            }
        });
        assert_eq!((attempts, result.is_ok()), (expected, succeeds), "{number}");
    }
}
