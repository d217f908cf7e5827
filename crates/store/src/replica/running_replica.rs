use crate::consensus::Node;
use crate::storage::StorageHandle;

/// A node and the storage that it writes to.
#[derive(Clone)]
pub(crate) struct RunningReplica {
    pub(crate) node: Node,
    pub(crate) storage: StorageHandle,
}

impl RunningReplica {
    /// Stops the node and waits until the storage has released the data folder.
    pub(crate) async fn stop(self) {
        self.node.stop();
        // The storage may have stopped already.
        let _ = self.storage.close().await;
    }
}
