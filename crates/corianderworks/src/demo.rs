//! Demonstration of the promises under faults.

use std::process::ExitCode;
use std::time::Duration;

use corianderworks_standin::backend::BackendSettings;
use http::Request;
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::body;
use crate::fleet::{Fleet, FleetError, ee_north};

/// Runs the demonstration.
pub fn main() -> ExitCode {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime can be started");
    match runtime.block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), FleetError> {
    let mut fleet = Fleet::start(ee_north(), BackendSettings::default(), 40).await?;
    fleet.add_daemons(2).await?;
    for (_, daemon) in &fleet.daemons {
        let _ = tokio::time::timeout(Duration::from_secs(5), daemon.ready()).await;
        println!(
            "{} version {} members {}",
            daemon.http_address,
            daemon.version(),
            daemon.member_count()
        );
    }
    for (_, daemon) in &fleet.daemons {
        for spec in fleet.deployment.services {
            let stream = TcpStream::connect(daemon.http_address).await?;
            let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
                .await
                .map_err(std::io::Error::other)?;
            tokio::spawn(connection);
            let request = Request::get(format!("/{}?size=100", spec.name))
                .header("host", "corianderworks")
                .header("cw-customer", "customer-1")
                .header("cw-check", "check-1")
                .body(body::empty())
                .map_err(std::io::Error::other)?;
            let response = sender
                .send_request(request)
                .await
                .map_err(std::io::Error::other)?;
            println!("{} {:?}", response.status(), response.headers());
            let bytes = response
                .into_body()
                .collect()
                .await
                .map_err(std::io::Error::other)?
                .to_bytes();
            println!("{} bytes", bytes.len());
        }
    }
    Ok(())
}
