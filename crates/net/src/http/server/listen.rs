use masticstair_core::prelude::*;
use monoio::net::{ListenerOpts, TcpListener};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{Either, select};

use super::connection::{send_and_close, serve_connection};
use super::{ConnectionCount, Handler, ServerLimits, Stop};

/// Delay after a failed accept; the usual cause is that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a listener that closes awaits the next connection of its backlog. Those that it leaves there are reset.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(20);

/// Binds a listener with `SO_REUSEPORT`, so that several workers can bind the same address.
///
/// # Errors
///
/// Returns the operating system error if the address cannot be bound.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(addr, &ListenerOpts::new())
}

/// Accepts and serves connections until `stop` completes; requests in progress are still answered after
/// that, also those on connections that the operating system has accepted already. A connection keeps the limits
/// that are in force when it is accepted.
pub async fn serve(
    listener: TcpListener,
    limits: impl Fn() -> ServerLimits + 'static,
    count: ConnectionCount,
    handler: Handler,
    stop: impl Future<Output = ()> + 'static,
) {
    let large_bodies = ConnectionCount::default();
    let stop: Stop = stop.boxed_local().shared();
    let mut is_stopped = false;
    loop {
        let stop_asked = stop.clone();
        let backlog_timeout = if is_stopped { BACKLOG_TIMEOUT } else { Duration::ZERO };
        let stopped = async {
            stop_asked.await;
            monoio::time::sleep(backlog_timeout).await;
        };
        match select(pin!(listener.accept()), pin!(stopped)).await {
            Either::Right(_) if is_stopped => return,
            Either::Right(_) => is_stopped = true,
            Either::Left((Ok((stream, _)), _)) => {
                let (handler, count) = (handler.clone(), count.clone());
                let limits = Rc::new(limits());
                let (large_bodies, stop) = (large_bodies.clone(), stop.clone());
                monoio::spawn(async move {
                    // Generated tokens are small writes, which Nagle's algorithm would delay.
                    let _ = stream.set_nodelay(true);
                    match count.try_acquire(limits.connections) {
                        Some(_counted) => {
                            serve_connection(stream, limits, handler, &count, large_bodies, stop)
                                .await
                        }
                        None => send_and_close(stream, &too_many(&limits)).await,
                    }
                });
            }
            Either::Left((Err(_), _)) if is_stopped => return,
            Either::Left((Err(_), _)) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

fn too_many(limits: &ServerLimits) -> Problem {
    let detail = format!("{} connections are open on this host already", limits.connections);
    Problem::not_run(429, "too-many-connections", detail).with_retry_after(1)
}
