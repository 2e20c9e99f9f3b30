//! Classifies system call errors that are caused by this machine and say nothing about the peer.

use rustix::io::Errno;
use std::io;

/// Whether a system call failed for lack of a local resource: file descriptors, memory, ports or a route. Such a call
/// may succeed when retried, and its failure says nothing about the peer.
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

/// Whether a system call failed because the process has reached its limit of open file descriptors.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    Errno::from_io_error(error) == Some(Errno::MFILE)
}

/// Whether accepting failed for lack of file descriptors or memory, which may become available again. According to the
/// Linux manual page of accept(2), any other error concerns the one connection, which is lost.
pub fn is_out_of_resources(error: &io::Error) -> bool {
    const EXHAUSTED: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(error).is_some_and(|errno| EXHAUSTED.contains(&errno))
}
