use bytes::Bytes;
use futures_util::FutureExt;
use http::{Method, StatusCode};
use masticstair_core::bundle::StageKind;
use masticstair_core::endpoint_api::*;
use masticstair_core::prelude::*;
use masticstair_net::http::server::{
    self, BodySender, ConnectionCount, Request, Response, ServerLimits,
};
use masticstair_net::http::sse::SseEvent;
use monoio::time::{Instant, sleep};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::announcer::announce_forever;
use super::{Faults, SlotQueue, StageWork, StandInHandle, stamp_now};

/// Returns the simulated work of a call.
pub type WorkFn = Rc<dyn Fn(&RunRequest) -> StageWork>;

/// The configuration of a simulated endpoint.
#[derive(Clone)]
pub struct StandIn {
    /// The id under which it announces itself.
    pub id: EndpointId,
    /// The kind of stages that it serves.
    pub kind: StageKind,
    /// The pool that it belongs to.
    pub pool: PoolName,
    /// The data centre that it reports.
    pub data_centre: DataCentreId,
    /// The number of concurrent calls; further calls are queued.
    pub capacity: Slots,
    /// The models that it reports as loaded.
    pub models: Vec<LoadedModel>,
    /// Whether its announcements include its load.
    pub reports_load: bool,
    /// The hosts that it announces itself to, one at a time; empty for an endpoint that is not announced.
    pub hosts: Vec<SocketAddr>,
    /// Called once for each call, after it got a slot.
    pub work: WorkFn,
}

struct RunningStandIn {
    stand_in: StandIn,
    slots: SlotQueue,
    faults: Faults,
}

impl StandIn {
    /// Starts the endpoint on `addr` (port 0 selects a free port); its tasks run until the runtime stops.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address cannot be bound.
    pub fn start(self, addr: SocketAddr) -> io::Result<StandInHandle> {
        let listener = server::bind(addr)?;
        let addr = listener.local_addr()?;
        let (faults, leaving) = (Faults::default(), Rc::new(Cell::new(false)));
        let handle = StandInHandle { addr, faults: faults.clone(), leaving: leaving.clone() };
        let slots = SlotQueue::new(self.capacity);
        let running = Rc::new(RunningStandIn { stand_in: self, slots, faults });
        let announced = running.clone();
        let incarnation = Incarnation::new(unix_time_ms());
        monoio::spawn(announce_forever(
            running.stand_in.id.clone(),
            running.stand_in.hosts.clone(),
            move || announced.announcement(addr, incarnation, leaving.get()),
        ));
        let handler: server::Handler =
            Rc::new(move |req| handle_request(running.clone(), req).boxed_local());
        let (limits, count) = (ServerLimits::default(), ConnectionCount::default());
        monoio::spawn(server::serve(
            listener,
            move || limits,
            count,
            handler,
            std::future::pending(),
        ));
        Ok(handle)
    }
}

impl RunningStandIn {
    fn announcement(
        &self,
        address: SocketAddr,
        incarnation: Incarnation,
        leaving: bool,
    ) -> Announcement {
        let stand_in = &self.stand_in;
        let load = LoadReport { running: self.slots.running(), queued: self.slots.queued() };
        Announcement {
            address,
            kind: stand_in.kind,
            pool: stand_in.pool.clone(),
            data_centre: stand_in.data_centre.clone(),
            incarnation,
            capacity: stand_in.capacity,
            models: stand_in.models.clone(),
            load: stand_in.reports_load.then_some(load),
            state: if leaving { EndpointState::Leaving } else { EndpointState::Ready },
        }
    }

    /// Sleeps for the time of the work, multiplied by the slowdown. Skips the timer when the time is zero, since the
    /// timer would round it up to 1 ms.
    async fn simulate_work(&self, time: Duration) {
        if !time.is_zero() {
            sleep(time.mul_f64(self.faults.slowdown())).await;
        }
    }
}

async fn handle_request(running: Rc<RunningStandIn>, req: Request) -> Response {
    match (&req.head.method, req.path()) {
        (&Method::POST, "/v1/run") => match serde_json::from_slice::<RunRequest>(&req.body) {
            Ok(run) => run_stage(running, run).await,
            Err(e) => Response::new(StatusCode::BAD_REQUEST, "text/plain", e.to_string()),
        },
        _ => Response::new(StatusCode::NOT_FOUND, "text/plain", "no such path"),
    }
}

async fn run_stage(running: Rc<RunningStandIn>, run: RunRequest) -> Response {
    if running.faults.failing() {
        return error_answer(&run, false);
    }
    if run.stream {
        let (tx, rx) = server::body_stream();
        monoio::spawn(stream_answer(running, run, tx));
        return Response::events(rx);
    }
    let _slot = running.slots.acquire().await;
    let started = Instant::now();
    let work = (running.stand_in.work)(&run);
    let token_time = work.token_time * work.tokens.len().saturating_sub(1) as u32;
    running.simulate_work(work.time + token_time).await;
    if running.faults.silent() {
        std::future::pending::<()>().await;
    }
    if running.faults.failing_after_run() {
        return error_answer(&run, true);
    }
    let request_id =
        if running.faults.wrong_request_id() { RequestId::random() } else { run.request_id };
    let usage = Usage { engine_us: elapsed_us(started), ..work.usage };
    let answer = RunResponse { request_id, attempt_id: run.attempt_id, output: work.output, usage };
    Response::json(StatusCode::OK, &answer)
}

fn error_answer(run: &RunRequest, ran: bool) -> Response {
    let (request_id, attempt_id) = (run.request_id, run.attempt_id);
    let error = RunError { request_id, attempt_id, error: "out of order".into(), ran };
    Response::json(StatusCode::SERVICE_UNAVAILABLE, &error)
}

/// Streams the tokens, beginning after those that the caller has. Stops when the caller closes the connection.
async fn stream_answer(running: Rc<RunningStandIn>, run: RunRequest, mut tx: BodySender) {
    let _slot = running.slots.acquire().await;
    let started = Instant::now();
    let work = (running.stand_in.work)(&run);
    let first = run.resume_from.as_ref().map_or(0, |r| r.index.get());
    let (request_id, attempt_id) = (run.request_id, run.attempt_id);
    let cut_after = running.faults.cut_after_tokens();
    let tokens = work.tokens.iter().enumerate().skip(first as usize);
    for (sent, (index, text)) in tokens.enumerate() {
        if running.faults.silent() {
            std::future::pending::<()>().await;
        }
        if cut_after == Some(sent as u64) {
            return;
        }
        let time = if sent == 0 { work.time } else { work.token_time };
        running.simulate_work(time).await;
        let text = if work.stamped { stamp_now() } else { text.clone() };
        let index = TokenCount::new(index as u64);
        let token = StreamToken { request_id, attempt_id, index, text };
        if send(&mut tx, SseEvent::encode_json("token", &token)).await.is_err() {
            return;
        }
    }
    let tokens = TokenCount::new(work.tokens.len() as u64);
    let usage = Usage {
        output_tokens: tokens.get().saturating_sub(first).into(),
        engine_us: elapsed_us(started),
        ..work.usage
    };
    let end = StreamEnd { request_id, attempt_id, tokens, usage };
    // Nothing is left to send, so an error from a closed connection is ignored.
    let _ = send(&mut tx, SseEvent::encode_json("end", &end)).await;
}

async fn send(tx: &mut BodySender, chunk: Bytes) -> Result<(), server::BodyClosed> {
    tx.send(chunk).await
}

fn elapsed_us(started: Instant) -> EngineTime {
    EngineTime::new(started.elapsed().as_micros() as u64)
}

fn unix_time_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}
