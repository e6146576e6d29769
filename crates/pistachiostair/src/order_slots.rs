//! A bound on the orders to start and stop runs that are in progress. Without it, a burst of them takes longer to pass the
//! daemon's link than an order may take to be answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};

#[cfg(test)]
mod tests;

/// Places for orders in progress.
#[derive(Clone)]
pub(crate) struct OrderSlots {
    /// Holds an element for each order in progress; none without a bound.
    taken: Option<(Sender<()>, Receiver<()>)>,
    waiting: Arc<AtomicUsize>,
}

/// A place, given back when dropped.
pub(crate) struct OrderSlot(Option<Receiver<()>>);

impl OrderSlots {
    /// Places for `count` orders; no bound for `usize::MAX`.
    pub(crate) fn new(count: usize) -> Self {
        Self {
            taken: (count < usize::MAX).then(|| async_channel::bounded(count)),
            waiting: Arc::default(),
        }
    }

    /// Takes a place; waits until there is one.
    pub(crate) async fn take(&self) -> OrderSlot {
        let Some((sender, receiver)) = &self.taken else {
            return OrderSlot(None);
        };
        let _waiting = Waiting::enter(&self.waiting);
        // Never closed: `self` holds the receiver.
        let _ = sender.send(()).await;
        OrderSlot(Some(receiver.clone()))
    }

    /// Number of orders that wait for a place.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}

impl Drop for OrderSlot {
    fn drop(&mut self) {
        if let Some(taken) = &self.0 {
            // Never empty: it holds the element of this place.
            let _ = taken.try_recv();
        }
    }
}

/// An order that waits for a place.
struct Waiting(Arc<AtomicUsize>);

impl Waiting {
    fn enter(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
