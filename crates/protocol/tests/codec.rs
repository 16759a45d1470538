//! Encoding of frames, and decoding of valid and malformed bytes.

use chestnutreach_protocol::{
    codec::{self, DecodeError, Decoder},
    wire::{
        BackendLoad, Heartbeat, Output, RequestId, Run, Stage, Step, Token,
        frame::Body, output::Part,
    },
};
use proptest::prelude::*;
use rstest::rstest;

const MAX_FRAME_BYTES: usize = 4096;

fn request() -> impl Strategy<Value = Option<RequestId>> {
    let id = (any::<u64>(), any::<u64>())
        .prop_map(|(high, low)| RequestId { high, low });
    proptest::option::of(id)
}

fn heartbeat() -> impl Strategy<Value = Body> {
    let load = (".{0,9}", any::<u32>(), any::<u64>()).prop_map(
        |(backend, running, pending_tokens)| BackendLoad {
            backend,
            running,
            pending_tokens,
            ..BackendLoad::default()
        },
    );
    let loads = proptest::collection::vec(load, 0..4);
    (any::<u64>(), loads, any::<bool>()).prop_map(
        |(generation, loads, is_reply_wanted)| {
            Body::Heartbeat(Heartbeat { generation, loads, is_reply_wanted })
        },
    )
}

fn step() -> impl Strategy<Value = Body> {
    let activation = proptest::collection::vec(any::<u8>(), 0..300);
    (request(), any::<u32>(), any::<u32>(), activation).prop_map(
        |(request, attempt, position, activation)| {
            Body::Step(Step {
                request,
                attempt,
                position,
                activation,
                ..Step::default()
            })
        },
    )
}

fn output() -> impl Strategy<Value = Body> {
    let part = prop_oneof![
        (any::<u32>(), ".{0,9}")
            .prop_map(|(token, text)| Part::Token(Token { token, text })),
        proptest::collection::vec(any::<u8>(), 0..9).prop_map(Part::Data),
    ];
    (request(), any::<u32>(), proptest::option::of(part)).prop_map(
        |(request, position, part)| {
            Body::Output(Output {
                request,
                position,
                part,
                ..Output::default()
            })
        },
    )
}

fn run() -> impl Strategy<Value = Body> {
    let stage = (".{0,9}", any::<u32>()).prop_map(|(backend, end_layer)| {
        Stage { backend, end_layer, ..Stage::default() }
    });
    let chain = proptest::collection::vec(stage, 0..5);
    (request(), any::<bool>(), chain).prop_map(
        |(request, is_idempotent, chain)| {
            Body::Run(Run { request, is_idempotent, chain, ..Run::default() })
        },
    )
}

fn bodies() -> impl Strategy<Value = Vec<Body>> {
    let body = prop_oneof![heartbeat(), step(), output(), run()];
    proptest::collection::vec(body, 0..6)
}

fn encoded(bodies: &[Body]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for body in bodies {
        codec::encode(body.clone(), &mut bytes);
    }
    bytes
}

/// Decodes all complete frames from bytes that arrive `piece_bytes` at a time.
fn decoded(
    bytes: &[u8],
    piece_bytes: usize,
) -> Result<Vec<Body>, DecodeError> {
    let mut decoder = Decoder::new(MAX_FRAME_BYTES);
    let mut bodies = Vec::new();
    for piece in bytes.chunks(piece_bytes) {
        decoder.extend(piece);
        while let Some(body) = decoder.next_body()? {
            bodies.push(body);
        }
    }
    Ok(bodies)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        // The same cases on every run.
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn decoding_restores_encoded_frames(sent in bodies(), piece_bytes in 1usize..700) {
        prop_assert_eq!(decoded(&encoded(&sent), piece_bytes), Ok(sent));
    }

    /// A truncated stream yields the complete frames before the cut and no
    /// error.
    #[test]
    fn truncated_frame_is_not_an_error(
        sent in bodies(),
        piece_bytes in 1usize..700,
        cut in any::<prop::sample::Index>(),
    ) {
        let bytes = encoded(&sent);
        let cut = cut.index(bytes.len() + 1);
        let complete_count = (0..=sent.len())
            .rev()
            .find(|count| encoded(&sent[..*count]).len() <= cut)
            .unwrap();
        let received = decoded(&bytes[..cut], piece_bytes);
        prop_assert_eq!(received, Ok(sent[..complete_count].to_vec()));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..400),
        piece_bytes in 1usize..100,
    ) {
        let _ = decoded(&bytes, piece_bytes);
    }

    /// Arbitrary bytes after a correct length prefix.
    #[test]
    fn arbitrary_message_does_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut frame = (bytes.len() as u32).to_le_bytes().to_vec();
        frame.extend(bytes);
        let _ = decoded(&frame, 64);
    }
}

struct Case {
    bytes: &'static [u8],
    error: fn(&DecodeError) -> bool,
}

#[rstest]
#[case::too_long(Case {
    bytes: &[0x01, 0x10, 0, 0],
    error: |e| {
        *e == DecodeError::TooLong { length: 4097, limit: MAX_FRAME_BYTES }
    },
})]
#[case::largest_length(Case {
    bytes: &[0xff; 4],
    error: |e| matches!(e, DecodeError::TooLong { .. }),
})]
#[case::no_body(Case {
    bytes: &[0; 4],
    error: |e| *e == DecodeError::Empty,
})]
#[case::body_of_a_later_version(Case {
    bytes: &[3, 0, 0, 0, 0xf2, 0x3f, 0],
    error: |e| *e == DecodeError::Empty,
})]
#[case::field_beyond_the_message(Case {
    bytes: &[2, 0, 0, 0, 0x0a, 0x05],
    error: |e| matches!(e, DecodeError::Malformed(_)),
})]
fn invalid_frame_is_an_error(#[case] case: Case) {
    let error = decoded(case.bytes, 1).unwrap_err();
    assert!((case.error)(&error), "{error}");
}

/// The decoder compacts its buffer while it decodes a long stream.
#[test]
fn long_stream_is_decoded_completely() {
    const FRAMES: usize = 20_000;
    let body = Body::Heartbeat(Heartbeat::default());
    let frames = vec![body.clone(); FRAMES];
    let bytes = encoded(&frames);
    assert_eq!(decoded(&bytes, 1000).unwrap().len(), FRAMES);
}
