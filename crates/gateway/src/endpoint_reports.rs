//! The load that endpoints report with their answers.

use masticstair_policy::directory::ServingEndpoint;
use slog::debug;

use crate::Gateway;
use crate::front_end::AnswerMeta;

impl Gateway {
    /// Records the load that an endpoint reports with an answer. A malformed report is counted and otherwise ignored: the
    /// endpoint answered, so it stays in use.
    pub(crate) fn record_load(&self, endpoint: &ServingEndpoint, meta: &AnswerMeta) {
        // The answer may come from another endpoint that has taken over the address.
        if meta.is_other_endpoint {
            return;
        }
        match &meta.load {
            None => {}
            Some(Ok(load)) => {
                self.metrics.count_load_report(&endpoint.service, "usable");
                self.with_health(&endpoint.id, |health| health.reports.record(self.now(), *load));
            }
            Some(Err(e)) => {
                self.metrics.count_load_report(&endpoint.service, "malformed");
                debug!(self.log, "ignoring malformed load report"; "endpoint" => %endpoint.id,
                    "service" => %endpoint.service, "reason" => %e);
            }
        }
    }
}
