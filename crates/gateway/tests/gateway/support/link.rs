//! A slow link to a host.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 2 * 1024;

/// Passes connections on to a host, and what it answers at a bounded rate each.
pub(crate) struct SlowLink {
    address: SocketAddr,
}

impl SlowLink {
    /// A link to a host that carries so many bytes of each connection a second.
    pub(crate) async fn to(host: SocketAddr, bytes_per_s: u64) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(pass_on(caller, host, bytes_per_s));
            }
        });
        Self { address }
    }

    /// Where it takes connections.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn pass_on(caller: TcpStream, host: SocketAddr, bytes_per_s: u64) {
    let Ok(host) = TcpStream::connect(host).await else {
        return;
    };
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (mut from_host, mut to_host) = host.into_split();
    let requests = tokio::io::copy(&mut from_caller, &mut to_host);
    let answers = async {
        let mut piece = vec![0; PIECE_BYTES];
        while let Ok(length @ 1..) = from_host.read(&mut piece).await {
            let takes = Duration::from_micros(length as u64 * 1_000_000 / bytes_per_s);
            tokio::time::sleep(takes).await;
            if to_caller.write_all(&piece[..length]).await.is_err() {
                return;
            }
        }
    };
    // Either end that closes ends both, so that a caller which left is seen.
    tokio::select! {
        _ = requests => {}
        () = answers => {}
    }
}
