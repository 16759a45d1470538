//! Log lines wait in bounded space and never block.

use chestnutreach_telemetry::{LineBuffer, line_buffer::MAX_BUFFERED_BYTES};

const LINE: [u8; 1_000] = [b'x'; 1_000];

#[test]
fn lines_beyond_the_bound_are_dropped_and_counted() {
    let buffer = LineBuffer::new();
    let mut taken = 0;
    while buffer.push(&LINE, false) {
        taken += 1;
    }
    assert!(taken * LINE.len() < MAX_BUFFERED_BYTES);
    assert_eq!(buffer.dropped_lines(), 1);
}

#[test]
fn severe_lines_have_room_of_their_own() {
    let buffer = LineBuffer::new();
    while buffer.push(&LINE, false) {}
    assert!(buffer.push(&LINE, true));
    let mut severe = 1;
    while buffer.push(&LINE, true) {
        severe += 1;
    }
    assert!(severe > 100, "{severe}");
}
