//! The alarm of a service that refuses requests. It has a file of its own because the load would slow
//! other tests down.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use corianderworks::fleet::{Fleet, ee_north};
use corianderworks::status_types::Status;
use corianderworks_standin::backend::{BackendSettings, ServiceTime};
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

async fn status(daemon: SocketAddr) -> Status {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let address = format!("http://{daemon}/v1/status");
    let response = client.get(address.parse().unwrap()).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Guards against an overload that only the callers notice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusals_of_a_full_service_raise_an_alarm() {
    let backend = BackendSettings {
        service_time: ServiceTime {
            median_ms: 1_000.0,
            ..ServiceTime::default()
        },
        ..BackendSettings::default()
    };
    let mut fleet = Fleet::start(ee_north(), backend, 4).await.unwrap();
    fleet.add_daemons(1).await.unwrap();
    let daemon = fleet.daemons[0].1.http_address;
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let start = Instant::now();
    loop {
        let mut requests = tokio::task::JoinSet::new();
        for number in 0..400 {
            let request = Request::get(format!("http://{daemon}/stock"))
                .header("cw-customer", format!("customer-{}", number % 4))
                .body(Empty::new())
                .unwrap();
            requests.spawn(client.request(request));
        }
        requests.join_all().await;
        let status = status(daemon).await;
        let overload = status.alarms.iter().find(|a| a.name == "overload");
        if let Some(alarm) = overload {
            assert!(alarm.text.starts_with("stock: "), "{}", alarm.text);
            break;
        }
        assert!(start.elapsed() < Duration::from_secs(30), "{status:?}");
    }
}
