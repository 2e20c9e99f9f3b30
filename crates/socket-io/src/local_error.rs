//! Failures of system calls that are this machine's own: they tell nothing about the peer.

use rustix::io::Errno;
use std::io;

/// Whether a call failed for want of something on this machine: descriptors, memory, ports, a route. It may succeed a
/// moment later, and proves nothing about the peer.
pub fn is_local_error(error: &io::Error) -> bool {
    const LOCAL: [Errno; 10] = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::NOSPC,
        Errno::ADDRNOTAVAIL,
        Errno::NETUNREACH,
        Errno::NETDOWN,
        Errno::AGAIN,
        Errno::INTR,
    ];
    Errno::from_io_error(error).is_some_and(|errno| LOCAL.contains(&errno))
}

/// Whether a call failed because the process holds as many descriptors as it may.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::MFILE)
}

/// Whether accepting failed for want of descriptors or memory, which come back. Any other failure of accept(2) belongs to
/// the one connection, which is gone, by the manual page of Linux.
pub fn is_out_of_resources(error: &io::Error) -> bool {
    const EXHAUSTED: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| EXHAUSTED.contains(&errno))
}
