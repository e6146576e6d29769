//! Pattern: a burst of start orders over the slow link of a weak scheduler.

use futures_lite::future::{block_on, poll_once};

use super::OrderSlots;

/// Guards against more orders in progress than the bound, and against places that are not given back.
#[test]
fn take_bounded() {
    let slots = OrderSlots::new(2);
    let first = block_on(slots.take());
    let second = block_on(slots.take());
    let mut third = Box::pin(slots.take());
    assert!(block_on(poll_once(&mut third)).is_none());
    assert_eq!(slots.waiting(), 1);
    drop(first);
    let third = block_on(third);
    assert_eq!(slots.waiting(), 0);
    drop((second, third));
    assert!(block_on(poll_once(slots.take())).is_some());
}

/// Guards against an order that was given up while it waited and keeps a place.
#[test]
fn take_given_up() {
    let slots = OrderSlots::new(1);
    let first = block_on(slots.take());
    let mut second = Box::pin(slots.take());
    assert!(block_on(poll_once(&mut second)).is_none());
    drop(second);
    assert_eq!(slots.waiting(), 0);
    drop(first);
    assert!(block_on(poll_once(slots.take())).is_some());
}
