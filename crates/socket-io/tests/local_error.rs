//! Tests the classification of local errors.

use orchidtally_socket_io::{is_local_error, is_out_of_resources};
use rustix::io::Errno;
use std::io;

#[test]
fn local_errors_are_distinguished_from_errors_of_the_peer() {
    let is_local = |errno: Errno| is_local_error(&errno.into());
    assert!(
        [Errno::NFILE, Errno::ADDRNOTAVAIL, Errno::NETUNREACH]
            .into_iter()
            .all(is_local)
    );
    assert!(
        ![
            Errno::CONNREFUSED,
            Errno::TIMEDOUT,
            Errno::HOSTUNREACH,
            Errno::CONNRESET
        ]
        .into_iter()
        .any(is_local)
    );
    assert!(!is_local_error(&io::Error::other("no errno")));
    assert!(
        is_out_of_resources(&Errno::NFILE.into())
            && !is_out_of_resources(&Errno::NETUNREACH.into())
    );
}
