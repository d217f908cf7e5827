use futures_channel::oneshot;
use masticstair_core::id::LogIndex;
use masticstair_core::message::EntryPayload;
use masticstair_core::unit::ByteCount;
use std::time::Duration;

use crate::consensus::shared::Shared;
use crate::consensus::{ProposeError, Refusal};

/// Appends a command to the leader's log and waits until it is applied locally.
pub(crate) async fn propose(
    shared: &Shared,
    command: Box<[u8]>,
    limit: Duration,
) -> Result<Box<[u8]>, ProposeError> {
    check_proposal(shared, &command).map_err(ProposeError::NotProposed)?;
    let (index, reply) = append_command(shared, command);
    match monoio::time::timeout(limit, reply).await {
        Ok(Ok(reply)) => Ok(reply),
        Ok(Err(_)) | Err(_) => Err(ProposeError::Unknown { index }),
    }
}

/// Returns why a command must not be appended, if there is a reason.
fn check_proposal(shared: &Shared, command: &[u8]) -> Result<(), Refusal> {
    let (size, limit) = (ByteCount::new(command.len() as u64), shared.cfg.max_command);
    if size > limit {
        return Err(Refusal::TooLarge { size, limit });
    }
    let state = shared.state.borrow();
    if state.stopped {
        return Err(Refusal::Stopped);
    }
    if let Some(fault) = &state.fault {
        return Err(Refusal::Fault(fault.clone()));
    }
    let Some(leader_state) = &state.leader_state else {
        return Err(Refusal::NotLeader { leader: state.leader_replica() });
    };
    if leader_state.transferring {
        return Err(Refusal::Transferring);
    }
    let (held, limit) =
        (ByteCount::new(leader_state.uncommitted_bytes), shared.cfg.max_uncommitted);
    if held.get() + size.get() > limit.get() {
        return Err(Refusal::Full { held, limit });
    }
    Ok(())
}

/// Appends the command. From here on it may reach another replica, so its outcome is unknown until it is
/// applied.
fn append_command(shared: &Shared, command: Box<[u8]>) -> (LogIndex, oneshot::Receiver<Box<[u8]>>) {
    let mut state = shared.state.borrow_mut();
    let index = state.append_as_leader(EntryPayload::Command(command));
    let reply = shared.pending_proposals.borrow_mut().add(index, state.hard_state.term);
    drop(state);
    shared.signals.state_changed.notify();
    (index, reply)
}
