use super::limits::GROUP_COMMIT_TARGET_BYTES;
use super::{CommitGroup, LogWriter, ReplySender, Request, SnapshotWriter, StorageError};
use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, TryRecvError};

/// The thread that owns the data folder. It serves calls in order, except that snapshots are written in
/// chunks between commit groups.
pub(crate) struct StorageThread {
    pub(crate) rx: Receiver<Request>,
    pub(crate) writer: LogWriter,
    /// Maximum number of bytes of a snapshot written at a time.
    pub(crate) snapshot_chunk_size: usize,
    /// Pending snapshots in order; the first one may be partly written.
    pub(crate) snapshot_writers: VecDeque<SnapshotWriter>,
    /// The first I/O failure. Nothing is written after it: after a failed sync, the operating system may have
    /// dropped the dirty pages, and a second sync would succeed without writing them.
    pub(crate) failure: Option<StorageError>,
}

impl StorageThread {
    /// Serves calls until `close` is called or all handles are dropped.
    pub(crate) fn run(mut self) {
        loop {
            let request = match self.snapshot_writers.is_empty() {
                true => self.rx.recv().map_err(|_| TryRecvError::Disconnected),
                false => self.rx.try_recv(),
            };
            match request {
                Ok(request) => {
                    if let Some(reply) = self.commit_group(request) {
                        // Release the lock on the folder before confirming the close.
                        drop(self);
                        let _ = reply.send(Ok(()));
                        return;
                    }
                }
                Err(TryRecvError::Disconnected) if self.snapshot_writers.is_empty() => return,
                Err(_) => {}
            }
            self.continue_snapshot();
        }
    }

    /// Commits a call together with the calls queued behind it. If one of them is `close`, returns the sender
    /// for its confirmation.
    fn commit_group(&mut self, first: Request) -> Option<ReplySender> {
        let mut group = CommitGroup::default();
        let mut next = Some(first);
        while let Some(request) = next.take() {
            self.stage(request, &mut group);
            if self.writer.staged() < GROUP_COMMIT_TARGET_BYTES && group.close_reply.is_none() {
                next = self.rx.try_recv().ok();
            }
        }
        let committed = self.run_unless_failed(LogWriter::commit);
        for reply in group.replies {
            let _ = reply.send(committed.clone());
        }
        group.close_reply
    }

    fn stage(&mut self, request: Request, group: &mut CommitGroup) {
        let (staged, reply) = match request {
            Request::Close(reply) => {
                group.close_reply = Some(reply);
                return;
            }
            Request::Snapshot(meta, data, reply) => {
                self.snapshot_writers.push_back(SnapshotWriter::new(meta, data, reply));
                return;
            }
            Request::Append(entries, reply) => {
                (self.run_unless_failed(|writer| writer.stage_entries(&entries)), reply)
            }
            Request::HardState(state, reply) => {
                (self.run_unless_failed(|writer| writer.stage_hard_state(state)), reply)
            }
        };
        match staged {
            Ok(()) => group.replies.push(reply),
            Err(e) => drop(reply.send(Err(e))),
        }
    }

    fn continue_snapshot(&mut self) {
        let Some(mut snapshot) = self.snapshot_writers.pop_front() else { return };
        let chunk_size = self.snapshot_chunk_size;
        match self
            .run_unless_failed(|writer| write_chunk_and_install(writer, &mut snapshot, chunk_size))
        {
            Ok(false) => self.snapshot_writers.push_front(snapshot),
            Ok(true) => drop(snapshot.reply.send(Ok(()))),
            Err(e) => drop(snapshot.reply.send(Err(e))),
        }
    }

    /// Runs an operation unless an earlier one failed. Records an I/O failure.
    fn run_unless_failed<T>(
        &mut self,
        operation: impl FnOnce(&mut LogWriter) -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        if let Some(first) = &self.failure {
            return Err(StorageError::Failed { cause: first.to_string().into() });
        }
        let result = operation(&mut self.writer);
        if let Err(e @ StorageError::Io { .. }) = &result {
            self.failure = Some(e.clone());
        }
        result
    }
}

fn write_chunk_and_install(
    writer: &mut LogWriter,
    snapshot: &mut SnapshotWriter,
    chunk_size: usize,
) -> Result<bool, StorageError> {
    snapshot.validate(writer.snapshot().index)?;
    let complete = snapshot.write_chunk(&mut writer.folder, chunk_size)?;
    if complete {
        writer.install_snapshot(snapshot.position())?;
    }
    Ok(complete)
}
