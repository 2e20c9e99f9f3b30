//! Fault injection for a front end's process: a library that is loaded before the C library (`LD_PRELOAD`), makes
//! system calls fail with the errors that Linux documents, chosen by a seed, and steps the wall clock. Monotonic time
//! is unchanged. A preloaded library needs no test hooks in the program: the released executable runs, and the calls of
//! all its libraries are covered.
//!
//! | variable | meaning |
//! | --- | --- |
//! | `FAULT_WALL` | `AFTER,BY`: the wall clock steps forward by `BY` seconds, `AFTER` seconds after it is first read |
//! | `FAULT_PERCENT` | percentage of calls that fail or are cut short |
//! | `FAULT_SEED` | seed that selects those calls; 1 by default |
//! | `FAULT_BROKEN` | per mille of reads and writes of outgoing connections that fail as if the connection were lost |
//! | `FAULT_DISK` | `AFTER,FOR,FOLDER`: disk errors, see below |
//!
//! Both shares are 0 by default.
//!
//! `FAULT_DISK`: writes and syncs of files whose paths contain `FOLDER` fail for `FOR` seconds, beginning `AFTER`
//! seconds after the first write or sync of any file. The first write is cut in half; the calls after it fail with EIO
//! and ENOSPC in turn.

use libc::{c_int, c_void, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

/// The faults that the environment variables describe, except for disk errors.
struct FaultPlan {
    wall_after: f64,
    wall_by: f64,
    percent: u64,
    broken: u64,
    seed: u64,
}

/// Kinds of calls, each with a random sequence of its own.
#[derive(Clone, Copy)]
enum Call {
    Accept,
    Socket,
    Connect,
    Send,
    Receive,
    Wait,
    Broken,
}

/// The faults, read from the environment at the first call.
fn plan() -> &'static FaultPlan {
    static PLAN: OnceLock<FaultPlan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let text = |key| std::env::var(key).unwrap_or_default();
        let wall = text("FAULT_WALL");
        let (after, by) = wall.split_once(',').unwrap_or(("0", "0"));
        FaultPlan {
            wall_after: after.parse().unwrap_or(0.0),
            wall_by: by.parse().unwrap_or(0.0),
            percent: text("FAULT_PERCENT").parse().unwrap_or(0),
            broken: text("FAULT_BROKEN").parse().unwrap_or(0),
            seed: text("FAULT_SEED").parse().unwrap_or(1),
        }
    })
}

/// The next number in a call's random sequence (SplitMix64).
fn draw(call: Call) -> u64 {
    static COUNTS: [AtomicU64; 7] = [const { AtomicU64::new(0) }; 7];
    let count = COUNTS[call as usize].fetch_add(1, Ordering::Relaxed);
    let stream = plan().seed << 40 | (call as u64) << 32;
    let mut z = stream
        .wrapping_add(count)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ z >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ z >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ z >> 31
}

/// Decides whether a call fails. Returns a number that selects the error.
fn fails(call: Call) -> Option<usize> {
    let percent = plan().percent;
    if percent == 0 {
        return None;
    }
    let random = draw(call);
    (random % 100 < percent).then_some((random / 100) as usize)
}

/// Sets `errno` to one of `errors`, selected by `choice`, and returns -1.
fn fail(choice: usize, errors: &[c_int]) -> c_int {
    // SAFETY: the C library returns a valid pointer to this thread's `errno`.
    unsafe { *libc::__errno_location() = errors[choice % errors.len()] };
    -1
}

/// The function of the C library that the function of this name replaces.
macro_rules! real {
    ($name:literal, $kind:ty) => {{
        static REAL: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name is NUL-terminated.
        let at =
            *REAL.get_or_init(|| unsafe { libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) as usize });
        // SAFETY: the C library has a function of that name and type.
        unsafe { std::mem::transmute::<usize, $kind>(at) }
    }};
}

/// The disk errors of `FAULT_DISK`.
struct DiskPlan {
    after: f64,
    time: f64,
    folder: String,
}

