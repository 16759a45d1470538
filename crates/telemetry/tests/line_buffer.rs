//! The log buffer is bounded: lines that do not fit are dropped without
//! blocking.

use chestnutreach_telemetry::{LineBuffer, line_buffer::MAX_BUFFERED_BYTES};

const LINE: [u8; 1_000] = [b'x'; 1_000];

#[test]
fn lines_above_the_capacity_are_dropped_and_counted() {
    let buffer = LineBuffer::new();
    let mut accepted = 0;
    while buffer.push(&LINE, false) {
        accepted += 1;
    }
    assert!(accepted * LINE.len() < MAX_BUFFERED_BYTES);
    assert_eq!(buffer.dropped_lines(), 1);
}

#[test]
fn severe_lines_use_the_reserved_part_of_a_full_buffer() {
    let buffer = LineBuffer::new();
    while buffer.push(&LINE, false) {}
    assert!(buffer.push(&LINE, true));
    let mut severe_lines = 1;
    while buffer.push(&LINE, true) {
        severe_lines += 1;
    }
    assert!(severe_lines > 100, "{severe_lines}");
}
