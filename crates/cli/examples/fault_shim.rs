//! A library that is loaded into a front end's process before the C library (LD_PRELOAD) and makes its system calls fail
//! as Linux documents, by seed, and its wall clock step. Monotonic time is untouched. It is a preloaded library and no
//! seam in the program, so that the very program that is released runs, with the calls of all its libraries.
//!
//! | variable | meaning |
//! | --- | --- |
//! | `FAULT_WALL` | `AFTER,BY`: so many seconds after the first look at the clock, the wall clock is so many ahead |
//! | `FAULT_PERCENT` | how many in a hundred calls fail or are short; 0 where it is left out |
//! | `FAULT_SEED` | which of them |
//! | `FAULT_BROKEN` | how many in a thousand reads and writes of connections that it made itself say that they are broken |
//! | `FAULT_DISK` | `AFTER,FOR,FOLDER`: see below |
//!
//! `FAULT_DISK`: from so many seconds after the first write on, and for so many, writes and syncs of files fail whose
//! paths contain `FOLDER`: the first write is cut in half, then there is ENOSPC and EIO in turn.

use libc::{c_int, c_void, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

/// What the environment asks for.
struct Plan {
    wall_after: f64,
    wall_by: f64,
    percent: u64,
    broken: u64,
    seed: u64,
}

/// Kinds of calls, each with a stream of chance of its own.
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

fn plan() -> &'static Plan {
    static PLAN: OnceLock<Plan> = OnceLock::new();
    PLAN.get_or_init(|| {
        let text = |key| std::env::var(key).unwrap_or_default();
        let wall = text("FAULT_WALL");
        let (after, by) = wall.split_once(',').unwrap_or(("0", "0"));
        Plan {
            wall_after: after.parse().unwrap_or(0.0),
            wall_by: by.parse().unwrap_or(0.0),
            percent: text("FAULT_PERCENT").parse().unwrap_or(0),
            broken: text("FAULT_BROKEN").parse().unwrap_or(0),
            seed: text("FAULT_SEED").parse().unwrap_or(1),
        }
    })
}

/// The next number of a call's stream (SplitMix64).
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

/// Whether a call fails, and a number to choose how by.
fn fails(call: Call) -> Option<usize> {
    let percent = plan().percent;
    if percent == 0 {
        return None;
    }
    let drawn = draw(call);
    (drawn % 100 < percent).then_some((drawn / 100) as usize)
}

/// Fails with one of some errors.
fn fail(choice: usize, errors: &[c_int]) -> c_int {
    // SAFETY: the C library's place of this thread's error.
    unsafe { *libc::__errno_location() = errors[choice % errors.len()] };
    -1
}

/// The function of a name that would have been called.
macro_rules! real {
    ($name:literal, $kind:ty) => {{
        static REAL: OnceLock<usize> = OnceLock::new();
        // SAFETY: the name ends with a zero; the C library has a function of that name and kind.
        let at =
            *REAL.get_or_init(|| unsafe { libc::dlsym(libc::RTLD_NEXT, $name.as_ptr()) as usize });
        // SAFETY: as above.
        unsafe { std::mem::transmute::<usize, $kind>(at) }
    }};
}

/// Where and when files can't be written.
struct DiskPlan {
    after: f64,
    time: f64,
    folder: String,
}

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

/// Whether a call on a file fails now, and how many have before it.
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

const DISK_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

/// # Safety
/// As `write` of the C library.
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
    // SAFETY: the caller's promise; no more than it gave is written.
    unsafe { real(file, bytes, size) }
}

/// # Safety
/// As `fsync` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    let real = real!(c"fsync", unsafe extern "C" fn(c_int) -> c_int);
    match disk_fails(file) {
        Some(count) => fail(count, &DISK_ERRORS),
        // SAFETY: the caller's promise.
        None => unsafe { real(file) },
    }
}

/// # Safety
/// As `fdatasync` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    let real = real!(c"fdatasync", unsafe extern "C" fn(c_int) -> c_int);
    match disk_fails(file) {
        Some(count) => fail(count, &DISK_ERRORS),
        // SAFETY: the caller's promise.
        None => unsafe { real(file) },
    }
}

/// Descriptors below this are looked after.
const MOST_DESCRIPTORS: usize = 4_096;
/// Whether a descriptor is a connection that the process has made itself.
static OWN_CONNECTIONS: [AtomicBool; MOST_DESCRIPTORS] =
    [const { AtomicBool::new(false) }; MOST_DESCRIPTORS];

