//! Enforcement of the request rates of plans by a running daemon.

use std::time::Duration;

use bytes::Bytes;
use corianderworks::fleet::{Fleet, ee_north};
use corianderworks_standin::backend::BackendSettings;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Guards against refusing the first requests of a customer that stays far below its rate, when the
/// last membership change is long past.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn customer_below_its_rate_is_served_from_the_first_request() {
    let backend = BackendSettings::default();
    let mut fleet = Fleet::start(ee_north(), backend, 1).await.unwrap();
    fleet.add_daemons(1).await.unwrap();
    let daemon = &fleet.daemons[0].1;
    let ready = tokio::time::timeout(Duration::from_secs(15), daemon.ready());
    ready.await.unwrap();
    // After a membership change, a limit home accumulates allowance before it grants any.
    tokio::time::sleep(Duration::from_secs(1)).await;
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    for number in 0..100 {
        let request = Request::get(format!("http://{}/stock", daemon.http_address))
            .header("cw-customer", "customer-0")
            .body(Empty::new())
            .unwrap();
        let response = client.request(request).await.unwrap();
        assert_eq!(response.status(), 200, "{number} {:?}", response.headers());
        response.into_body().collect().await.unwrap();
    }
}
