use futures_util::future::poll_fn;
use masticstair_core::prelude::*;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// Limits the number of concurrent calls; further calls wait in order of arrival.
#[derive(Clone, Debug)]
pub struct SlotQueue(Rc<RefCell<QueueState>>);

#[derive(Debug)]
struct QueueState {
    free: u32,
    capacity: u32,
    next_ticket: u64,
    waiting: VecDeque<(u64, Waker)>,
}

/// A slot that is held by a call and released on drop.
#[derive(Debug)]
pub struct Slot(SlotQueue);

/// Removes a caller from the queue on drop, also when its future is cancelled, and wakes the next one.
struct QueueEntry<'a> {
    queue: &'a SlotQueue,
    ticket: u64,
}

impl SlotQueue {
    /// Creates a queue with `capacity` free slots.
    pub fn new(capacity: Slots) -> Self {
        Self(Rc::new(RefCell::new(QueueState {
            free: capacity.get(),
            capacity: capacity.get(),
            next_ticket: 0,
            waiting: VecDeque::new(),
        })))
    }

    /// Waits for a slot.
    pub async fn acquire(&self) -> Slot {
        let ticket = {
            let mut state = self.0.borrow_mut();
            state.next_ticket += 1;
            state.next_ticket
        };
        let _entry = QueueEntry { queue: self, ticket };
        poll_fn(|cx| {
            let mut state = self.0.borrow_mut();
            let first = state.waiting.front().is_none_or(|(t, _)| *t == ticket);
            if first && state.free > 0 {
                state.free -= 1;
                return Poll::Ready(());
            }
            match state.waiting.iter_mut().find(|(t, _)| *t == ticket) {
                Some((_, waker)) => waker.clone_from(cx.waker()),
                None => state.waiting.push_back((ticket, cx.waker().clone())),
            }
            Poll::Pending
        })
        .await;
        Slot(self.clone())
    }

    /// Returns the number of slots that are held.
    pub fn running(&self) -> Slots {
        let state = self.0.borrow();
        Slots::new(state.capacity - state.free)
    }

    /// Returns the number of calls that wait for a slot.
    pub fn queued(&self) -> Slots {
        Slots::new(self.0.borrow().waiting.len() as u32)
    }

    fn wake_first(&self) {
        if let Some((_, waker)) = self.0.borrow().waiting.front() {
            waker.wake_by_ref();
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.0.borrow_mut().free += 1;
        self.0.wake_first();
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.queue.0.borrow_mut().waiting.retain(|(t, _)| *t != self.ticket);
        self.queue.wake_first();
    }
}
