use masticstair_policy::directory::ServingEndpoint;
use masticstair_policy::stage_queue::JobNumber;
use slog::info;

use super::service_stages::ServiceStages;
use crate::Gateway;
use crate::front_end::StageSource;

/// Logs where the inputs of a stage were of which an endpoint found one gone.
pub(super) fn log_lost_inputs(
    gw: &Gateway,
    stages: &ServiceStages,
    endpoint: &ServingEndpoint,
    number: JobNumber,
) {
    let jobs = stages.jobs.borrow();
    let Some(job) = jobs.get(&number) else { return };
    let StageSource::Inputs(inputs) = &job.request.source else { return };
    let addresses = inputs.iter().filter_map(|handle| (gw.front_end.result_address)(handle));
    let directory = gw.directory.borrow();
    let (listed, unlisted): (Vec<_>, Vec<_>) =
        addresses.partition(|address| directory.data_centre_at(*address).is_some());
    info!(gw.log, "inputs of stage gone"; "request" => %job.request.call,
        "stage" => job.request.stage, "service" => %stages.service, "endpoint" => %endpoint.id,
        "data_centre" => %endpoint.data_centre, "inputs_at_ready" => listed.len(),
        "inputs_elsewhere" => unlisted.len(),
        "age_ms" => gw.now().since(job.arrived_at).as_millis() as u64);
}
