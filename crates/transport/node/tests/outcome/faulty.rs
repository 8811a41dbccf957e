//! Backend servers whose bytes are not the response to the request.

use crate::backend;
use crate::backend::RefusalId;
use crate::backend::ServerStep;
use crate::support;
use marjoramwing_testing::cases;

const DEADLINE_MS: u64 = 400;
/// Shortest possible response head, in bytes; every complete one is longer.
const MIN_HEAD_BYTES: usize = 1;

/// Dialect that the instance speaks.
#[derive(Debug, Clone, Copy)]
enum Dialect {
    Native,
    Platform,
}

/// Starts an instance with a server that follows `steps` and one that sends complete responses.
async fn start(
    dialect: Dialect,
    steps: &[ServerStep],
) -> (support::TestInstance, Vec<backend::ScriptedServer>) {
    let servers = vec![
        backend::ScriptedServer::start(steps).await,
        backend::ScriptedServer::start(&[]).await,
    ];
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let instance = match dialect {
        Dialect::Native => support::TestInstance::start(&addresses, DEADLINE_MS).await,
        Dialect::Platform => {
            support::TestInstance::start_on_platform(&addresses, DEADLINE_MS).await
        }
    };
    (instance, servers)
}

/// Guards against "not run" for a request that runs: a refusal of an earlier request arrives once
/// more on a kept connection, in place of the response.
fn check_repeated_refusal(dialect: Dialect, id: RefusalId) {
    support::block_on(async {
        let steps = [ServerStep::Respond, ServerStep::RefuseBefore(id)];
        let (instance, servers) = start(dialect, &steps).await;
        let first = instance.send("POST", "/open", "first", "a body").await;
        assert_eq!(first.status, 200);
        let second = instance.send("POST", "/open", "second", "a body").await;
        assert_eq!((second.status, second.outcome()), (502, "unknown"));
        let runs: Vec<_> = servers.iter().flat_map(backend::ScriptedServer::runs).collect();
        assert_eq!(runs.iter().filter(|run| run.id == "second").count(), 1);
        assert_eq!(runs[0].connection, runs[1].connection, "the connection was not kept");
    });
}

cases! { check_repeated_refusal:
    refusal_of_an_earlier_request_is_not_believed => (Dialect::Platform, RefusalId::Earlier);
    refusal_of_an_earlier_request_is_not_believed_natively => (Dialect::Native, RefusalId::Earlier);
    refusal_without_an_id_on_a_kept_connection_is_not_believed =>
        (Dialect::Platform, RefusalId::Missing);
}

/// Guards against a refusal that is repeated for the same request on the connection of its first
/// attempt, where the identifier cannot tell the two apart.
#[test]
fn connection_of_a_refused_attempt_is_not_used_again() {
    support::block_on(async {
        let steps = [ServerStep::ShedAfterBody, ServerStep::Respond];
        let server = backend::ScriptedServer::start(&steps).await;
        let instance =
            support::TestInstance::start_on_platform(&[server.address], DEADLINE_MS).await;
        let response = instance.send("POST", "/open", "first", "a body").await;
        assert_eq!(response.status, 200);
        assert_eq!(server.connections(), 2);
    });
}

/// Guards against a response of which only a part of the head arrived and that looks whole.
fn check_cut_heads(dialect: Dialect) {
    support::block_on(async {
        let (instance, servers) = start(dialect, &[ServerStep::Respond]).await;
        let complete = instance.send("POST", "/open", "first", "a body").await;
        assert_eq!(complete.status, 200);
        let head_bytes = backend::response_head_bytes("first");
        for bytes in MIN_HEAD_BYTES..head_bytes {
            servers[0].add_step(ServerStep::CutHead(bytes));
            let response = instance.send("POST", "/open", "first", "a body").await;
            let seen = (response.status, response.outcome());
            assert_eq!(seen, (502, "unknown"), "after {bytes} bytes of the head");
        }
    });
}

cases! { check_cut_heads:
    head_that_is_cut_at_any_byte_is_no_response => (Dialect::Native);
    head_that_is_cut_at_any_byte_is_no_response_on_the_platform => (Dialect::Platform);
}
