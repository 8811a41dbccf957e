//! The exchange with a backend server, cut at every point.

use crate::backend;
use crate::backend::Step;
use crate::support;
use marjoramwing_testing::cases;

const DEADLINE_MS: u64 = 400;

struct Expected {
    status: u16,
    outcome: &'static str,
    whole: bool,
    runs: usize,
}

const fn served(runs: usize) -> Expected {
    Expected { status: 200, outcome: "none", whole: true, runs }
}

const fn refused(status: u16, outcome: &'static str, runs: usize) -> Expected {
    Expected { status, outcome, whole: true, runs }
}

const CUT: Expected = Expected { status: 200, outcome: "none", whole: false, runs: 1 };

/// The first server follows the step, the second answers whole.
async fn start_pair(step: Step) -> (support::TestInstance, Vec<backend::ScriptedServer>) {
    let servers = vec![
        backend::ScriptedServer::start(&[step; 8]).await,
        backend::ScriptedServer::start(&[]).await,
    ];
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let instance = support::TestInstance::start(&addresses, DEADLINE_MS).await;
    (instance, servers)
}

/// Sends a request that meets the faulty server first, then one more.
fn check_cut(method: &str, step: Step, expected: &Expected) {
    support::block_on(async {
        let (instance, servers) = start_pair(step).await;
        let body = if method == "POST" { "a body" } else { "" };
        let answer = instance.send(method, "/open", "first", body).await;
        assert_eq!((answer.status, answer.outcome()), (expected.status, expected.outcome));
        assert_eq!(answer.body.is_some(), expected.whole);
        if expected.outcome == "none" && expected.whole {
            assert_eq!(answer.body.unwrap(), "answer to first");
        }
        let runs: Vec<_> = servers.iter().flat_map(backend::ScriptedServer::runs).collect();
        assert_eq!(runs.iter().filter(|run| run.id == "first").count(), expected.runs);
        assert!(runs.iter().all(|run| run.body == body.as_bytes()));
        if !matches!(step, Step::Answer | Step::AnswerTwice) {
            let faulty = &servers[0];
            support::until(|| faulty.closed() == faulty.connections()).await;
            assert_eq!(instance.service().connections.idle_count(faulty.address), 0);
        }
    });
}

cases! { check_cut:
    whole_post => ("POST", Step::Answer, &served(1));
    shed_post_goes_elsewhere => ("POST", Step::Shed, &served(1));
    post_shed_after_its_body_goes_elsewhere => ("POST", Step::ShedAfterBody, &served(1));
    post_cut_after_head => ("POST", Step::CloseAfterHead, &refused(502, "unknown", 0));
    post_cut_after_run => ("POST", Step::CloseAfterRun, &refused(502, "unknown", 1));
    post_cut_in_answer_head => ("POST", Step::CutHead, &refused(502, "unknown", 1));
    post_cut_in_answer_body => ("POST", Step::CutBody, &CUT);
    post_cut_between_chunks => ("POST", Step::CutChunk, &CUT);
    post_answer_without_end => ("POST", Step::Unbounded, &refused(502, "unknown", 1));
    post_unanswered => ("POST", Step::Silent, &refused(504, "unknown", 1));
    post_answered_for_another => ("POST", Step::Crossed, &refused(502, "unknown", 1));
    whole_get => ("GET", Step::Answer, &served(1));
    shed_get_goes_elsewhere => ("GET", Step::Shed, &served(1));
    get_cut_after_head_goes_elsewhere => ("GET", Step::CloseAfterHead, &served(1));
    get_cut_after_run_goes_elsewhere => ("GET", Step::CloseAfterRun, &served(2));
    get_cut_in_answer_head_goes_elsewhere => ("GET", Step::CutHead, &served(2));
    get_cut_in_answer_body => ("GET", Step::CutBody, &CUT);
    get_cut_between_chunks => ("GET", Step::CutChunk, &CUT);
    get_unanswered_goes_elsewhere => ("GET", Step::Silent, &served(2));
    post_given_up_by_the_server => ("POST", Step::Late, &refused(502, "unknown", 1));
    get_given_up_by_the_server_goes_elsewhere => ("GET", Step::Late, &served(2));
    get_silent_in_answer_body => ("GET", Step::SilentBody, &CUT);
    get_answered_for_another_goes_elsewhere => ("GET", Step::Crossed, &served(2));
}

/// A kept connection that the server has closed, or on which a late answer
/// waits, carries no further request; the request is known not to be sent.
fn check_kept_connection(step: Step, closes: bool) {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[step]).await;
        let instance = support::TestInstance::start(&[server.address], DEADLINE_MS).await;
        let first = instance.send("POST", "/open", "first", "a body").await;
        assert_eq!(first.body.unwrap(), "answer to first");
        if closes {
            support::until(|| server.closed() == 1).await;
        } else {
            tokio::time::sleep(std::time::Duration::from_millis(60)).await;
        }
        let second = instance.send("POST", "/open", "second", "a body").await;
        let third = instance.send("POST", "/open", "third", "a body").await;
        assert_eq!((second.status, third.status), (200, 200));
        assert_eq!(second.body.unwrap(), "answer to second");
        assert_eq!(third.body.unwrap(), "answer to third");
        let runs = server.runs();
        let connections: Vec<_> = runs.iter().map(|run| run.connection).collect();
        assert_eq!(connections, [1, 2, 2], "the first connection is not used again");
    });
}

cases! { check_kept_connection:
    closed_connection_is_replaced => (Step::AnswerThenClose, true);
    late_second_answer_reaches_nobody => (Step::AnswerTwice, false);
}

#[test]
fn caller_that_goes_away_cancels_its_attempt() {
    support::block_on(async {
        let server = backend::ScriptedServer::start(&[Step::Silent]).await;
        let instance = support::TestInstance::start(&[server.address], 600_000).await;
        let call = instance.send("POST", "/open", "first", "a body");
        tokio::select! {
            answer = call => panic!("no answer is due: {answer:?}"),
            () = support::until(|| server.runs().len() == 1) => {}
        }
        support::until(|| server.closed() == 1).await;
        assert_eq!(instance.service().in_flight(server.address), 0);
    });
}

#[test]
fn nothing_sent_is_reported_as_not_run() {
    support::block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let closed = listener.local_addr().unwrap();
        drop(listener);
        let instance = support::TestInstance::start(&[closed], DEADLINE_MS).await;
        let answer = instance.send("POST", "/open", "first", "a body").await;
        assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
        assert!(answer.headers.contains_key("retry-after"));
    });
}

#[test]
fn deadline_shrinks_from_attempt_to_attempt() {
    support::block_on(async {
        let (instance, servers) = start_pair(Step::Silent).await;
        let answer = instance.send("GET", "/open", "first", "").await;
        assert_eq!(answer.status, 200);
        let left = servers.iter().map(|server| deadline_of(&server.runs()[0].head));
        let left: Vec<_> = left.collect();
        assert!(left[0] <= DEADLINE_MS && left[1] + DEADLINE_MS / 4 <= DEADLINE_MS, "{left:?}");
    });
}

fn deadline_of(head: &str) -> u64 {
    let line = head.lines().find_map(|line| line.strip_prefix("marjoramwing-deadline-ms: "));
    line.unwrap().parse().unwrap()
}
