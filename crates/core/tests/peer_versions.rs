//! Peers of different versions understand each other.

use ciborium::{Value, cbor};
use jacinthlever_types::{MemberStatus, PeerEnvelope, PeerMsg};

fn decode(value: &Value) -> Result<PeerEnvelope, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encoded");
    ciborium::from_reader(bytes.as_slice()).map_err(|error| error.to_string())
}

#[test]
fn fields_of_a_later_version_are_ignored() {
    let value = cbor!({
        "f" => "instance-1",
        "later" => 7,
        "m" => { "heartbeat" => { "members" => [
            { "i" => "instance-1", "c" => 3, "b" => 9, "r" => 12, "load" => [1, 2] }
        ], "more" => "text" } },
    });
    let envelope = decode(&value.expect("a value")).expect("understood");
    let PeerMsg::Heartbeat { members } = envelope.msg else {
        panic!("another message")
    };
    let expected = MemberStatus {
        instance: jacinthlever_types::InstanceId::new("instance-1"),
        incarnation: 3,
        heartbeat: 9,
        draining: false,
        revision: 12,
    };
    assert_eq!(members, vec![expected], "a missing flag has its default");
}

#[test]
fn fields_that_an_earlier_version_lacks_have_defaults() {
    let value = cbor!({
        "f" => "instance-1",
        "m" => { "hold_reply" => {
            "id" => { "i" => "instance-0", "c" => 1, "n" => 2 },
            "attempt" => 1,
            "outcome" => "queued",
        } },
    });
    let envelope = decode(&value.expect("a value")).expect("understood");
    assert!(matches!(
        envelope.msg,
        PeerMsg::ReservationReply { pressure: 0, .. }
    ));
}

#[test]
fn a_message_of_an_unknown_kind_is_an_error_of_that_message_only() {
    let value = cbor!({ "f" => "instance-1", "m" => { "vote" => { "term" => 1 } } });
    assert!(decode(&value.expect("a value")).is_err());
}
