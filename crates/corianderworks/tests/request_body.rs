//! Limits on the bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use corianderworks::body::{BodyError, LimitedBody};
use futures_util::stream;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tokio::sync::mpsc;

const MAX_PAUSE: Duration = Duration::from_millis(200);
/// Longer than [`MAX_PAUSE`].
const PROCESS_PAUSE: Duration = Duration::from_millis(400);
/// Time from the end of a pause of the process until received data reaches the body.
const DELIVERY_TIME: Duration = Duration::from_millis(5);

/// Body whose frames come from a channel, like one that hyper receives.
fn limited_body() -> (mpsc::Sender<Bytes>, LimitedBody) {
    let (sender, receiver) = mpsc::channel(1);
    let frames = stream::unfold(receiver, async |mut receiver: mpsc::Receiver<Bytes>| {
        let data = receiver.recv().await?;
        Some((Ok::<_, BodyError>(Frame::data(data)), receiver))
    });
    let body = StreamBody::new(frames).boxed_unsync();
    (sender, LimitedBody::new(body, 1_000, MAX_PAUSE))
}

async fn next_data(body: &mut LimitedBody) -> Option<Result<Bytes, BodyError>> {
    let frame = body.frame().await?;
    Some(frame.map(|frame| frame.into_data().expect("data")))
}

/// Guards against uploads that are cut off because the daemon itself did not run for a while.
#[tokio::test]
async fn pause_of_the_process_is_not_a_pause_of_the_caller() {
    let (sender, mut body) = limited_body();
    let paused = tokio::spawn(async move {
        // Blocks the only thread of the runtime, as when the process is stopped.
        std::thread::sleep(PROCESS_PAUSE);
        tokio::time::sleep(DELIVERY_TIME).await;
        sender.send(Bytes::from_static(b"x")).await
    });
    let data = next_data(&mut body).await;
    assert_eq!(data, Some(Ok(Bytes::from_static(b"x"))));
    paused.await.expect("a task").expect("a receiver");
}

/// Guards against uploads that are cut off because the backend server read them slowly.
#[tokio::test]
async fn time_in_which_nobody_reads_is_not_a_pause_of_the_caller() {
    let (sender, mut body) = limited_body();
    sender.send(Bytes::from_static(b"x")).await.expect("room");
    assert!(next_data(&mut body).await.is_some());
    tokio::time::sleep(PROCESS_PAUSE).await;
    let next = tokio::spawn(async move {
        tokio::time::sleep(MAX_PAUSE / 2).await;
        sender.send(Bytes::from_static(b"y")).await
    });
    let data = next_data(&mut body).await;
    assert_eq!(data, Some(Ok(Bytes::from_static(b"y"))));
    next.await.expect("a task").expect("a receiver");
}

#[tokio::test]
async fn pause_of_the_caller_ends_the_body() {
    let (sender, mut body) = limited_body();
    for _ in 0..2 {
        sender.send(Bytes::from_static(b"x")).await.expect("room");
        assert!(next_data(&mut body).await.is_some());
    }
    let start = std::time::Instant::now();
    let data = next_data(&mut body).await;
    assert_eq!(data, Some(Err(BodyError::Paused(MAX_PAUSE))));
    assert!(start.elapsed() >= MAX_PAUSE);
}
