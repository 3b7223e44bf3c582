//! Tests of the message encoding: round trips, malformed input and size limits.

use bytes::Bytes;
use corianderworks_decision::ids::{CustomerKey, DaemonKey, DaemonRun, Incarnation};
use corianderworks_wire::codec::{
    self, BODY_FRAME_MAX_BYTES, CodecError, FORMAT_VERSION, MESSAGE_MAX_BYTES, PREFIX_BYTES,
};
use corianderworks_wire::message::{
    Answer, Datagram, GrantAsk, KeyState, PeerRequest, RelayAnswer, RelayFrame, RelayHead,
    RelayPurpose,
};
use proptest::collection::vec;
use proptest::prelude::*;

/// Maximum number of bytes that encoding adds to a body part.
const FRAME_OVERHEAD_BYTES: usize = 16;

fn body_bytes(max: usize) -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..max).prop_map(Bytes::from)
}

fn header_fields() -> impl Strategy<Value = Vec<(String, Bytes)>> {
    vec((".{0,20}", body_bytes(50)), 0..6)
}

fn relay_frame() -> impl Strategy<Value = RelayFrame> {
    let answer = (
        any::<u64>(),
        any::<u16>(),
        header_fields(),
        any::<(u16, u16)>(),
    );
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
        body_bytes(2_000).prop_map(RelayFrame::Body),
        header_fields().prop_map(RelayFrame::Trailers),
        Just(RelayFrame::End),
        ".{0,40}".prop_map(RelayFrame::Abort),
    ]
}

fn relay_head() -> impl Strategy<Value = RelayHead> {
    let texts = (".{0,20}", ".{0,20}", ".{0,20}", ".{0,20}", ".{0,60}");
    let numbers = any::<(u64, u64, u64, bool, u8, u32, bool, bool)>();
    (
        texts,
        numbers,
        header_fields(),
        proptest::option::of(".{0,40}"),
    )
        .prop_map(
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

fn peer_request() -> impl Strategy<Value = PeerRequest> {
    let grant = any::<(u64, u32, u32)>().prop_map(|(customer, credit, wanted)| {
        PeerRequest::Grant(GrantAsk {
            customer: CustomerKey(customer),
            credit,
            wanted,
        })
    });
    prop_oneof![
        relay_head().prop_map(PeerRequest::Relay),
        Just(PeerRequest::Version),
        any::<[u8; 32]>().prop_map(PeerRequest::Chunk),
        any::<u32>().prop_map(PeerRequest::Vms),
        grant,
        ".{0,60}".prop_map(PeerRequest::Key),
    ]
}

/// Decodes `bytes` as each type that a daemon receives from its peers, ignoring errors.
fn decode_as_all_types(bytes: &[u8]) {
    let _ = codec::decode::<PeerRequest>(bytes);
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
    // Truncated messages and messages with trailing bytes are rejected.
    for cut in 0..encoded.len() {
        assert!(codec::decode::<M>(&encoded[..cut]).is_err(), "cut at {cut}");
    }
    let extended = [&encoded[..], b"x"].concat();
    assert_eq!(codec::decode::<M>(&extended), Err(CodecError::Trailing(1)));
    for version in [0, FORMAT_VERSION + 1, u8::MAX] {
        let mut other_version = encoded.to_vec();
        other_version[0] = version;
        assert_eq!(
            codec::decode::<M>(&other_version),
            Err(CodecError::Version(version))
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic on arbitrary bytes from an untrusted sender.
    #[test]
    fn decoding_never_panics(bytes in vec(any::<u8>(), 0..300)) {
        decode_as_all_types(&bytes);
        decode_as_all_types(&[&[FORMAT_VERSION], &bytes[..]].concat());
    }

    /// Guards against a panic on a valid message with one modified byte.
    #[test]
    fn decoding_modified_messages_never_panics(peer_request in peer_request(), position in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = codec::encode(&peer_request).unwrap().to_vec();
        let position = position.index(bytes.len());
        bytes[position] = byte;
        decode_as_all_types(&bytes);
    }

    /// Guards against messages that decode to another value, or that are accepted when truncated,
    /// extended or of another version.
    #[test]
    fn peer_requests_round_trip(peer_request in peer_request()) {
        round_trip(&peer_request);
    }

    /// Same as `peer_requests_round_trip`, for relay frames.
    #[test]
    fn relay_frames_round_trip(relay_frame in relay_frame()) {
        round_trip(&relay_frame);
    }
}

/// Guards against a size limit that is not enforced when encoding or when decoding.
#[test]
fn oversized_messages_are_rejected() {
    let oversized = Bytes::from(vec![0; MESSAGE_MAX_BYTES]);
    let answer = Answer::Chunk(Some(oversized.clone()));
    assert!(matches!(
        codec::encode(&answer),
        Err(CodecError::TooLong(_))
    ));
    assert!(matches!(
        codec::encode_prefixed(&answer),
        Err(CodecError::TooLong(_))
    ));
    let bytes = [&[FORMAT_VERSION], &oversized[..]].concat();
    let decoded = codec::decode::<Answer>(&bytes);
    assert_eq!(decoded, Err(CodecError::TooLong(MESSAGE_MAX_BYTES + 1)));
    let prefix = |length: usize| codec::decode_prefix((length as u32).to_be_bytes());
    assert_eq!(prefix(0), Err(CodecError::Empty));
    assert_eq!(prefix(MESSAGE_MAX_BYTES), Ok(MESSAGE_MAX_BYTES));
    let too_long = MESSAGE_MAX_BYTES + 1;
    assert_eq!(prefix(too_long), Err(CodecError::TooLong(too_long)));
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

/// Guards against body frames that are far larger than the part of the body they carry.
#[test]
fn body_frame_overhead_is_small() {
    let relay_frame = RelayFrame::Body(Bytes::from(vec![0; BODY_FRAME_MAX_BYTES]));
    let length = codec::encode_prefixed(&relay_frame).unwrap().len();
    assert!(
        length <= BODY_FRAME_MAX_BYTES + FRAME_OVERHEAD_BYTES,
        "{length}"
    );
}
