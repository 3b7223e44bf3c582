//! Relaying of requests between daemons.
//!
//! One bidirectional QUIC stream carries one request and its response. Each body ends with an
//! explicit [`RelayFrame::End`]; a body whose stream ends without it is truncated.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::ids::DaemonRun;
use corianderworks_wire::codec::BODY_FRAME_MAX_BYTES;
use corianderworks_wire::message::{PeerRequest, RelayAnswer, RelayFrame, RelayPurpose};
use http::header::CONTENT_LENGTH;
use http::{Method, Response, StatusCode};
use http_body::{Body as HttpBody, Frame};
use http_body_util::{BodyExt, StreamBody};
use quinn::{RecvStream, SendStream, VarInt};

use crate::body::{self, Body, BodyError};
use crate::headers;
use crate::job::{Job, JobHead, Reply};
use crate::peer::{Channel, PeerError, Peers, received_packets, recv_message, send_message};
use crate::reasons::{Reason, RefusalOutcome};
use crate::refusal::Refusal;

/// QUIC error code sent when a stream is stopped because its data is no longer needed.
const CANCELLED: VarInt = VarInt::from_u32(1);
/// Time past the deadline after which the wait for an answer ends, and the connection is retired if
/// nothing arrived on it.
const ANSWER_GRACE: Duration = Duration::from_millis(200);

/// Reply to a relayed job, with the load of the answering daemon for the service.
pub struct RelayedReply {
    /// Response of the backend server, or refusal by the other daemon.
    pub reply: Reply,
    /// Free slots of the service at the other daemon.
    pub free_slots: u16,
    /// Queued requests of the service at the other daemon.
    pub queued: u16,
}

/// Why a job could not be relayed.
pub enum RelayError {
    /// Nothing was sent, so the job may be sent to another daemon.
    NotSent(Box<Job>, PeerError),
    /// Some of the request may have been sent, so it may have run.
    Sent(PeerError),
}

/// Relays a job to another daemon and waits for the head of the response.
///
/// `entry` is this daemon, and `request_id` must be unique in its run.
pub async fn relay(
    peers: &Peers,
    to: SocketAddr,
    job: Job,
    request_id: u64,
    entry: DaemonRun,
    purpose: RelayPurpose,
    now: Duration,
) -> Result<RelayedReply, RelayError> {
    let mut channel = match peers.open_channel(to).await {
        Ok(channel) => channel,
        Err(error) => return Err(RelayError::NotSent(Box::new(job), error)),
    };
    let remaining = job.head.time_left(now);
    let method = job.head.method.clone();
    let head = job.to_relay(request_id, entry, purpose, now);
    match channel.send(&PeerRequest::Relay(head)).await {
        Ok(()) => {}
        // The head could not be encoded, so nothing was sent.
        Err(error @ PeerError::Codec(_)) => {
            return Err(RelayError::NotSent(Box::new(job), error));
        }
        Err(error) => return Err(RelayError::Sent(error)),
    }
    let Channel {
        connection,
        mut send,
        mut recv,
    } = channel;
    let received_before = received_packets(&connection);
    let upload = UploadGuard(tokio::spawn(async move {
        let _ = send_body(&mut send, job.body).await;
    }));
    let answer = tokio::time::timeout(remaining + ANSWER_GRACE, recv_message(&mut recv)).await;
    match answer {
        Err(_) => {
            let _ = recv.stop(CANCELLED);
            peers.discard_if_silent(&connection, received_before);
            Err(RelayError::Sent(PeerError::Timeout))
        }
        Ok(Err(error)) => Err(RelayError::Sent(error)),
        Ok(Ok(RelayFrame::Answer(answer))) if answer.request_id == request_id => {
            let (free_slots, queued) = (answer.free_slots, answer.queued);
            let bodiless = is_bodiless(&method, &answer);
            let reply = read_answer(answer, recv, upload, bodiless).await;
            Ok(RelayedReply {
                reply: reply.map_err(RelayError::Sent)?,
                free_slots,
                queued,
            })
        }
        Ok(Ok(_)) => {
            let _ = recv.stop(CANCELLED);
            Err(RelayError::Sent(PeerError::Ended))
        }
    }
}

