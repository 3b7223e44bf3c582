//! Contract of the message encoding.

use bytes::Bytes;
use corianderworks_decision::ids::{CustomerKey, DaemonKey, DaemonRun, Incarnation};
use corianderworks_wire::codec::{
    self, BODY_FRAME_MAX_BYTES, CodecError, FORMAT_VERSION, MESSAGE_MAX_BYTES, PREFIX_BYTES,
};
use corianderworks_wire::message::{
    Answer, Ask, Datagram, GrantAsk, KeyState, RelayAnswer, RelayFrame, RelayHead, RelayPurpose,
};
use proptest::collection::vec;
use proptest::prelude::*;

/// Bytes that a frame may have besides its part of a body.
const FRAME_OVERHEAD_BYTES: usize = 16;

fn data(max: usize) -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..max).prop_map(Bytes::from)
}

fn fields() -> impl Strategy<Value = Vec<(String, Bytes)>> {
    vec((".{0,20}", data(50)), 0..6)
}

fn frame() -> impl Strategy<Value = RelayFrame> {
    let answer = (any::<u64>(), any::<u16>(), fields(), any::<(u16, u16)>());
    prop_oneof![
        answer.prop_map(|(request_id, status, headers, (free_slots, queued))| {
            RelayFrame::Answer(RelayAnswer {
                request_id,
                status,
                headers,
                free_slots,
                queued,
            })
        }),
        data(2_000).prop_map(RelayFrame::Body),
        fields().prop_map(RelayFrame::Trailers),
        Just(RelayFrame::End),
        ".{0,40}".prop_map(RelayFrame::Abort),
    ]
}

fn head() -> impl Strategy<Value = RelayHead> {
    let texts = (".{0,20}", ".{0,20}", ".{0,20}", ".{0,20}", ".{0,60}");
    let numbers = any::<(u64, u64, u64, bool, u8, u32, bool, bool)>();
    (texts, numbers, fields(), proptest::option::of(".{0,40}")).prop_map(
        |((service, customer, route, method, target), n, headers, key)| RelayHead {
            request_id: n.0,
            entry: DaemonRun {
                daemon: DaemonKey(n.1),
                incarnation: Incarnation(n.2),
            },
            service,
            customer,
            route,
            method,
            target,
            headers,
            has_body: n.7,
            idempotent: n.3,
            priority: n.4,
            deadline_ms: n.5,
            key,
            purpose: if n.6 {
                RelayPurpose::Dispatch
            } else {
                RelayPurpose::KeyOwner
            },
        },
    )
}

fn ask() -> impl Strategy<Value = Ask> {
    let grant = any::<(u64, u32, u32)>().prop_map(|(customer, credit, wanted)| {
        Ask::Grant(GrantAsk {
            customer: CustomerKey(customer),
            credit,
            wanted,
        })
    });
    prop_oneof![
        head().prop_map(Ask::Relay),
        Just(Ask::Version),
        any::<[u8; 32]>().prop_map(Ask::Chunk),
        any::<u32>().prop_map(Ask::Vms),
        grant,
        ".{0,60}".prop_map(Ask::Key),
    ]
}

/// Decodes as every type that a daemon reads from another one.
fn decode_all(bytes: &[u8]) {
    let _ = codec::decode::<Ask>(bytes);
    let _ = codec::decode::<Answer>(bytes);
    let _ = codec::decode::<RelayFrame>(bytes);
    let _ = codec::decode::<Datagram>(bytes);
}

fn round_trip<M>(message: &M)
where
    M: serde::Serialize + serde::de::DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let encoded = codec::encode(message).unwrap();
    assert_eq!(&codec::decode::<M>(&encoded).unwrap(), message);
    let prefixed = codec::encode_prefixed(message).unwrap();
    let (prefix, content) = prefixed.split_at(PREFIX_BYTES);
    let length = codec::decode_prefix(prefix.try_into().unwrap()).unwrap();
    assert_eq!((length, content), (content.len(), &encoded[..]));
    // Every shorter or longer message is refused.
    for cut in 0..encoded.len() {
        assert!(codec::decode::<M>(&encoded[..cut]).is_err(), "cut at {cut}");
    }
    let longer = [&encoded[..], b"x"].concat();
    assert_eq!(codec::decode::<M>(&longer), Err(CodecError::Trailing(1)));
    for version in [0, FORMAT_VERSION + 1, u8::MAX] {
        let mut other = encoded.to_vec();
        other[0] = version;
        assert_eq!(
            codec::decode::<M>(&other),
            Err(CodecError::Version(version))
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic on bytes of a stranger.
    #[test]
    fn decoding_never_panics(bytes in vec(any::<u8>(), 0..300)) {
        decode_all(&bytes);
        decode_all(&[&[FORMAT_VERSION], &bytes[..]].concat());
    }

    /// Guards against a panic on a message that was changed in one place.
    #[test]
    fn decoding_changed_messages_never_panics(ask in ask(), at in any::<prop::sample::Index>(), to in any::<u8>()) {
        let mut bytes = codec::encode(&ask).unwrap().to_vec();
        let at = at.index(bytes.len());
        bytes[at] = to;
        decode_all(&bytes);
    }

    /// Guards against messages that change on their way or decode from a part of their bytes.
    #[test]
    fn asks_round_trip(ask in ask()) {
        round_trip(&ask);
    }

    /// As above for frames.
    #[test]
    fn frames_round_trip(frame in frame()) {
        round_trip(&frame);
    }
}

/// Guards against limits that are not enforced on either side.
#[test]
fn oversized_messages_are_refused() {
    let long = Bytes::from(vec![0; MESSAGE_MAX_BYTES]);
    let answer = Answer::Chunk(Some(long.clone()));
    assert!(matches!(
        codec::encode(&answer),
        Err(CodecError::TooLong(_))
    ));
    assert!(matches!(
        codec::encode_prefixed(&answer),
        Err(CodecError::TooLong(_))
    ));
    let bytes = [&[FORMAT_VERSION], &long[..]].concat();
    let decoded = codec::decode::<Answer>(&bytes);
    assert_eq!(decoded, Err(CodecError::TooLong(MESSAGE_MAX_BYTES + 1)));
    let prefix = |length: usize| codec::decode_prefix((length as u32).to_be_bytes());
    assert_eq!(prefix(0), Err(CodecError::Empty));
    assert_eq!(prefix(MESSAGE_MAX_BYTES), Ok(MESSAGE_MAX_BYTES));
    let over = MESSAGE_MAX_BYTES + 1;
    assert_eq!(prefix(over), Err(CodecError::TooLong(over)));
    assert_eq!(codec::decode::<Answer>(&[]), Err(CodecError::Empty));
    for state in [
        KeyState::NotRun,
        KeyState::Running,
        KeyState::Done(201),
        KeyState::Unknown,
    ] {
        round_trip(&Answer::Key(state));
    }
}

/// Guards against relayed frames that are far larger than the part of the body they carry.
#[test]
fn a_body_frame_has_little_overhead() {
    let frame = RelayFrame::Body(Bytes::from(vec![0; BODY_FRAME_MAX_BYTES]));
    let length = codec::encode_prefixed(&frame).unwrap().len();
    assert!(
        length <= BODY_FRAME_MAX_BYTES + FRAME_OVERHEAD_BYTES,
        "{length}"
    );
}
