use futures_util::FutureExt;
use http::{Method, StatusCode};
use masticstair_core::prelude::*;
use masticstair_net::http::server::{self, ConnectionCount, Request, Response, ServerLimits};
use monoio::time::{Instant, sleep};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The sliding window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(60);

/// A simulated store of model weights with a rate limit on loads.
#[derive(Clone, Copy, Debug)]
pub struct WeightStore {
    /// Loads that are accepted in any 60 s; further ones get status 429.
    pub loads_per_minute: Slots,
    /// The time from an accepted load to its response.
    pub load_time: Millis,
}

/// Start times of the loads within the rate window, oldest first.
type LoadTimes = Rc<RefCell<VecDeque<Instant>>>;

impl WeightStore {
    /// Starts the store on `addr` (port 0 selects a free port) and returns its address. It serves
    /// `GET /v1/weights/{model}/{version}` until the runtime stops.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address cannot be bound.
    pub fn start(self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let listener = server::bind(addr)?;
        let addr = listener.local_addr()?;
        let loads = LoadTimes::default();
        let handler: server::Handler =
            Rc::new(move |req| load(self, loads.clone(), req).boxed_local());
        let (limits, count) = (ServerLimits::default(), ConnectionCount::default());
        monoio::spawn(server::serve(
            listener,
            move || limits,
            count,
            handler,
            std::future::pending(),
        ));
        Ok(addr)
    }
}

async fn load(store: WeightStore, loads: LoadTimes, req: Request) -> Response {
    let path = req.path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    let (&Method::GET, ["v1", "weights", model, version]) = (&req.head.method, parts.as_slice())
    else {
        return Response::new(StatusCode::NOT_FOUND, "text/plain", "no such path");
    };
    if let Some(wait) = wait_before_load(store, &loads) {
        let detail = format!("{} loads a minute are taken", store.loads_per_minute);
        let seconds = wait.as_secs() as u32 + 1;
        let problem = Problem::not_run(429, "too-many-loads", detail).with_retry_after(seconds);
        return Response::problem(&problem);
    }
    sleep(store.load_time.duration()).await;
    Response::json(StatusCode::OK, &serde_json::json!({ "model": model, "version": version }))
}

/// Counts a load and returns `None`, or returns the time until the next load is accepted.
fn wait_before_load(store: WeightStore, loads: &LoadTimes) -> Option<Duration> {
    let mut loads = loads.borrow_mut();
    while loads.front().is_some_and(|at| at.elapsed() >= RATE_WINDOW) {
        loads.pop_front();
    }
    if loads.len() < store.loads_per_minute.get() as usize {
        loads.push_back(Instant::now());
        return None;
    }
    Some(loads.front().map_or(RATE_WINDOW, |at| RATE_WINDOW.saturating_sub(at.elapsed())))
}
