//! The HTTP headers that the tests use.

use std::sync::Arc;

use bytes::Bytes;
use chalkrock_core::RequestId;
use chalkrock_gateway::{
    AnswerHead, CallHead, Edge, EndpointLoad, PrefixPart, Refusal, RequestedBackoff, SendHead,
};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Response, StatusCode, http};

/// An edge with plain headers: `id`, `key`, `deadline`, `parts`, `after`, `resumes` and `endpoint`
/// in requests, `leaving`, `back-off-ms` and `slowness-permille` in answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TestEdge;

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    headers.insert(name, HeaderValue::from_str(value).expect("a header"));
}

/// Reads a part as `HASH` or `HASH:TOKENS`.
fn read_part(text: &str) -> Option<PrefixPart> {
    let (hash, tokens) = text.split_once(':').unwrap_or((text, "100"));
    Some(PrefixPart {
        hash: hash.parse().ok()?,
        tokens: tokens.parse().ok()?,
    })
}

impl Edge for TestEdge {
    fn read_call(&self, head: &http::request::Parts) -> Result<CallHead, Refusal> {
        let headers = &head.headers;
        let host = header_text(headers, "host").unwrap_or_default();
        let parts = header_text(headers, "parts").unwrap_or_default().split(',');
        Ok(CallHead {
            id: header_text(headers, "id").map(RequestId::from),
            host: host.split(':').next().unwrap_or_default().into(),
            key: header_text(headers, "key").map(Arc::from),
            deadline_ms: header_text(headers, "deadline").and_then(|ms| ms.parse().ok()),
            prefix: parts.filter_map(read_part).collect(),
            resume_after: header_text(headers, "after").and_then(|id| id.parse().ok()),
            resumes: header_text(headers, "resumes").map(RequestId::from),
        })
    }

    fn endpoint_headers(&self, caller: &HeaderMap, send: &SendHead<'_>) -> HeaderMap {
        let mut headers = caller.clone();
        headers.remove("key");
        headers.remove("after");
        set_header(&mut headers, "endpoint", send.endpoint.as_str());
        set_header(&mut headers, "deadline", &send.deadline_ms.to_string());
        set_header(&mut headers, "priority", &send.priority.to_string());
        if let Some(organisation) = send.organisation {
            set_header(&mut headers, "organisation", organisation.as_str());
        }
        if let Some(after) = send.resume_after {
            set_header(&mut headers, "after", &after.to_string());
        }
        if let Some(holder) = send.holder {
            set_header(&mut headers, "holder", &holder.to_string());
        }
        headers
    }

    fn read_answer(&self, head: &http::response::Parts) -> AnswerHead {
        AnswerHead {
            id: header_text(&head.headers, "id").map(RequestId::from),
            is_signed: head.headers.contains_key("signature"),
            says_not_run: head.headers.contains_key("not-run"),
            is_other_endpoint: head.status == StatusCode::MISDIRECTED_REQUEST,
            endpoint: header_text(&head.headers, "endpoint").map(Into::into),
            keep_alive_s: None,
            closes: head.headers.contains_key("connection"),
            is_leaving: head.headers.contains_key("leaving"),
            backoff: match header_text(&head.headers, "back-off-ms").map(str::parse) {
                None => RequestedBackoff::None,
                Some(Ok(backoff_ms)) => RequestedBackoff::ForMs(backoff_ms),
                Some(Err(_)) => RequestedBackoff::Unreadable("text".to_owned()),
            },
            max_rejections_per_s: header_text(&head.headers, "brittle")
                .and_then(|limit| limit.parse().ok()),
            load: header_text(&head.headers, "slowness-permille").map(|permille| EndpointLoad {
                running: 1,
                waiting: 0,
                slots: 1,
                slowness_permille: permille.parse().ok(),
            }),
        }
    }

    fn caller_headers(&self, endpoint: &HeaderMap) -> HeaderMap {
        endpoint.clone()
    }

    fn refusal(&self, id: Option<&RequestId>, refusal: &Refusal) -> Response<Bytes> {
        let mut response = Response::new(Bytes::from(refusal.reason.code()));
        *response.status_mut() = StatusCode::from_u16(refusal.reason.status()).expect("a status");
        if let Some(id) = id {
            set_header(response.headers_mut(), "id", id.as_str());
        }
        if let Some(after_ms) = refusal.retry_after_ms {
            set_header(response.headers_mut(), "come-back", &after_ms.to_string());
        }
        response
    }

    fn ready_path(&self) -> &str {
        "/ready"
    }
}