/// The disk errors, read from the environment at the first call; `None` if the variable is missing or invalid.
fn disk_plan() -> Option<&'static DiskPlan> {
    static PLAN: OnceLock<Option<DiskPlan>> = OnceLock::new();
    let read = || {
        let text = std::env::var("FAULT_DISK").ok()?;
        let mut parts = text.splitn(3, ',');
        let mut number = || parts.next()?.parse::<f64>().ok();
        let (after, time) = (number()?, number()?);
        Some(DiskPlan {
            after,
            time,
            folder: parts.next()?.to_owned(),
        })
    };
    PLAN.get_or_init(read).as_ref()
}

/// Decides whether a call on a file fails now. Returns how many calls have failed before it.
fn disk_fails(file: c_int) -> Option<usize> {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let plan = disk_plan()?;
    let passed = FIRST.get_or_init(Instant::now).elapsed().as_secs_f64();
    if passed < plan.after || passed > plan.after + plan.time {
        return None;
    }
    let path = std::fs::read_link(format!("/proc/self/fd/{file}")).ok()?;
    let is_in_folder = path.to_string_lossy().contains(&plan.folder);
    is_in_folder.then(|| COUNT.fetch_add(1, Ordering::Relaxed))
}

/// Errors of a write or sync.
const DISK_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

/// # Safety
/// The same contract as that of `write` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, size: size_t) -> ssize_t {
    let real = real!(
        c"write",
        unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t
    );
    let size = match disk_fails(file) {
        Some(0) if size > 1 => size / 2,
        Some(count) => return fail(count, &DISK_ERRORS) as ssize_t,
        None => size,
    };
    // SAFETY: the caller upholds the contract; `size` is at most the caller's.
    unsafe { real(file, bytes, size) }
}

/// # Safety
/// The same contract as that of `fsync` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    let real = real!(c"fsync", unsafe extern "C" fn(c_int) -> c_int);
    match disk_fails(file) {
        Some(count) => fail(count, &DISK_ERRORS),
        // SAFETY: the caller upholds the contract.
        None => unsafe { real(file) },
    }
}

/// # Safety
/// The same contract as that of `fdatasync` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    let real = real!(c"fdatasync", unsafe extern "C" fn(c_int) -> c_int);
    match disk_fails(file) {
        Some(count) => fail(count, &DISK_ERRORS),
        // SAFETY: the caller upholds the contract.
        None => unsafe { real(file) },
    }
}

/// Only descriptors below this number are tracked.
const MAX_DESCRIPTORS: usize = 4_096;
/// Whether each descriptor is an outgoing connection.
static OUTGOING_CONNECTIONS: [AtomicBool; MAX_DESCRIPTORS] =
    [const { AtomicBool::new(false) }; MAX_DESCRIPTORS];

/// Records whether a descriptor is an outgoing connection.
fn set_outgoing(file: c_int, is_outgoing: bool) {
    if let Some(outgoing) = usize::try_from(file)
        .ok()
        .and_then(|file| OUTGOING_CONNECTIONS.get(file))
    {
        outgoing.store(is_outgoing, Ordering::Relaxed);
    }
}

/// Decides whether a call on a connection fails as if the connection were lost. Returns a number that selects the
/// error.
fn connection_fails(file: c_int) -> Option<usize> {
    let is_outgoing = usize::try_from(file)
        .ok()
        .and_then(|file| OUTGOING_CONNECTIONS.get(file))?;
    if plan().broken == 0 || !is_outgoing.load(Ordering::Relaxed) || !is_stream(file) {
        return None;
    }
    let random = draw(Call::Broken);
    (random % 1_000 < plan().broken).then_some((random / 1_000) as usize)
}

/// Errors of a lost connection.
const CONNECTION_ERRORS: [c_int; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];

/// Whether a descriptor is a stream socket.
fn is_stream(socket: c_int) -> bool {
    let (mut kind, mut size) = (0 as c_int, size_of::<c_int>() as socklen_t);
    // SAFETY: both pointers refer to local variables, and `size` is the size of `kind`.
    let result = unsafe {
        libc::getsockopt(
            socket,
            libc::SOL_SOCKET,
            libc::SO_TYPE,
            (&raw mut kind).cast(),
            &raw mut size,
        )
    };
    result == 0 && kind == libc::SOCK_STREAM
}

