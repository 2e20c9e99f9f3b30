use super::*;

fn pending(stream: u32, payload_bytes: usize) -> PendingInvocation {
    PendingInvocation {
        arrived_at: 0.0,
        stream,
        payload: Some(vec![0; payload_bytes]),
    }
}

#[test]
fn the_bytes_of_what_was_removed_are_no_longer_counted() {
    let mut invocations = PendingInvocations::default();
    for (stream, bytes) in [(1, 100), (4, 20), (9, 3)] {
        invocations.push(pending(stream, bytes));
    }
    invocations.remove(4);
    invocations.remove(5);
    assert_eq!((invocations.len(), invocations.payload_bytes()), (2, 103));
    assert_eq!(invocations.pop().map(|first| first.stream), Some(1));
    assert_eq!(invocations.pop().map(|second| second.stream), Some(9));
    assert!(invocations.is_empty() && invocations.pop().is_none());
    assert_eq!(invocations.held_bytes(), 0);
}
