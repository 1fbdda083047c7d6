//! Replacements of C library functions, exported under the same names. All unsafe code of this crate is here.
//!
//! Each has the contract of the C library's function and passes its arguments to the kernel unchanged, except that
//! lengths may be reduced. So the guarantees of its caller hold for the system call, too.

use crate::{clock_offset_s, injected_error, is_short, load_plan};
use asterlatch_fault_injection::Call;
use libc::{c_int, c_long, c_uint, c_void, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;

/// Maximum bytes returned by a short `recv`.
const MAX_SHORT_RECEIVE_BYTES: size_t = 7;
/// Maximum length that is never shortened: an eventfd accepts only whole 8-byte writes.
const MAX_UNSHORTENED_BYTES: size_t = 8;

/// Monotonic time at which the shared object was loaded.
static LOADED_AT_MS: OnceLock<u64> = OnceLock::new();

extern "C" fn on_load() {
    let _ = LOADED_AT_MS.set(monotonic_ms());
    load_plan();
}

// SAFETY: the loader calls each function of this section once, before `main` and after the C library is
// initialized; `on_load` needs none of the arguments that it passes.
#[used]
#[link_section = ".init_array"]
static ON_LOAD: extern "C" fn() = on_load;

/// Sets `errno` and returns the result of a failed call.
fn fail(error_number: c_int) -> c_int {
    // SAFETY: the C library gives each thread a valid location for its error number.
    unsafe { *libc::__errno_location() = error_number };
    -1
}

fn monotonic_ms() -> u64 {
    let mut now = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the kernel writes one timespec, which `now` is.
    unsafe {
        libc::syscall(
            libc::SYS_clock_gettime,
            c_long::from(libc::CLOCK_MONOTONIC),
            &raw mut now,
        )
    };
    now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
}

/// Defines a function that fails according to the plan, or else makes its system call.
macro_rules! interpose {
    ($name:ident($($argument:ident: $kind:ty),*) -> $result:ty, $number:ident, $call:expr) => {
        #[doc = concat!("The C library's `", stringify!($name), "`.")]
        ///
        /// # Safety
        /// As for that function.
        #[no_mangle]
        pub unsafe extern "C" fn $name($($argument: $kind),*) -> $result {
            if let Some(error_number) = injected_error($call) {
                return fail(error_number) as $result;
            }
            // SAFETY: the caller keeps the function's contract, which is that of the system call.
            unsafe { libc::syscall(libc::$number, $($argument),*) as $result }
        }
    };
}

interpose!(accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int, SYS_accept4, Call::Accept);
interpose!(socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int, SYS_socket, Call::Socket);
interpose!(bind(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int, SYS_bind, Call::Bind);
interpose!(listen(fd: c_int, backlog: c_int) -> c_int, SYS_listen, Call::Listen);
interpose!(epoll_create1(flags: c_int) -> c_int, SYS_epoll_create1, Call::EpollCreate);
interpose!(eventfd(value: c_uint, flags: c_int) -> c_int, SYS_eventfd2, Call::EventFd);
interpose!(setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t) -> c_int, SYS_setsockopt, Call::SetSocketOption);

/// The C library's `connect`. As on Linux, an interrupted one proceeds in the background.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let error_number = injected_error(Call::Connect);
    if let Some(error_number) = error_number.filter(|error_number| *error_number != libc::EINTR) {
        return fail(error_number);
    }
    // SAFETY: the caller keeps the function's contract, which is that of the system call.
    let result = unsafe { libc::syscall(libc::SYS_connect, fd, address, length) };
    match error_number {
        Some(error_number) => fail(error_number),
        None => result as c_int,
    }
}

/// The C library's `epoll_wait`.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(error_number) = injected_error(Call::EpollWait) {
        return fail(error_number);
    }
    let no_mask = std::ptr::null::<c_void>();
    // SAFETY: the caller keeps the function's contract; without a mask `epoll_pwait` is `epoll_wait`.
    unsafe {
        libc::syscall(
            libc::SYS_epoll_pwait,
            fd,
            events,
            max_events,
            timeout,
            no_mask,
            0usize,
        ) as c_int
    }
}

