//! Which failures of calls are this machine's own.

use orchidtally_socket_io::{is_local_error, is_out_of_resources};
use rustix::io::Errno;
use std::io;

#[test]
fn faults_of_this_machine_are_told_from_those_of_the_peer() {
    let own = |errno: Errno| is_local_error(&errno.into());
    assert!(
        [Errno::NFILE, Errno::ADDRNOTAVAIL, Errno::NETUNREACH]
            .into_iter()
            .all(own)
    );
    assert!(
        ![
            Errno::CONNREFUSED,
            Errno::TIMEDOUT,
            Errno::HOSTUNREACH,
            Errno::CONNRESET
        ]
        .into_iter()
        .any(own)
    );
    assert!(!is_local_error(&io::Error::other("no errno")));
    assert!(
        is_out_of_resources(&Errno::NFILE.into())
            && !is_out_of_resources(&Errno::NETUNREACH.into())
    );
}
