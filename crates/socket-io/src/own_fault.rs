//! Failures of calls that are this machine's own: they say nothing of the peer.

use rustix::io::Errno;
use std::io;

/// Whether a call failed for want of something on this machine: descriptors, memory, ports, a route. It may work a
/// moment later, and proves nothing about the peer.
pub fn is_local_fault(fault: &io::Error) -> bool {
    const OWN: [Errno; 10] = [
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
    Errno::from_io_error(fault).is_some_and(|errno| OWN.contains(&errno))
}

/// Whether it failed because the process holds as many descriptors as it may.
pub fn is_out_of_descriptors(fault: &io::Error) -> bool {
    Errno::from_io_error(fault) == Some(Errno::MFILE)
}

/// Whether accepting failed for want of something that is to come back: the machine's descriptors or memory. Whatever else
/// accepting fails with is the fault of the one connection, which is gone, by Linux' manual.
pub fn is_out_of_resources(fault: &io::Error) -> bool {
    const OUT: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    Errno::from_io_error(fault).is_some_and(|errno| OUT.contains(&errno))
}
