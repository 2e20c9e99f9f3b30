use super::*;

#[test]
fn a_source_is_queued_once_and_returns_to_the_end() {
    let mut queue = ReadyQueue::default();
    let (first, second) = (EventSource::Client(1), EventSource::Client(2));
    for (source, now) in [(first, 1.0), (second, 2.0), (first, 3.0)] {
        queue.push(source, now);
    }
    assert_eq!(queue.len(), 2);
    assert!(queue.contains(first) && !queue.contains(EventSource::Client(3)));
    let ready = |source, since| Some(ReadySource { source, since });
    assert_eq!(queue.pop(), ready(first, 1.0), "the first time counts");
    queue.push(first, 4.0);
    assert_eq!(queue.pop(), ready(second, 2.0));
    assert_eq!(queue.pop(), ready(first, 4.0));
    assert_eq!(queue.pop(), None);
    assert!(queue.is_empty());
}
