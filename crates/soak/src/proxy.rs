//! A TCP proxy on a loopback address that disturbs its connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

/// What the proxy does with its connections. Held bytes are delivered once the mode allows it,
/// as after a repaired link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes on all bytes.
    #[default]
    Open,
    /// Passes on each chunk after this many milliseconds.
    Delayed(u64),
    /// Resets all connections, also new ones.
    Reset,
    /// Holds the bytes from the client to the server.
    CutToServer,
    /// Holds the bytes from the server to the client.
    CutToClient,
    /// Accepts connections and passes on nothing.
    Silent,
    /// Resets all connections and refuses new ones, as if the process had ended.
    Refused,
    /// Passes on nothing, and new connections get no answer, as behind a partition.
    Unresponsive,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl LinkMode {
    fn holds(self, direction: Direction) -> bool {
        match self {
            LinkMode::CutToServer => direction == Direction::ToServer,
            LinkMode::CutToClient => direction == Direction::ToClient,
            LinkMode::Silent | LinkMode::Unresponsive => true,
            LinkMode::Open | LinkMode::Delayed(_) | LinkMode::Reset | LinkMode::Refused => false,
        }
    }

    fn resets(self) -> bool {
        matches!(self, LinkMode::Reset | LinkMode::Refused)
    }
}

/// A proxy in front of one server.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: watch::Sender<LinkMode>,
}

impl Proxy {
    /// Starts a proxy that listens on `listen` and connects to `server`. It ends when dropped.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (mode, receiver) = watch::channel(LinkMode::Open);
        tokio::spawn(accept_all(
            address,
            Listener::Accepting(listener),
            server,
            receiver,
        ));
        Ok(Self { address, mode })
    }

    /// The address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode, also for open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }
}

/// The listening socket of a proxy, as its mode requires.
enum Listener {
    /// Connections are accepted.
    Accepting(TcpListener),
    /// New connections are refused.
    Closed,
    /// New connections get no answer, since the backlog is full.
    Full {
        _listener: TcpListener,
        _backlog: Vec<TcpStream>,
    },
}

impl Listener {
    /// Opens the socket that a mode requires.
    async fn open(address: SocketAddr, mode: LinkMode) -> io::Result<Self> {
        match mode {
            LinkMode::Refused => Ok(Self::Closed),
            LinkMode::Unresponsive => Self::with_full_backlog(address).await,
            _ => Ok(Self::Accepting(TcpListener::bind(address).await?)),
        }
    }

    /// Whether the socket is the one that a mode requires.
    fn serves(&self, mode: LinkMode) -> bool {
        match self {
            Self::Accepting(_) => !matches!(mode, LinkMode::Refused | LinkMode::Unresponsive),
            Self::Closed => mode == LinkMode::Refused,
            Self::Full { .. } => mode == LinkMode::Unresponsive,
        }
    }

    async fn with_full_backlog(address: SocketAddr) -> io::Result<Self> {
        const MAX_BACKLOG: usize = 16;
        const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(1)?;
        let mut backlog = Vec::new();
        while backlog.len() < MAX_BACKLOG {
            let connecting = TcpStream::connect(address);
            match tokio::time::timeout(ANSWER_TIMEOUT, connecting).await {
                Ok(connected) => backlog.push(connected?),
                Err(_unanswered) => break,
            }
        }
        Ok(Self::Full {
            _listener: listener,
            _backlog: backlog,
        })
    }

    async fn accept(&self) -> Option<TcpStream> {
        match self {
            Self::Accepting(listener) => listener.accept().await.ok().map(|(client, _)| client),
            Self::Closed | Self::Full { .. } => std::future::pending().await,
        }
    }
}

async fn accept_all(
    address: SocketAddr,
    mut listener: Listener,
    server: SocketAddr,
    mut mode: watch::Receiver<LinkMode>,
) {
    const REBIND_INTERVAL: Duration = Duration::from_millis(20);
    loop {
        let current = *mode.borrow_and_update();
        if !listener.serves(current) {
            // The address is free only once the socket before is closed.
            drop(std::mem::replace(&mut listener, Listener::Closed));
            match Listener::open(address, current).await {
                Ok(opened) => listener = opened,
                Err(_) => tokio::time::sleep(REBIND_INTERVAL).await,
            }
            continue;
        }
        tokio::select! {
            client = listener.accept() => if let Some(client) = client {
                tokio::spawn(serve(client, server, mode.clone()));
            },
            changed = mode.changed() => if changed.is_err() {
                return;
            },
        }
    }
}

/// Relays one connection until an end closes or the mode resets it.
async fn serve(mut client: TcpStream, server: SocketAddr, mode: watch::Receiver<LinkMode>) {
    let resets = || mode.borrow().resets();
    let upstream = TcpStream::connect(server).await;
    let is_open = upstream.is_ok() && !resets();
    let (Ok(mut upstream), true) = (upstream, is_open) else {
        let _may_be_closed = client.set_zero_linger();
        return;
    };
    // Without it, small messages wait for acknowledgments.
    let _best_effort = client.set_nodelay(true).and(upstream.set_nodelay(true));
    let ended = relay(&mut client, &mut upstream, mode).await;
    if ended.is_err() {
        let _may_be_closed = client.set_zero_linger();
        let _may_be_closed = upstream.set_zero_linger();
    }
}

/// Returns once the server has closed its direction; an error resets both connections.
async fn relay(
    client: &mut TcpStream,
    server: &mut TcpStream,
    mode: watch::Receiver<LinkMode>,
) -> io::Result<()> {
    let mut resets = mode.clone();
    let (client_reads, client_writes) = client.split();
    let (server_reads, server_writes) = server.split();
    let to_server = pass(
        client_reads,
        server_writes,
        mode.clone(),
        Direction::ToServer,
    );
    let to_client = pass(server_reads, client_writes, mode, Direction::ToClient);
    // A client that has closed its direction still gets its response.
    let to_server_fails = async {
        match to_server.await {
            Ok(()) => std::future::pending().await,
            Err(error) => error,
        }
    };
    tokio::select! {
        ended = to_client => ended,
        error = to_server_fails => Err(error),
        _reset = resets.wait_for(|mode| mode.resets()) => {
            Err(io::ErrorKind::ConnectionReset.into())
        }
    }
}

/// Copies one direction as the mode allows.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<LinkMode>,
    direction: Direction,
) -> io::Result<()> {
    const BUFFER_BYTES: usize = 16 * 1024;
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        let current = *mode.borrow();
        let delay = match current {
            LinkMode::Delayed(ms) => Duration::from_millis(ms),
            _ => Duration::ZERO,
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let is_released = mode.wait_for(|mode| !mode.holds(direction)).await.is_ok();
        if !is_released {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}
