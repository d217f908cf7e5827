use masticstair_core::prelude::*;
use masticstair_policy::poison::{PromptParts, Standing, Verdict};

use super::client_request::ClientRequest;
use crate::Gateway;
use crate::front_end::{Refusal, RefusalReason};

/// Returns what is known about the prompt of a request.
pub(super) fn prompt_standing(gw: &Gateway, req: &ClientRequest) -> Standing {
    let Some(prompt) = &req.meta.prompt else { return Standing::Clear };
    let parts: PromptParts = prompt.shared_ids().collect();
    gw.poison.borrow().standing(gw.now(), &req.service, &parts)
}

/// Refuses a request whose prompt is known to crash engines, before any work is done for it.
pub(super) fn check_prompt(gw: &Gateway, req: &ClientRequest) -> Result<(), Refusal> {
    match prompt_standing(gw, req) {
        Standing::Rejected { verdict, left } => Err(poison_refusal(&verdict, left)),
        Standing::Clear | Standing::Suspected => Ok(()),
    }
}

/// Builds the refusal of a request that was not run. It may be served once the verdict has ended, `left` from now.
pub(super) fn poison_refusal(verdict: &Verdict, left: Millis) -> Refusal {
    Refusal::not_run(RefusalReason::PoisonPrompt, verdict.to_string()).with_retry_after(left)
}

/// Records that an engine has sent the first event of an answer to a request.
pub(super) fn record_prompt_answer(gw: &Gateway, req: &ClientRequest) {
    if let Some(prompt) = &req.meta.prompt {
        gw.change_evidence(|table, now| {
            table.record_answer(now, &req.service, prompt.shared_ids())
        });
    }
}
