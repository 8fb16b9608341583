//! The shared secret that processes authenticate with.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use chervil_rpc::client;
use chervil_rpc::secret::Secret;
use chervil_rpc::server;
use jsonrpsee::RpcModule;

fn secret(text: &str) -> Secret {
    Secret::try_from(Box::from(text)).unwrap()
}

/// Guards against secrets in logs: the settings that contain one implement
/// `Debug`.
#[test]
fn debug_output_does_not_contain_the_secret() {
    let secret = secret("0123456789abcdef");

    let printed = format!("{secret:?}");

    assert!(!printed.contains("0123"), "{printed}");
}

/// Guards against secrets that are too short or that contain characters which a
/// header must not contain.
#[test]
fn short_or_unprintable_secrets_are_rejected() {
    for text in ["", "0123456789abcde", "0123456789 abcdef", "0123456789abcdef\n"] {
        assert!(Secret::try_from(Box::from(text)).is_err(), "{text:?}");
    }
}

/// Guards against a server that accepts clients with another secret, or with one
/// that merely begins with its own.
#[tokio::test]
async fn only_clients_with_the_secret_can_connect() {
    let address = "127.0.0.1:0".parse().unwrap();
    let own = secret("0123456789abcdef");
    let serving = server::serve(address, &own, RpcModule::new(())).await.unwrap();
    let connect = async |text| {
        client::connect(serving.address, &secret(text), Duration::from_secs(5)).await.is_ok()
    };

    assert!(connect("0123456789abcdef").await);
    assert!(!connect("0123456789abcdeX").await);
    assert!(!connect("0123456789abcdef0").await);
    serving.handle.stop().unwrap();
}
