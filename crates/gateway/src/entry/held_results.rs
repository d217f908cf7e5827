use masticstair_core::prelude::*;
use std::rc::Rc;

use crate::Gateway;
use crate::stages::submit_release;

/// Stage results that a request uses; released when it is dropped.
pub(super) struct HeldResults {
    gw: Rc<Gateway>,
    held: Vec<(ServiceName, Vec<ResultHandle>)>,
}

impl HeldResults {
    pub(super) fn new(gw: &Rc<Gateway>) -> Self {
        Self { gw: gw.clone(), held: Vec::new() }
    }

    /// Adds results of a service.
    pub(super) fn hold(&mut self, service: &ServiceName, results: Vec<ResultHandle>) {
        self.held.push((service.clone(), results));
    }

    /// Releases a set of results that was added before.
    pub(super) fn release(&mut self, results: &[ResultHandle]) {
        let is_match = |held: &Vec<ResultHandle>| held.first() == results.first();
        let Some(at) = self.held.iter().position(|(_, held)| is_match(held)) else { return };
        let (service, results) = self.held.swap_remove(at);
        submit_release(&self.gw, service, results);
    }

    pub(super) fn release_all(&mut self) {
        for (service, results) in std::mem::take(&mut self.held) {
            submit_release(&self.gw, service, results);
        }
    }
}

impl Drop for HeldResults {
    fn drop(&mut self) {
        self.release_all();
    }
}
