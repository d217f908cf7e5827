use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, HostId, ReplicaId};

/// A replica of the log.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Replica {
    /// The identity of its data folder.
    pub id: ReplicaId,
    /// The host that stores the data folder.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
}