/// Stops sending the request body when dropped, that is when the response is no longer needed.
struct UploadGuard(tokio::task::JoinHandle<()>);

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Receiving side of a body, which tells the sender to stop when dropped before the end.
struct RecvGuard {
    recv: RecvStream,
    _upload: Option<UploadGuard>,
}

impl Drop for RecvGuard {
    fn drop(&mut self) {
        let _ = self.recv.stop(CANCELLED);
    }
}

/// Builds the reply from the head of the answer and the stream of its body.
async fn read_answer(
    answer: RelayAnswer,
    mut recv: RecvStream,
    upload: UploadGuard,
    bodiless: bool,
) -> Result<Reply, PeerError> {
    let fields = headers::from_fields(answer.headers);
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(refusal) = read_refusal(&fields) {
        return Ok(Err(refusal));
    }
    let length = content_length(&fields);
    if bodiless || length == Some(0) {
        // hyper does not poll such a body, so its end is read here.
        let end = next_frame(&mut recv).await;
        if !matches!(end, Ok(None)) {
            return Err(PeerError::Ended);
        }
        let mut response = Response::new(body::empty());
        *response.status_mut() = status;
        *response.headers_mut() = fields;
        return Ok(Ok(response));
    }
    let guard = RecvGuard {
        recv,
        _upload: Some(upload),
    };
    let mut response = Response::new(recv_body(guard, length));
    *response.status_mut() = status;
    *response.headers_mut() = fields;
    Ok(Ok(response))
}

/// Parses a refusal by the other daemon, `None` when the answer is a response.
///
/// [`headers::prepare_response`] removes these fields from responses of backend servers, so only a
/// daemon can have set them.
fn read_refusal(fields: &http::HeaderMap) -> Option<Refusal> {
    let outcome = match fields.get(headers::OUTCOME)?.as_bytes() {
        b"not-run" => RefusalOutcome::NotRun,
        // The answer to a repeated request is not a refusal. It has the status of the first one.
        outcome if outcome == headers::DONE.as_bytes() => return None,
        _ => RefusalOutcome::Unknown,
    };
    let code = fields
        .get(headers::REASON)
        .and_then(|value| value.to_str().ok());
    let reason = code
        .and_then(Reason::from_name)
        .unwrap_or(Reason::RelayLost);
    Some(Refusal {
        outcome,
        ..Refusal::not_run(reason)
    })
}

/// Relayed body that reports its end with its last frame.
///
/// hyper drops a body at its `content-length` without polling for the end, which would look as if
/// the caller had disconnected.
struct RecvBody {
    frames: Body,
    ended: Arc<AtomicBool>,
}

impl HttpBody for RecvBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.frames).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// Receives a body. If its length is known, the last frame is forwarded only after
/// [`RelayFrame::End`] arrived.
fn recv_body(guard: RecvGuard, remaining_bytes: Option<u64>) -> Body {
    let ended = Arc::<AtomicBool>::default();
    let body_ended = ended.clone();
    let start = Some((guard, remaining_bytes));
    let frames = futures_util::stream::unfold(start, move |state| {
        let body_ended = body_ended.clone();
        async move {
            let (mut guard, remaining_bytes) = state?;
            let frame = match next_frame(&mut guard.recv).await {
                Ok(frame) => frame?,
                Err(error) => return Some((Err(error), None)),
            };
            let length = frame.data_ref().map_or(0, |data| data.len() as u64);
            let remaining_bytes = remaining_bytes.map(|remaining| remaining.saturating_sub(length));
            let is_complete = match (frame.is_trailers(), remaining_bytes) {
                (true, _) => true,
                (false, Some(0)) => match next_frame(&mut guard.recv).await {
                    Ok(None) => true,
                    Ok(Some(_)) => return Some((Err(unexpected_frame()), None)),
                    Err(error) => return Some((Err(error), None)),
                },
                _ => return Some((Ok(frame), Some((guard, remaining_bytes)))),
            };
            body_ended.store(is_complete, Ordering::Relaxed);
            Some((Ok(frame), None))
        }
    });
    let frames = StreamBody::new(frames).boxed_unsync();
    RecvBody { frames, ended }.boxed_unsync()
}

fn unexpected_frame() -> BodyError {
    BodyError::Truncated("unexpected frame".to_owned())
}

