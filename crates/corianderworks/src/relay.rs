//! Relay of requests between daemons.
//!
//! One bidirectional stream carries one request and its response. Both bodies end with an
//! explicit [`RelayFrame::End`]; a stream that ends without it is a truncated body.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use corianderworks_decision::ids::DaemonRun;
use corianderworks_wire::codec::BODY_FRAME_MAX_BYTES;
use corianderworks_wire::message::{Ask, RelayAnswer, RelayFrame, RelayPurpose};
use http::{Response, StatusCode};
use http_body::{Body as HttpBody, Frame};
use http_body_util::{BodyExt, StreamBody};
use quinn::{RecvStream, SendStream, VarInt};

use crate::body::{self, Body, BodyError};
use crate::headers;
use crate::job::{Job, JobHead, Reply};
use crate::peer::{Channel, PeerError, Peers, recv_message, send_message};
use crate::reasons::{Reason, RefusalOutcome};
use crate::refusal::Refusal;

/// Code with which a stream is reset when its other end is no longer wanted.
const CANCELLED: VarInt = VarInt::from_u32(1);
/// Time that a home may stay silent past the deadline before its connection is retired.
const ANSWER_GRACE: Duration = Duration::from_millis(200);

/// Reply to a relayed job, with the home's load for the service.
pub struct Relayed {
    /// The reply.
    pub reply: Reply,
    /// Free slots of the home.
    pub free_slots: u16,
    /// Requests that wait at the home.
    pub queued: u16,
}

/// How a relay failed.
pub enum RelayError {
    /// Nothing reached the home; the job may go elsewhere.
    NotSent(Box<Job>, PeerError),
    /// The home may have acted on the request.
    Sent(PeerError),
}

/// Relays a job to another daemon and returns its response.
pub async fn relay(
    peers: &Peers,
    to: SocketAddr,
    job: Job,
    request_id: u64,
    entry: DaemonRun,
    purpose: RelayPurpose,
    now: Duration,
) -> Result<Relayed, RelayError> {
    let mut channel = match peers.open(to).await {
        Ok(channel) => channel,
        Err(error) => return Err(RelayError::NotSent(Box::new(job), error)),
    };
    let left = job.head.time_left(now);
    let head = job.head.to_relay(request_id, entry, purpose, now);
    if let Err(error) = channel.send(&Ask::Relay(head)).await {
        return Err(RelayError::Sent(error));
    }
    let Channel { mut send, mut recv } = channel;
    let upload = UploadGuard(tokio::spawn(async move {
        let _ = send_body(&mut send, job.body).await;
    }));
    let answer = tokio::time::timeout(left + ANSWER_GRACE, recv_message(&mut recv)).await;
    match answer {
        Err(_) => {
            let _ = recv.stop(CANCELLED);
            peers.retire(to);
            Err(RelayError::Sent(PeerError::Timeout))
        }
        Ok(Err(error)) => Err(RelayError::Sent(error)),
        Ok(Ok(RelayFrame::Answer(answer))) if answer.request_id == request_id => {
            let (free_slots, queued) = (answer.free_slots, answer.queued);
            Ok(Relayed {
                reply: read_answer(answer, recv, upload),
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

/// Stops sending the request's body when the response is no longer wanted.
struct UploadGuard(tokio::task::JoinHandle<()>);

impl Drop for UploadGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Resets the stream of a response that is dropped before its end.
struct RecvGuard {
    recv: RecvStream,
    _upload: Option<UploadGuard>,
}

impl Drop for RecvGuard {
    fn drop(&mut self) {
        let _ = self.recv.stop(CANCELLED);
    }
}

fn read_answer(answer: RelayAnswer, recv: RecvStream, upload: UploadGuard) -> Reply {
    let fields = headers::from_fields(answer.headers);
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Some(refusal) = read_refusal(&fields) {
        return Err(refusal);
    }
    let guard = RecvGuard {
        recv,
        _upload: Some(upload),
    };
    let mut response = Response::new(recv_body(guard));
    *response.status_mut() = status;
    *response.headers_mut() = fields;
    Ok(response)
}

/// Reads a refusal by the home; [`headers::prepare_response`] removes these fields from the
/// responses of backend servers, so they can only come from a daemon.
fn read_refusal(fields: &http::HeaderMap) -> Option<Refusal> {
    let outcome = match fields.get(headers::OUTCOME)?.as_bytes() {
        b"not-run" => RefusalOutcome::NotRun,
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

fn recv_body(guard: RecvGuard) -> Body {
    let frames = futures_util::stream::unfold(Some(guard), |state| async move {
        let mut guard = state?;
        match recv_message::<RelayFrame>(&mut guard.recv).await {
            Ok(RelayFrame::Body(data)) => Some((Ok(Frame::data(data)), Some(guard))),
            Ok(RelayFrame::Trailers(fields)) => Some((
                Ok(Frame::trailers(headers::from_fields(fields))),
                Some(guard),
            )),
            Ok(RelayFrame::End) => None,
            Ok(RelayFrame::Abort(why)) => Some((Err(BodyError::Truncated(why)), None)),
            Ok(RelayFrame::Answer(_)) => {
                Some((Err(BodyError::Truncated("unexpected frame".into())), None))
            }
            Err(error) => Some((Err(BodyError::Truncated(error.to_string())), None)),
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

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

/// Reads the body of a relayed request and builds the job.
pub fn read_job(head: JobHead, recv: RecvStream) -> Job {
    Job {
        head,
        body: recv_body(RecvGuard {
            recv,
            _upload: None,
        }),
    }
}

/// Sends the reply to a relayed request.
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
    send_body(send, body).await
}

/// Waits until the other end gives up on the response.
pub fn cancelled(send: &SendStream) -> impl Future<Output = ()> + Send + 'static {
    let stopped = send.stopped();
    async move {
        let _ = stopped.await;
    }
}
