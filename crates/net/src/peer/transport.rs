//! A TCP connection as a transport of Cap'n Proto RPC; <https://capnproto.org/rpc.html>.

use std::io;

use super::limits::{KEEPALIVE, NESTING_LIMIT, STREAM_BUFFER, TRAVERSAL_LIMIT_WORDS};
use super::traffic::Counted;
use capnp::message::ReaderOptions;
use capnp_rpc::VatNetwork;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty;
use futures_util::AsyncReadExt;
use futures_util::io::BufWriter;
use monoio::net::TcpStream;
use monoio_compat::TcpStreamCompat;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Probes of the operating system that go unanswered before it ends a connection.
const KEEPALIVE_RETRIES: u32 = 3;

/// Makes a transport; the buffered writer puts a message into one segment of TCP.
pub(crate) fn transport(stream: TcpStream, side: Side) -> io::Result<Box<dyn VatNetwork<Side>>> {
    stream.set_nodelay(true)?;
    stream.set_tcp_keepalive(Some(KEEPALIVE), Some(KEEPALIVE), Some(KEEPALIVE_RETRIES))?;
    let stream = TcpStreamCompat::new_with_buffer_size(stream, STREAM_BUFFER, STREAM_BUFFER);
    let (reader, writer) = Counted(stream.compat()).split();
    let writer = BufWriter::with_capacity(STREAM_BUFFER, writer);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(TRAVERSAL_LIMIT_WORDS)).nesting_limit(NESTING_LIMIT);
    Ok(Box::new(twoparty::VatNetwork::new(reader, writer, side, options)))
}
