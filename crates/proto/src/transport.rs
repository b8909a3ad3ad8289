//! How the services travel: bincode frames over counted TCP streams.

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

/// The largest frame that is read. A configuration of 1,800 organisations is
/// some 400 KB; a peer that sends more is cut off before it is buffered.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// How long a connection and its hello may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connection to an agent could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The address did not answer.
    #[error("agent {address} does not answer: {source}")]
    Io {
        /// The agent's address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection broke or timed out during the hello.
    #[error("agent {address} did not finish the hello")]
    NoHello {
        /// The agent's address.
        address: SocketAddr,
    },
    /// The agent refused this peer.
    #[error("agent {address} refused: {source}")]
    Refused {
        /// The agent's address.
        address: SocketAddr,
        /// Why.
        source: PeerError,
    },
}

/// A transport of one service's messages over a counted stream.
pub type CountedTransport<Item, SinkItem> =
    Transport<CountedStream<TcpStream>, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Frames a stream for a service.
pub fn transport<Item, SinkItem>(
    stream: TcpStream,
    count: Arc<ByteCounter>,
) -> CountedTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    let framed = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(CountedStream::new(stream, count));
    tarpc::serde_transport::new(framed, Bincode::default())
}

/// Connects to an agent and says hello.
///
/// # Errors
///
/// If the agent does not answer within two seconds, or refuses the hello.
pub async fn connect(
    address: SocketAddr,
    hello: Hello,
    count: Arc<ByteCounter>,
) -> Result<AgentApiClient, ConnectError> {
    let no_hello = ConnectError::NoHello { address };
    let opening = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|source| ConnectError::Io { address, source })?;
        stream
            .set_nodelay(true)
            .map_err(|source| ConnectError::Io { address, source })?;
        let client = AgentApiClient::new(Default::default(), transport(stream, count)).spawn();
        match client.hello(tarpc::context::current(), hello).await {
            Ok(Ok(())) => Ok(client),
            Ok(Err(source)) => Err(ConnectError::Refused { address, source }),
            Err(_) => Err(ConnectError::NoHello { address }),
        }
    };
    tokio::time::timeout(CONNECT_TIMEOUT, opening)
        .await
        .unwrap_or(Err(no_hello))
}
