use bytes::Bytes;
use futures_util::FutureExt;
use http::Request;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio::time::{Instant, timeout_at};
use monoio_http::common::error::HttpError;
use monoio_http::common::response::Response;
use monoio_http::h1::BorrowFramedRead;
use monoio_http::h1::codec::ClientCodec;
use monoio_http::h1::codec::decoder::{ChunkedBodyDecoder, FixedBodyDecoder, PayloadDecoder};
use monoio_http::h1::payload::{FixedPayload, Payload};
use std::net::SocketAddr;

use super::ClientError;
use crate::http::final_status::{is_final_status, is_interim_status};

/// The `monoio-http` decoder for the body of a response: none, fixed length or chunked.
pub(super) type ResponseDecoder = PayloadDecoder<FixedBodyDecoder, ChunkedBodyDecoder>;

/// The interim responses that an endpoint may send before a final one.
const MAX_INTERIM_RESPONSES: usize = 8;

/// One open connection to an endpoint.
pub(super) struct Connection {
    pub(super) addr: SocketAddr,
    pub(super) codec: ClientCodec<TcpStream>,
    /// When the last response on this connection was complete, or when it was opened.
    pub(super) last_response: Instant,
}

impl Connection {
    /// Connects; fails with `ConnectTimeout` at `deadline`.
    pub(super) async fn open(addr: SocketAddr, deadline: Instant) -> Result<Self, ClientError> {
        let started = Instant::now();
        match timeout_at(deadline, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => {
                // Requests are written in one go, so Nagle's algorithm would only delay them.
                let _ = stream.set_nodelay(true);
                Ok(Self { addr, codec: ClientCodec::new(stream), last_response: Instant::now() })
            }
            Ok(Err(source)) => Err(ClientError::Connect { addr, source }),
            Err(_) => {
                let waited = started.elapsed().as_millis() as u64;
                Err(ClientError::ConnectTimeout(addr, waited.into()))
            }
        }
    }

    /// Returns whether nothing came after the last response and the endpoint has not closed the connection.
    pub(super) fn is_idle(&mut self) -> bool {
        self.codec.framed_mut().peek_data().now_or_never().is_none()
    }

    /// Sends a request and reads the response head; fails with `Timeout` at `deadline`.
    pub(super) async fn exchange(
        &mut self,
        req: Request<Bytes>,
        deadline: Instant,
    ) -> Result<Response<ResponseDecoder>, ClientError> {
        let started = Instant::now();
        let req = req.map(|body| {
            if body.is_empty() {
                Payload::<Bytes, HttpError>::None
            } else {
                Payload::Fixed(FixedPayload::new(body))
            }
        });
        let exchange = async {
            self.codec.send_and_flush(req).await.map_err(|e| e.to_string())?;
            for _ in 0..=MAX_INTERIM_RESPONSES {
                let response = match self.codec.next().await {
                    Some(Ok(response)) => response,
                    Some(Err(e)) => return Err(e.to_string()),
                    None => return Err("closed before the response".to_owned()),
                };
                match response.status() {
                    status if is_final_status(status) => return Ok(response),
                    // The final response follows on the connection.
                    status if is_interim_status(status) => {}
                    status => return Err(format!("status {} is not final", status.as_u16())),
                }
            }
            Err(format!("more than {MAX_INTERIM_RESPONSES} interim responses"))
        };
        match timeout_at(deadline, exchange).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(message)) => Err(ClientError::Broken(self.addr, message.into())),
            Err(_) => {
                let waited = started.elapsed().as_millis() as u64;
                Err(ClientError::Timeout(self.addr, waited.into()))
            }
        }
    }
}
