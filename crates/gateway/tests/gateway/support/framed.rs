//! Answers whose framing and end a test chooses.

use std::time::Duration;

use tokio::net::TcpStream;

use super::endpoint::{chunk, reset, send};

/// How an answer delimits its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By the close of the connection alone.
    Close,
    /// By a length, which may exceed the body.
    Length(usize),
    /// By chunks; without the last one unless `is_terminated`.
    Chunks { is_terminated: bool },
    /// By a length and by chunks, which is invalid.
    LengthAndChunks,
    /// By two lengths that differ, which is invalid.
    TwoLengths,
}

/// What becomes of the connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    Close,
    Reset,
    /// It stays open, without further bytes.
    Stay,
}

/// A 200 answer with a body, framing and end of its own.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct FramedAnswer {
    pub(crate) framing: Framing,
    pub(crate) body: Vec<u8>,
    pub(crate) end: ConnectionEnd,
}

impl FramedAnswer {
    /// An answer that ends with its connection.
    pub(crate) fn closed(framing: Framing, body: &[u8]) -> Self {
        Self {
            framing,
            body: body.to_vec(),
            end: ConnectionEnd::Close,
        }
    }

    /// An answer whose connection is reset after the body.
    pub(crate) fn reset(framing: Framing, body: &[u8]) -> Self {
        Self {
            end: ConnectionEnd::Reset,
            ..Self::closed(framing, body)
        }
    }

    /// An answer after which the connection stays open.
    pub(crate) fn stalled(framing: Framing, body: &[u8]) -> Self {
        Self {
            end: ConnectionEnd::Stay,
            ..Self::closed(framing, body)
        }
    }

    fn bytes(&self, id: &str, report: &str) -> Vec<u8> {
        let body = &self.body;
        let (framing, body) = match self.framing {
            Framing::Close => (String::new(), body.clone()),
            Framing::Length(length) => (format!("content-length: {length}\r\n"), body.clone()),
            Framing::Chunks { is_terminated } => {
                let last: &[u8] = if is_terminated { b"0\r\n\r\n" } else { b"" };
                let chunks = [&chunk(body), last].concat();
                ("transfer-encoding: chunked\r\n".to_owned(), chunks)
            }
            Framing::LengthAndChunks => {
                let framing = "content-length: 3\r\ntransfer-encoding: chunked\r\n";
                (
                    framing.to_owned(),
                    [&chunk(body)[..], b"0\r\n\r\n"].concat(),
                )
            }
            Framing::TwoLengths => {
                let framing = format!("content-length: 3\r\ncontent-length: {}\r\n", body.len());
                (framing, body.clone())
            }
        };
        let head = format!("HTTP/1.1 200 OK\r\nid: {id}\r\nsignature: s\r\n{report}{framing}\r\n");
        [head.into_bytes(), body].concat()
    }

    /// Sends the answer and ends the connection.
    pub(super) async fn send(&self, stream: &mut TcpStream, id: &str, report: &str) {
        /// Time for the bytes to be read before a reset discards them.
        const RESET_DELAY: Duration = Duration::from_millis(30);
        send(stream, &self.bytes(id, report)).await;
        match self.end {
            ConnectionEnd::Close => {}
            ConnectionEnd::Reset => {
                tokio::time::sleep(RESET_DELAY).await;
                reset(stream);
            }
            ConnectionEnd::Stay => std::future::pending().await,
        }
    }
}