/// # Safety
/// The same contract as that of `clock_gettime` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, at: *mut timespec) -> c_int {
    let real = real!(
        c"clock_gettime",
        unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int
    );
    // SAFETY: the caller upholds the contract.
    let result = unsafe { real(clock, at) };
    if clock == libc::CLOCK_REALTIME && result == 0 {
        static FIRST: OnceLock<f64> = OnceLock::new();
        // SAFETY: the successful call above has filled `at`, which is therefore valid.
        let at = unsafe { &mut *at };
        let now = at.tv_sec as f64 + at.tv_nsec as f64 / 1e9;
        if now >= FIRST.get_or_init(|| now) + plan().wall_after {
            at.tv_sec += plan().wall_by as libc::time_t;
        }
    }
    result
}

/// # Safety
/// The same contract as that of `accept4` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    s: c_int,
    at: *mut sockaddr,
    size: *mut socklen_t,
    flags: c_int,
) -> c_int {
    let real = real!(
        c"accept4",
        unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int
    );
    let errors = [
        libc::ECONNABORTED,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENETUNREACH,
        libc::EINTR,
    ];
    match fails(Call::Accept) {
        Some(choice) => fail(choice, &errors),
        None => {
            // SAFETY: the caller upholds the contract.
            let taken = unsafe { real(s, at, size, flags) };
            set_outgoing(taken, false);
            taken
        }
    }
}

/// # Safety
/// The same contract as that of `socket` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!(
        c"socket",
        unsafe extern "C" fn(c_int, c_int, c_int) -> c_int
    );
    match fails(Call::Socket) {
        Some(choice) => fail(choice, &[libc::ENFILE, libc::ENOBUFS]),
        // SAFETY: the caller upholds the contract.
        None => unsafe { real(domain, kind, protocol) },
    }
}

/// # Safety
/// The same contract as that of `connect` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(s: c_int, at: *const sockaddr, size: socklen_t) -> c_int {
    let real = real!(
        c"connect",
        unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int
    );
    match fails(Call::Connect) {
        Some(choice) => fail(
            choice,
            &[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS],
        ),
        None => {
            set_outgoing(s, true);
            // SAFETY: the caller upholds the contract.
            unsafe { real(s, at, size) }
        }
    }
}

/// # Safety
/// The same contract as that of `send` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(
    s: c_int,
    bytes: *const c_void,
    size: size_t,
    flags: c_int,
) -> ssize_t {
    let real = real!(
        c"send",
        unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t
    );
    if let Some(choice) = connection_fails(s) {
        return fail(choice, &CONNECTION_ERRORS) as ssize_t;
    }
    let size = match fails(Call::Send) {
        Some(choice) if !is_stream(s) => {
            return fail(choice, &[libc::ENOBUFS, libc::ENETUNREACH]) as ssize_t;
        }
        Some(choice) => size.min(1).max(choice % size.max(1)),
        None => size,
    };
    // SAFETY: the caller upholds the contract; `size` is at most the caller's.
    unsafe { real(s, bytes, size, flags) }
}

/// # Safety
/// The same contract as that of `recv` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(s: c_int, into: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let real = real!(
        c"recv",
        unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t
    );
    if let Some(choice) = connection_fails(s) {
        return fail(choice, &CONNECTION_ERRORS) as ssize_t;
    }
    let size = match fails(Call::Receive) {
        Some(_) if !is_stream(s) => return fail(0, &[libc::EINTR]) as ssize_t,
        Some(choice) => size.min(1).max(choice % size.clamp(1, 64)),
        None => size,
    };
    // SAFETY: the caller upholds the contract; `size` is at most the caller's.
    unsafe { real(s, into, size, flags) }
}

/// # Safety
/// The same contract as that of `epoll_wait` in the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    e: c_int,
    into: *mut epoll_event,
    most: c_int,
    time: c_int,
) -> c_int {
    let real = real!(
        c"epoll_wait",
        unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int
    );
    match fails(Call::Wait) {
        Some(choice) => fail(choice, &[libc::EINTR]),
        // SAFETY: the caller upholds the contract.
        None => unsafe { real(e, into, most, time) },
    }
}
