//! A link between hosts that holds every call but the first of a connection.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A proxy for the calls between two hosts.
pub(crate) struct HeldCalls {
    pub(crate) address: SocketAddr,
    is_open: watch::Sender<bool>,
    held: watch::Receiver<usize>,
}

impl HeldCalls {
    /// Starts a proxy in front of a host's address for peers.
    pub(crate) async fn start(host: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let (is_open, open) = watch::channel(false);
        let (count, held) = watch::channel(0);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let Ok(server) = TcpStream::connect(host).await else {
                    continue;
                };
                let (from_client, mut to_client) = client.into_split();
                let (mut from_server, to_server) = server.into_split();
                tokio::spawn(pass_on_calls(
                    from_client,
                    to_server,
                    open.clone(),
                    count.clone(),
                ));
                tokio::spawn(async move {
                    let _ends_with_either = tokio::io::copy(&mut from_server, &mut to_client).await;
                });
            }
        });
        Self {
            address,
            is_open,
            held,
        }
    }

    /// Waits until a call is held.
    pub(crate) async fn wait_until_held(&mut self) {
        let held = self.held.wait_for(|held| *held > 0).await;
        held.expect("a running proxy");
    }

    /// Passes on all calls from now on.
    pub(crate) fn open(&self) {
        self.is_open.send_replace(true);
    }
}

async fn pass_on_calls(
    mut client: OwnedReadHalf,
    mut server: OwnedWriteHalf,
    mut is_open: watch::Receiver<bool>,
    held: watch::Sender<usize>,
) -> std::io::Result<()> {
    let mut is_first = true;
    loop {
        let length = client.read_u32().await?;
        let mut call = vec![0; length as usize];
        client.read_exact(&mut call).await?;
        if !is_first && !*is_open.borrow() {
            held.send_modify(|held| *held += 1);
            let _ends_with_the_test = is_open.wait_for(|is_open| *is_open).await;
        }
        is_first = false;
        server.write_u32(length).await?;
        server.write_all(&call).await?;
    }
}
