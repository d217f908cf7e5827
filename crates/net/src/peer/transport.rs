//! A TCP connection as a Cap'n Proto RPC transport; see <https://capnproto.org/rpc.html>.

use std::io;

use super::counted_stream::CountedStream;
use super::limits::{
    KEEPALIVE_INTERVAL, NESTING_LIMIT, STREAM_BUFFER_BYTES, TRAVERSAL_LIMIT_WORDS,
};
use crate::turns::TurnStream;
use capnp::message::ReaderOptions;
use capnp_rpc::VatNetwork;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty;
use futures_util::AsyncReadExt;
use futures_util::io::BufWriter;
use monoio::net::TcpStream;
use monoio_compat::TcpStreamCompat;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Number of unanswered TCP keepalive probes after which the operating system closes a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Creates a transport. The buffered writer sends a small message in a single TCP segment.
pub(crate) fn transport(stream: TcpStream, side: Side) -> io::Result<Box<dyn VatNetwork<Side>>> {
    stream.set_nodelay(true)?;
    stream.set_tcp_keepalive(
        Some(KEEPALIVE_INTERVAL),
        Some(KEEPALIVE_INTERVAL),
        Some(KEEPALIVE_PROBES),
    )?;
    let stream =
        TcpStreamCompat::new_with_buffer_size(stream, STREAM_BUFFER_BYTES, STREAM_BUFFER_BYTES);
    let (reader, writer) = CountedStream(TurnStream::new(stream, None).compat()).split();
    let writer = BufWriter::with_capacity(STREAM_BUFFER_BYTES, writer);
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(TRAVERSAL_LIMIT_WORDS)).nesting_limit(NESTING_LIMIT);
    Ok(Box::new(twoparty::VatNetwork::new(reader, writer, side, options)))
}
