use std::rc::Rc;
use std::time::Duration;

use super::ControlHost;
use crate::Gateway;

/// The time after which subscribers are woken without a change.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Wakes the subscribers when this host is told of a change of the evacuations. A control host that is no voter is told by
/// another one, as entry hosts are.
pub(crate) async fn wake_subscribers(gw: Rc<Gateway>, control: Rc<ControlHost>) {
    loop {
        gw.evacuations_changed.notified(MAX_WAIT).await;
        control.changed.notify();
        control.confirmed.notify();
    }
}
