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
use super::connection_memory::ConnectionMemory;
use super::{ConnectionCount, Handler, ServerLimits, Stop};
use crate::memory::{MemoryAccount, RefusalCause};

/// Delay after a failed accept; the usual cause is that the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a listener that closes awaits the next connection of its backlog. Those that it leaves there are reset.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(20);

/// How long a listener without a free connection waits after it has told one to give way.
const GIVE_WAY_DELAY: Duration = Duration::from_millis(5);

/// How often connections are sought whose clients do not read.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Binds a listener with `SO_REUSEPORT`, so that several workers can bind the same address.
///
/// # Errors
///
/// Returns the operating system error if the address cannot be bound.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind_with_config(addr, &ListenerOpts::new())
}

/// As `serve_within`, with an account of its own.
pub async fn serve(
    listener: TcpListener,
    limits: impl Fn() -> ServerLimits + 'static,
    count: ConnectionCount,
    handler: Handler,
    stop: impl Future<Output = ()> + 'static,
) {
    serve_within(listener, limits, count, MemoryAccount::default(), handler, stop).await;
}

/// Accepts and serves connections until `stop` completes; requests in progress are still answered after
/// that, also those on connections that the operating system has accepted already. A connection keeps the limits
/// that are in force when it is accepted. What it makes the process hold counts in `account`.
pub async fn serve_within(
    listener: TcpListener,
    limits: impl Fn() -> ServerLimits + 'static,
    count: ConnectionCount,
    account: MemoryAccount,
    handler: Handler,
    stop: impl Future<Output = ()> + 'static,
) {
    let number = account.add_listener();
    let large_bodies = ConnectionCount::default();
    let stop: Stop = stop.boxed_local().shared();
    let unread_limit = limits().head_timeout.duration();
    monoio::spawn(close_unread(account.clone(), number, unread_limit, stop.clone()));
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
                if count.open() >= limits.connections {
                    account.make_place(number);
                    monoio::time::sleep(GIVE_WAY_DELAY).await;
                }
                let (account, large_bodies) = (account.clone(), large_bodies.clone());
                let stop = stop.clone();
                monoio::spawn(async move {
                    // Generated tokens are small writes, which Nagle's algorithm would delay.
                    let _ = stream.set_nodelay(true);
                    let Some(_counted) = count.try_acquire(limits.connections) else {
                        account.count_refusal(RefusalCause::Connections);
                        return send_and_close(stream, &too_many(&limits)).await;
                    };
                    match ConnectionMemory::open(&account, number).await {
                        Ok(memory) => {
                            let memory = Rc::new(memory);
                            serve_connection(
                                stream,
                                limits,
                                handler,
                                &count,
                                memory,
                                large_bodies,
                                stop,
                            )
                            .await;
                        }
                        Err(e) => {
                            let problem = Problem::not_run(503, "no-memory", e.to_string());
                            send_and_close(stream, &problem.with_retry_after(1)).await;
                        }
                    }
                });
            }
            Either::Left((Err(_), _)) if is_stopped => return,
            Either::Left((Err(_), _)) => monoio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Closes connections whose clients have not read for `limit`, and stalled ones while too much is held, until the listener
/// stops.
async fn close_unread(account: MemoryAccount, listener: u64, limit: Duration, stop: Stop) {
    loop {
        let pause = monoio::time::sleep(UNREAD_CHECK_INTERVAL);
        match select(pin!(pause), stop.clone()).await {
            Either::Left(_) => {
                account.close_unread(listener, limit);
                account.relieve();
            }
            Either::Right(_) => return,
        }
    }
}

fn too_many(limits: &ServerLimits) -> Problem {
    let detail = format!("{} connections are open on this host already", limits.connections);
    Problem::not_run(429, "too-many-connections", detail).with_retry_after(1)
}
