use futures_util::FutureExt;
use futures_util::future::{Either, select};
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use masticstair_core::prelude::*;
use masticstair_policy::memory_account::MemoryKind;
use monoio::io::{AsyncWriteRent, AsyncWriteRentExt, IntoPollIo};
use monoio::net::TcpStream;
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use std::cell::{Cell, OnceCell};
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use super::connection_memory::ConnectionMemory;
use super::counted_stream::CountedStream;
use super::phase::Phase;
use super::read_body::read_body;
use super::response_body::ResponseBody;
use super::{ConnectionCount, Handler, Request, Response, ResponseContent, ServerLimits, Stop};
use crate::memory::{CountedBytes, MemoryAccount};
use crate::turns::TurnStream;

/// How long a connection without a request stays open after the server was asked to stop: its first request may be on
/// its way.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a refusal may take to be sent.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers of up to this size are counted with their connection.
const MAX_UNCOUNTED_BYTES: usize = 8 << 10;

/// Serves one connection until it closes or has to give way to others. Once `stop` completes, the request in progress
/// is still answered and the connection is then closed.
pub(super) async fn serve_connection(
    stream: TcpStream,
    limits: Rc<ServerLimits>,
    handler: Handler,
    count: &ConnectionCount,
    memory: Rc<ConnectionMemory>,
    large_bodies: ConnectionCount,
    stop: Stop,
) {
    let Ok(stream) = stream.into_poll_io() else { return };
    let served = Rc::new(Cell::new(0));
    let used = OnceCell::new();
    let service = service_fn(|req| {
        used.get_or_init(|| count.count_used());
        memory.begin_request();
        serve_request(req, &limits, &handler, &served, &memory, &large_bodies)
    });
    let head_limit = usize::try_from(limits.head.get()).unwrap_or(usize::MAX);
    let stream = CountedStream::new(TurnStream::new(stream, None), memory.clone());
    let mut connection = http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.head_timeout.duration())
        .max_header_size(head_limit)
        // All requests in the buffer are answered in one turn.
        .max_buf_size(head_limit)
        .serve_connection(MonoioIo::new(stream), service);
    let serving = async {
        let result = match select(&mut connection, stop).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(_) => None,
        };
        match result {
            Some(result) => result,
            None => {
                let timeout =
                    if used.get().is_none() { FIRST_HEAD_TIMEOUT } else { Duration::ZERO };
                match monoio::time::timeout(timeout, &mut connection).await {
                    Ok(result) => result,
                    Err(_) => {
                        Pin::new(&mut connection).graceful_shutdown();
                        (&mut connection).await
                    }
                }
            }
        }
    };
    let serving = AssertUnwindSafe(serving).catch_unwind();
    let result = match select(pin!(serving), memory.evicted()).await {
        Either::Left((result, _)) => result,
        // A request whose body is read is refused; nothing else is due to the client.
        Either::Right((_, serving)) if memory.phase() == Phase::Body => {
            let Ok(result) = monoio::time::timeout(REFUSAL_TIMEOUT, serving).await else { return };
            result
        }
        // The body was complete at that moment.
        Either::Right((_, serving)) if memory.phase() == Phase::Work => serving.await,
        Either::Right(_) => return,
    };
    let Ok(Err(error)) = result else { return };
    if error.is_timeout() {
        let stream = connection.into_parts().io.inner().into_inner().into_inner();
        let detail = format!("the head took longer than {} ms", limits.head_timeout);
        let problem = Problem::not_run(408, "head-timeout", detail);
        if let Ok(stream) = monoio::io::IntoCompIo::into_comp_io(stream) {
            send_and_close(stream, &problem).await;
        }
    }
}

/// Writes a problem document as the only response on a connection and closes it.
pub(super) async fn send_and_close(mut stream: TcpStream, problem: &Problem) {
    let body = serde_json::to_vec(problem).unwrap_or_default();
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::BAD_REQUEST);
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/problem+json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        body.len()
    );
    let mut message = head.into_bytes();
    message.extend_from_slice(&body);
    // Write errors are ignored: the client may have closed the connection already.
    let _ = stream.write_all(message).await;
    let _ = stream.shutdown().await;
}

async fn serve_request(
    req: http::Request<Incoming>,
    limits: &ServerLimits,
    handler: &Handler,
    served: &Cell<u32>,
    memory: &Rc<ConnectionMemory>,
    large_bodies: &ConnectionCount,
) -> Result<http::Response<ResponseBody>, Infallible> {
    served.set(served.get() + 1);
    let last = served.get() >= limits.requests_per_connection.get();
    let (head, body) = req.into_parts();
    let body = read_body(&head, body, limits, memory, large_bodies).await;
    memory.begin_work();
    let response = match body {
        Ok(body) => handle(handler, Request { head, body }).await,
        Err(problem) => Response::problem(&problem).closing(),
    };
    let response = count_answer(response, memory.account());
    let response = if last { response.closing() } else { response };
    memory.begin_answer(response.body.size());
    Ok(into_hyper(response, memory.clone()))
}

/// Counts the memory of a complete answer until it is sent.
fn count_answer(response: Response, account: &MemoryAccount) -> Response {
    let Response { status, headers, body: ResponseContent::Full(bytes) } = response else {
        return response;
    };
    let mut share = account.share(MemoryKind::Answer);
    let size = bytes.len();
    if size <= MAX_UNCOUNTED_BYTES {
        return Response { status, headers, body: ResponseContent::Full(bytes) };
    }
    if !share.resize(ByteCount::new(size as u64)) {
        let detail = format!("no memory is left for an answer of {size} bytes");
        return Response::problem(&Problem::unknown(500, "no-memory", detail)).closing();
    }
    Response { status, headers, body: ResponseContent::Counted(CountedBytes::wrap(bytes, share)) }
}

/// Calls the handler. A panic in it fails only this request.
async fn handle(handler: &Handler, req: Request) -> Response {
    let response = AssertUnwindSafe(async { handler(req).await }).catch_unwind().await;
    response.unwrap_or_else(|_| {
        let detail = "the request ended in an internal error; it may have run";
        Response::problem(&Problem::unknown(500, "internal-error", detail)).closing()
    })
}

fn into_hyper(response: Response, memory: Rc<ConnectionMemory>) -> http::Response<ResponseBody> {
    let mut out = http::Response::new(ResponseBody::new(response.body, memory));
    *out.status_mut() = response.status;
    *out.headers_mut() = response.headers;
    if !out.body().has_size() {
        out.headers_mut().remove(http::header::CONTENT_LENGTH);
    }
    out
}