/// The C library's `epoll_ctl`; only `EPOLL_CTL_ADD` is made to fail.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    fd: c_int,
    operation: c_int,
    target_fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_ADD {
        if let Some(error_number) = injected_error(Call::EpollAdd) {
            return fail(error_number);
        }
    }
    // SAFETY: the caller keeps the function's contract, which is that of the system call.
    unsafe { libc::syscall(libc::SYS_epoll_ctl, fd, operation, target_fd, event) as c_int }
}

/// Counts a send or write; returns half of its length if it is to be short.
fn shorten(length: size_t) -> size_t {
    if length > MAX_UNSHORTENED_BYTES && is_short(Call::ShortSend) {
        length / 2
    } else {
        length
    }
}

/// The C library's `send`.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    if let Some(error_number) = injected_error(Call::Send) {
        return fail(error_number) as ssize_t;
    }
    let no_address = std::ptr::null::<sockaddr>();
    // SAFETY: the caller keeps the function's contract, also with a smaller length; without an address `sendto`
    // is `send`.
    unsafe {
        libc::syscall(
            libc::SYS_sendto,
            fd,
            bytes,
            shorten(length),
            flags,
            no_address,
            0usize,
        ) as ssize_t
    }
}

/// The C library's `write`, which may be short but never fails by the plan.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: size_t) -> ssize_t {
    // SAFETY: the caller keeps the function's contract, also with a smaller length.
    unsafe { libc::syscall(libc::SYS_write, fd, bytes, shorten(length)) as ssize_t }
}

/// The C library's `recv`.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    if let Some(error_number) = injected_error(Call::Receive) {
        return fail(error_number) as ssize_t;
    }
    let is_read = flags & libc::MSG_PEEK == 0;
    let is_shortened = is_read && length > MAX_SHORT_RECEIVE_BYTES && is_short(Call::ShortReceive);
    let length = if is_shortened {
        MAX_SHORT_RECEIVE_BYTES
    } else {
        length
    };
    let no_address = std::ptr::null_mut::<c_void>();
    // SAFETY: the caller keeps the function's contract, also with a smaller length; without an address `recvfrom`
    // is `recv`.
    unsafe {
        libc::syscall(
            libc::SYS_recvfrom,
            fd,
            buffer,
            length,
            flags,
            no_address,
            no_address,
        ) as ssize_t
    }
}

/// The C library's `clock_gettime`; `CLOCK_REALTIME` is shifted by the plan.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller keeps the function's contract, which is that of the system call.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, c_long::from(clock), time) } as c_int;
    if clock == libc::CLOCK_REALTIME && result == 0 {
        let loaded_at_ms = LOADED_AT_MS.get().copied().unwrap_or_default();
        // SAFETY: the call has succeeded, so `time` is valid for writes and initialised.
        unsafe { (*time).tv_sec += clock_offset_s(monotonic_ms().saturating_sub(loaded_at_ms)) };
    }
    result
}

type Routine = extern "C" fn(*mut c_void) -> *mut c_void;
type SpawnThread =
    unsafe extern "C" fn(*mut libc::pthread_t, *const libc::pthread_attr_t, Routine, *mut c_void) -> c_int;

/// Looks up the C library's `pthread_create`, which no single system call replaces.
fn spawn_thread() -> SpawnThread {
    static SPAWN_THREAD: OnceLock<SpawnThread> = OnceLock::new();
    *SPAWN_THREAD.get_or_init(|| {
        // SAFETY: the name ends with a zero byte; the C library, which every process here loads, defines a function
        // of this name and type, which is next in the lookup order.
        unsafe { std::mem::transmute(libc::dlsym(libc::RTLD_NEXT, c"pthread_create".as_ptr())) }
    })
}

/// The C library's `pthread_create`, which returns its error number instead of setting `errno`.
///
/// # Safety
/// As for that function.
#[no_mangle]
pub unsafe extern "C" fn pthread_create(
    thread: *mut libc::pthread_t,
    attributes: *const libc::pthread_attr_t,
    routine: Routine,
    argument: *mut c_void,
) -> c_int {
    if let Some(error_number) = injected_error(Call::SpawnThread) {
        return error_number;
    }
    // SAFETY: the caller keeps the function's contract.
    unsafe { spawn_thread()(thread, attributes, routine, argument) }
}