fn set_own(file: c_int, is_own: bool) {
    if let Some(own) = usize::try_from(file)
        .ok()
        .and_then(|file| OWN_CONNECTIONS.get(file))
    {
        own.store(is_own, Ordering::Relaxed);
    }
}

/// Whether a connection is to be seen broken with this call, and a number to choose how by.
fn breaks(file: c_int) -> Option<usize> {
    let is_own = usize::try_from(file)
        .ok()
        .and_then(|file| OWN_CONNECTIONS.get(file))?;
    if plan().broken == 0 || !is_own.load(Ordering::Relaxed) || !is_stream(file) {
        return None;
    }
    let drawn = draw(Call::Broken);
    (drawn % 1_000 < plan().broken).then_some((drawn / 1_000) as usize)
}

const BROKEN: [c_int; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];

fn is_stream(socket: c_int) -> bool {
    let (mut kind, mut size) = (0 as c_int, size_of::<c_int>() as socklen_t);
    // SAFETY: both places are this function's, and the size is the kind's.
    let told = unsafe {
        libc::getsockopt(
            socket,
            libc::SOL_SOCKET,
            libc::SO_TYPE,
            (&raw mut kind).cast(),
            &raw mut size,
        )
    };
    told == 0 && kind == libc::SOCK_STREAM
}

/// # Safety
/// As `clock_gettime` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, at: *mut timespec) -> c_int {
    let real = real!(
        c"clock_gettime",
        unsafe extern "C" fn(libc::clockid_t, *mut timespec) -> c_int
    );
    // SAFETY: the caller's promise.
    let result = unsafe { real(clock, at) };
    if clock == libc::CLOCK_REALTIME && result == 0 {
        static FIRST: OnceLock<f64> = OnceLock::new();
        // SAFETY: the call above has filled it.
        let at = unsafe { &mut *at };
        let now = at.tv_sec as f64 + at.tv_nsec as f64 / 1e9;
        if now >= FIRST.get_or_init(|| now) + plan().wall_after {
            at.tv_sec += plan().wall_by as libc::time_t;
        }
    }
    result
}

/// # Safety
/// As `accept4` of the C library.
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
            // SAFETY: the caller's promise.
            let taken = unsafe { real(s, at, size, flags) };
            set_own(taken, false);
            taken
        }
    }
}

/// # Safety
/// As `socket` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let real = real!(
        c"socket",
        unsafe extern "C" fn(c_int, c_int, c_int) -> c_int
    );
    match fails(Call::Socket) {
        Some(choice) => fail(choice, &[libc::ENFILE, libc::ENOBUFS]),
        // SAFETY: the caller's promise.
        None => unsafe { real(domain, kind, protocol) },
    }
}

/// # Safety
/// As `connect` of the C library.
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
            set_own(s, true);
            // SAFETY: the caller's promise.
            unsafe { real(s, at, size) }
        }
    }
}

/// # Safety
/// As `send` of the C library.
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
    if let Some(choice) = breaks(s) {
        return fail(choice, &BROKEN) as ssize_t;
    }
    let size = match fails(Call::Send) {
        Some(choice) if !is_stream(s) => {
            return fail(choice, &[libc::ENOBUFS, libc::ENETUNREACH]) as ssize_t;
        }
        Some(choice) => size.min(1).max(choice % size.max(1)),
        None => size,
    };
    // SAFETY: the caller's promise; no more than it gave is sent.
    unsafe { real(s, bytes, size, flags) }
}

/// # Safety
/// As `recv` of the C library.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(s: c_int, into: *mut c_void, size: size_t, flags: c_int) -> ssize_t {
    let real = real!(
        c"recv",
        unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t
    );
    if let Some(choice) = breaks(s) {
        return fail(choice, &BROKEN) as ssize_t;
    }
    let size = match fails(Call::Receive) {
        Some(_) if !is_stream(s) => return fail(0, &[libc::EINTR]) as ssize_t,
        Some(choice) => size.min(1).max(choice % size.clamp(1, 64)),
        None => size,
    };
    // SAFETY: the caller's promise; no more than it has room for is read.
    unsafe { real(s, into, size, flags) }
}

/// # Safety
/// As `epoll_wait` of the C library.
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
        // SAFETY: the caller's promise.
        None => unsafe { real(e, into, most, time) },
    }
}
