//! The channel between a pipelined connection and the reader of a request body.

use http_body_util::BodyExt;
use marjoramwing_node::pipeline::body;
use marjoramwing_node::pipeline::head;
use marjoramwing_testing::cases;

/// Sends `parts` over the channel, then drops the sender.
async fn receive(
    framing: head::BodyFraming,
    parts: &[body::BodyPart],
) -> Result<bytes::Bytes, body::BodyFault> {
    let (sender, body) = body::ChannelBody::new(framing);
    let sending = async {
        for part in parts {
            sender.send(part.clone()).await.unwrap();
        }
        drop(sender);
    };
    let (received, ()) = futures_util::future::join(body.collect(), sending).await;
    received.map(http_body_util::Collected::to_bytes)
}

fn data(text: &'static str) -> body::BodyPart {
    body::BodyPart::Data(bytes::Bytes::from_static(text.as_bytes()))
}

fn check_received(framing: head::BodyFraming, parts: &[body::BodyPart], expected: Option<&str>) {
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    let received = runtime.block_on(receive(framing, parts));
    match expected {
        Some(text) => assert_eq!(received.unwrap(), text),
        None => assert_eq!(received.unwrap_err(), body::BodyFault::Incomplete),
    }
}

// More parts than the channel holds, so that the sender had to wait: the fault of a body
// whose channel is full must not be lost.
cases! { check_received:
    chunked_body_with_its_end =>
        (head::BodyFraming::Chunked, &[data("ab"), data("c"), body::BodyPart::End], Some("abc"));
    chunked_body_without_its_end =>
        (head::BodyFraming::Chunked, &[data("ab"), data("c")], None);
    full_channel_without_an_end =>
        (head::BodyFraming::Chunked, &std::array::from_fn::<_, 12, _>(|_| data("a")), None);
    body_of_its_length => (head::BodyFraming::Length(3), &[data("ab"), data("c")], Some("abc"));
    body_short_of_its_length => (head::BodyFraming::Length(4), &[data("ab"), data("c")], None);
}