/// True for a response that has no body regardless of its header fields (RFC 9112, section 6.3).
fn is_bodiless(method: &Method, answer: &RelayAnswer) -> bool {
    method == Method::HEAD || matches!(answer.status, 204 | 304)
}

/// Length of a body in bytes according to `content-length`.
fn content_length(fields: &http::HeaderMap) -> Option<u64> {
    fields.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads the next frame of a body, `None` at its end.
async fn next_frame(recv: &mut RecvStream) -> Result<Option<Frame<Bytes>>, BodyError> {
    let truncated = |error: PeerError| BodyError::Truncated(error.to_string());
    match recv_message::<RelayFrame>(recv).await.map_err(truncated)? {
        RelayFrame::Body(data) if data.len() <= BODY_FRAME_MAX_BYTES => Ok(Some(Frame::data(data))),
        RelayFrame::Trailers(fields) => {
            // hyper does not poll after trailers, so a missing end would not be noticed later.
            match recv_message(recv).await.map_err(truncated)? {
                RelayFrame::End => Ok(Some(Frame::trailers(headers::from_fields(fields)))),
                _ => Err(unexpected_frame()),
            }
        }
        RelayFrame::End => Ok(None),
        RelayFrame::Abort(cause) => Err(BodyError::Truncated(cause)),
        RelayFrame::Body(_) | RelayFrame::Answer(_) => Err(unexpected_frame()),
    }
}

/// Sends a body with its end, or [`RelayFrame::Abort`] if it fails.
async fn send_body(send: &mut SendStream, mut body: Body) -> Result<(), PeerError> {
    while let Some(frame) = body.frame().await {
        match frame {
            Err(error) => {
                send_message(send, &RelayFrame::Abort(error.to_string())).await?;
                let _ = send.finish();
                return Ok(());
            }
            Ok(frame) => send_frame(send, frame).await?,
        }
    }
    send_message(send, &RelayFrame::End).await?;
    let _ = send.finish();
    Ok(())
}

/// Sends a frame, splitting data at [`BODY_FRAME_MAX_BYTES`].
async fn send_frame(send: &mut SendStream, frame: Frame<Bytes>) -> Result<(), PeerError> {
    match frame.into_data() {
        Ok(mut data) => {
            while !data.is_empty() {
                let part = data.split_to(data.len().min(BODY_FRAME_MAX_BYTES));
                send_message(send, &RelayFrame::Body(part)).await?;
            }
            Ok(())
        }
        Err(frame) => match frame.into_trailers() {
            Ok(fields) => {
                send_message(send, &RelayFrame::Trailers(headers::to_fields(&fields))).await
            }
            Err(_) => Ok(()),
        },
    }
}

/// Builds the job of a relayed request, whose body is streamed from `recv`.
///
/// Without a body the job gets an empty one, so that it can be sent again.
pub fn read_job(head: JobHead, recv: RecvStream, has_body: bool) -> Job {
    if !has_body {
        let body = body::empty();
        return Job { head, body };
    }
    let length = content_length(&head.headers);
    let guard = RecvGuard {
        recv,
        _upload: None,
    };
    Job {
        head,
        body: recv_body(guard, length),
    }
}

/// Sends the reply to a relayed request, with the current load of the service at this daemon.
pub async fn send_reply(
    send: &mut SendStream,
    request_id: u64,
    reply: Reply,
    (free_slots, queued): (u16, u16),
) -> Result<(), PeerError> {
    let response = reply.unwrap_or_else(|refusal| refusal.response());
    let (parts, body) = response.into_parts();
    let answer = RelayAnswer {
        request_id,
        status: parts.status.as_u16(),
        headers: headers::to_fields(&parts.headers),
        free_slots,
        queued,
    };
    send_message(send, &RelayFrame::Answer(answer)).await?;
    if body.is_end_stream() {
        return send_body(send, body::empty()).await;
    }
    let cancelled = cancelled(send);
    tokio::select! {
        sent = send_body(send, body) => sent,
        // Otherwise a stalled body would occupy its slot at the upstream until it progresses.
        () = cancelled => Ok(()),
    }
}

/// Waits until the other daemon stops the response's stream, or the stream or its connection ends.
pub fn cancelled(send: &SendStream) -> impl Future<Output = ()> + Send + 'static {
    let stopped = send.stopped();
    async move {
        let _ = stopped.await;
    }
}
