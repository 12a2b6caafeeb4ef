//! The queue of waiting requests.

use garnet_routing::{Waiting, WaitingQueue};
use garnet_types::{Class, Millis};

fn waiting(item: u32, class: Class, since: u64) -> Waiting<u32> {
    Waiting {
        item,
        class,
        since: Millis(since),
        latest_start: Millis(since + 60_000),
    }
}

fn served(queue: &mut WaitingQueue<u32>, now: Millis) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(now))
        .map(|one| one.item)
        .collect()
}

#[test]
fn requests_are_served_by_class_and_arrival() {
    let mut queue = WaitingQueue::new(8);
    for (item, class) in [
        (1, Class::Deferrable),
        (2, Class::Urgent),
        (3, Class::Interactive),
        (4, Class::Urgent),
    ] {
        queue.push(waiting(item, class, 0)).expect("there is room");
    }
    assert_eq!(served(&mut queue, Millis(10)), [2, 4, 3, 1]);
}

#[test]
fn requests_of_a_lower_class_do_not_starve() {
    let mut queue = WaitingQueue::new(8);
    queue
        .push(waiting(1, Class::Deferrable, 0))
        .expect("there is room");
    queue
        .push(waiting(2, Class::Interactive, 39_000))
        .expect("there is room");
    assert_eq!(served(&mut queue, Millis(40_000)), [1, 2]);
}

#[test]
fn a_full_queue_returns_the_request() {
    let mut queue = WaitingQueue::new(1);
    queue
        .push(waiting(1, Class::Deferrable, 0))
        .expect("there is room");
    let returned = queue.push(waiting(2, Class::Deferrable, 0));
    assert_eq!(returned.map_err(|one| one.item), Err(2));
}

#[test]
fn requests_past_their_latest_start_expire() {
    let mut queue = WaitingQueue::new(8);
    queue
        .push(waiting(1, Class::Deferrable, 0))
        .expect("there is room");
    queue
        .push(waiting(2, Class::Deferrable, 5))
        .expect("there is room");
    let expired = queue.take_expired(Millis(60_001));
    assert_eq!(expired.len(), 1);
    assert_eq!(served(&mut queue, Millis(60_001)), [2]);
}
