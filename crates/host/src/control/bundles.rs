//! Puts revisions in force, either committed by the local replica or fetched from another host and verified.

use futures_util::FutureExt;
use masticstair_core::bundle::Bundle;
use masticstair_core::prelude::*;
use masticstair_store::state::{Answer, RevisionInForce};
use slog::info;
use std::rc::Rc;
use std::sync::Arc;

use crate::membership::{BundleHooks, Membership};
use crate::state::{BundleInForce, HostState};

/// Creates the hooks that serve the bundle in force to other hosts and install bundles fetched from them.
pub(super) fn bundle_hooks(state: &Arc<HostState>) -> Rc<BundleHooks> {
    let (serving, installing) = (state.clone(), state.clone());
    Rc::new(BundleHooks {
        content: Box::new(move |revision| serving.in_force.signed(revision)),
        install: Box::new(move |_, bytes| {
            let installed = install_fetched(&installing, &bytes);
            std::future::ready(installed).boxed_local()
        }),
    })
}

/// Puts a revision committed by the local replica in force. The quorum has accepted it, so its signatures
/// aren't verified again.
pub(super) fn install_committed(
    state: &HostState,
    membership: &Membership,
    in_force: RevisionInForce,
    bundle: Arc<Bundle>,
) {
    let revision = in_force.revision.revision;
    install(state, in_force, bundle);
    membership.publish_revision(revision);
}

fn install_fetched(state: &HostState, bytes: &[u8]) -> Result<(), Box<str>> {
    let in_force = match Answer::decode(bytes) {
        Ok(Answer::InForce(Some(in_force))) => *in_force,
        Ok(_) => return Err("the answer of the peer holds no bundle".into()),
        Err(e) => return Err(e.to_string().into()),
    };
    verify(state, &in_force)?;
    if state.in_force.get().is_some_and(|c| c.revision >= in_force.revision.revision) {
        return Ok(());
    }
    let read = in_force.content.parse::<Bundle>();
    let bundle = read.map_err(|e| e.to_string().into_boxed_str())?;
    install(state, in_force, Arc::new(bundle));
    Ok(())
}

/// Verifies the signatures against the signers of the bundle in force or, failing that, against the operators
/// of the settings, which are all that a host without a bundle has.
fn verify(state: &HostState, in_force: &RevisionInForce) -> Result<(), Box<str>> {
    let digest = Sha256Digest::of(in_force.content.as_bytes());
    if digest != in_force.revision.digest {
        return Err("the digest of the content differs from the signed digest".into());
    }
    let (entry, deployment) = (&in_force.revision, &state.cfg.deployment);
    let current = state.in_force.get();
    let by_bundle = current.is_some_and(|c| entry.verify(deployment, &c.bundle.signers).is_ok());
    if by_bundle {
        return Ok(());
    }
    entry.verify(deployment, &state.cfg.operators).map_err(|e| e.to_string().into())
}

fn install(state: &HostState, in_force: RevisionInForce, bundle: Arc<Bundle>) {
    let revision = in_force.revision.revision;
    let percent = bundle.limits.retry_percent;
    let signed: Arc<[u8]> = Answer::InForce(Some(Box::new(in_force))).encode().into();
    if state.in_force.advance(BundleInForce { revision, bundle, signed }) {
        state.traffic.with_budget(|budget| budget.set_percent(percent));
        info!(state.log, "bundle in force"; "revision" => %revision);
    }
}
