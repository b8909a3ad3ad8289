//! The transport of the services: bincode frames over counted TCP streams.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

use crate::agent_api::{AgentApiClient, Hello, PeerError};
use crate::counted::{ByteCounter, CountedStream};

/// Larger frames are rejected before they are buffered, which bounds memory. A configuration
/// of 1,800 organisations takes about 400 KB.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Limit for connecting and the handshake together.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why connecting to an agent failed.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The TCP connection failed.
    #[error("failed to connect to agent {address}: {source}")]
    Io {
        /// The address of the agent.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// Connecting timed out, or the connection failed during the handshake.
    #[error("handshake with agent {address} timed out or was interrupted")]
    HandshakeFailed {
        /// The address of the agent.
        address: SocketAddr,
    },
    /// The agent rejected the handshake.
    #[error("agent {address} rejected the handshake: {source}")]
    Rejected {
        /// The address of the agent.
        address: SocketAddr,
        /// The reason.
        source: PeerError,
    },
}

/// The transport of a service's messages over a counted stream.
pub type CountedTransport<Item, SinkItem> =
    Transport<CountedStream<TcpStream>, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Creates the transport of a service on a TCP stream.
pub fn transport<Item, SinkItem>(
    stream: TcpStream,
    counter: Arc<ByteCounter>,
) -> CountedTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(CountedStream::new(stream, counter));
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// Connects to an agent and performs the handshake.
///
/// # Errors
///
/// Returns [`ConnectError`] if connecting fails or takes more than two seconds, or
/// the agent rejects the handshake.
pub async fn connect(
    address: SocketAddr,
    hello: Hello,
    counter: Arc<ByteCounter>,
) -> Result<AgentApiClient, ConnectError> {
    let timed_out = ConnectError::HandshakeFailed { address };
    let opening = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|source| ConnectError::Io { address, source })?;
        stream
            .set_nodelay(true)
            .map_err(|source| ConnectError::Io { address, source })?;
        let client = AgentApiClient::new(Default::default(), transport(stream, counter)).spawn();
        match client.hello(tarpc::context::current(), hello).await {
            Ok(Ok(())) => Ok(client),
            Ok(Err(source)) => Err(ConnectError::Rejected { address, source }),
            Err(_) => Err(ConnectError::HandshakeFailed { address }),
        }
    };
    tokio::time::timeout(CONNECT_TIMEOUT, opening)
        .await
        .unwrap_or(Err(timed_out))
}
