//! Keys of organisations at a daemon: who is let through, and what backend servers get to see.

mod support;

use std::sync::Arc;

use corianderworks_decision::edge::organisations::{Organisation, Organisations};
use corianderworks_decision::edge::routes::Configuration;
use support::{Action, Backend, Daemon, get, header};

const KEY: &str = "secret-key-of-north";

fn with_organisations(configuration: Configuration) -> Configuration {
    let mut organisations = Organisations::new([1; 32]);
    let north = Organisation {
        name: "north".into(),
        priority: Some(0),
        limit: None,
    };
    organisations.add(north, [KEY]);
    configuration.with_organisations(organisations)
}

async fn daemon_with(backends: &[&Backend]) -> Daemon {
    let daemon = Daemon::with_backends(backends).await;
    let configuration = with_organisations(support::configuration(2));
    daemon
        .edge
        .install_configuration(Arc::new(configuration), None, "test");
    daemon
}

/// Adds header lines to a request.
fn with_headers(request: &str, lines: &str) -> String {
    request.replacen("\r\n", &format!("\r\n{lines}"), 1)
}

#[tokio::test]
async fn requests_without_a_valid_key_are_refused_and_not_sent() {
    let backend = Backend::start([]).await;
    let daemon = daemon_with(&[&backend]).await;
    for lines in [
        "",
        "Authorization: Token wrong\r\n",
        "Authorization: Token\r\n",
        "Authorization: Bearer secret-key-of-north\r\n",
        "Authorization: Token secret-key-of-north\r\nAuthorization: Token wrong\r\n",
        "Tenant-Name: north\r\n",
    ] {
        let response = daemon
            .fetch(&with_headers(&get("/read/x", "r1"), lines))
            .await;
        assert_eq!(response.status, 401, "{lines}");
        assert!(response.body.contains("unknown-key"), "{}", response.body);
    }
    assert_eq!(backend.received_requests().len(), 0);
}

/// A server must not get the key, nor a name of an organisation that the caller chose.
#[tokio::test]
async fn servers_get_the_name_of_the_organisation_and_not_the_key() {
    let first = Backend::start([Action::Close]).await;
    let second = Backend::start([]).await;
    let daemon = daemon_with(&[&first, &second]).await;
    let lines = format!(
        "authorization: Token {KEY}\r\nTenant-Name: south\r\ntenant-name: east\r\n\
         TENANT_NAME: west\r\nX-Other: kept\r\n"
    );
    let request = with_headers(&get("/read/x", "r1"), &lines);
    let response = daemon.fetch(&request).await;
    assert_eq!(response.status, 200);
    for backend in [&first, &second] {
        let received = backend.received_requests();
        let received = received.first().expect("a request");
        let head = received.head.to_ascii_lowercase();
        assert_eq!(received.header("tenant-name").as_deref(), Some("north"));
        assert_eq!(head.matches("tenant").count(), 1, "{head}");
        assert!(!head.contains("authorization"), "{head}");
        assert!(!head.contains(KEY), "{head}");
        assert_eq!(received.header("x-other").as_deref(), Some("kept"));
    }
}

/// Deployments without organisations use the same headers for their own purposes.
#[tokio::test]
async fn without_organisations_all_headers_are_forwarded() {
    let backend = Backend::start([]).await;
    let daemon = Daemon::with_backends(&[&backend]).await;
    let lines = "Authorization: Token any\r\nTenant-Name: south\r\n";
    let response = daemon
        .fetch(&with_headers(&get("/read/x", "r1"), lines))
        .await;
    assert_eq!(response.status, 200);
    let received = backend.received_requests();
    let received = received.first().expect("a request");
    assert_eq!(
        received.header("authorization").as_deref(),
        Some("Token any")
    );
    assert_eq!(received.header("tenant-name").as_deref(), Some("south"));
}

/// Without a configuration, the daemon can't know whether the key is valid.
#[tokio::test]
async fn a_daemon_without_a_configuration_refuses_keys_only_for_now() {
    let daemon = Daemon::start().await;
    let line = format!("Authorization: Token {KEY}\r\n");
    let response = daemon
        .fetch(&with_headers(&get("/read/x", "r1"), &line))
        .await;
    assert_eq!(response.status, 503);
    assert!(header(&response.head, "retry-after").is_some());
}
