use crate::fault::Fault;
use std::collections::VecDeque;

/// Engine with a fixed number of parallel slots and a queue, which approximates continuous batching.
pub struct Engine {
    pub speed: f64,
    pub slots: u32,
    pub fault: Fault,
    pub running: Vec<usize>,
    pub queue: VecDeque<usize>,
}

impl Engine {
    /// Accepts a call; returns true if it starts immediately, false if it is queued.
    pub fn accept(&mut self, call: usize) -> bool {
        let starts = self.running.len() < self.slots as usize;
        if starts {
            self.running.push(call)
        } else {
            self.queue.push_back(call)
        }
        starts
    }

    /// Removes a running or queued call and returns the queued call that takes its slot, if any.
    pub fn remove(&mut self, call: usize) -> Option<usize> {
        self.queue.retain(|&c| c != call);
        let before = self.running.len();
        self.running.retain(|&c| c != call);
        if self.running.len() == before {
            return None;
        }
        let next = self.queue.pop_front()?;
        self.running.push(next);
        Some(next)
    }

    /// Returns the factor on the processing time of a call relative to an engine of speed 1.
    pub fn slowdown(&self) -> f64 {
        (if self.fault == Fault::Slow { 10.0 } else { 1.0 }) / self.speed
    }
}
