//! The toy model.
//!
//! The token ID of a word of the prompt is a hash of the word. The hidden
//! state at a position starts as a hash of the tokens up to this position.
//! Each layer mixes the state with the layer index, the position and the
//! layer's output at the previous position, which stands for attention over
//! the KV memory. So a layer or position that is skipped, run twice or run out
//! of order changes every later token.

/// Size of the output vocabulary.
const VOCABULARY: u64 = 50_000;
/// Odd multiplier of [`mix`] that distributes the bits of the second operand.
const MIX_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Token ID of a word of a prompt.
pub(super) fn token_of_word(word: &str) -> u32 {
    let digest = blake3::hash(word.as_bytes());
    let bytes = digest.as_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Extends the hash of a token sequence by one token; 0 is the hash of the
/// empty sequence.
pub(super) fn extend_context(context: u64, token: u32) -> u64 {
    let mut input = [0; 12];
    input[..8].copy_from_slice(&context.to_le_bytes());
    input[8..].copy_from_slice(&token.to_le_bytes());
    let digest = blake3::hash(&input);
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Output of a layer at a position.
pub(super) fn run_layer(
    state: u64,
    layer: u32,
    position: u32,
    previous_output: u64,
) -> u64 {
    let state = mix(state, layer.into());
    let state = mix(state, position.into());
    mix(state, previous_output)
}

/// Token that the output of the last layer selects.
pub(super) fn token_of_state(state: u64) -> u32 {
    (mix(state, VOCABULARY) % VOCABULARY) as u32
}

/// Text that a token adds to an answer.
pub(super) fn text_of_token(token: u32) -> String {
    format!("w{token} ")
}

/// Mixes two values; a bijection of `a` for each `b`.
fn mix(a: u64, b: u64) -> u64 {
    let mut x =
        a ^ b.wrapping_mul(MIX_MULTIPLIER).wrapping_add(MIX_MULTIPLIER);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The correct answer to a prompt, as the IDs and texts of its first `count`
/// tokens. The prompt is the text of all messages separated by spaces.
pub fn expected_answer(
    prompt: &str,
    layer_count: u32,
    count: u32,
) -> Vec<(u32, String)> {
    let words = prompt.split_whitespace().map(token_of_word);
    let mut inputs: Vec<u32> = words.collect();
    if inputs.is_empty() {
        inputs.push(token_of_word(""));
    }
    expected_tokens(&inputs, layer_count, count)
        .into_iter()
        .map(|token| (token, text_of_token(token)))
        .collect()
}

/// The first `count` tokens that the model generates after the tokens of a
/// prompt.
pub fn expected_tokens(
    prompt: &[u32],
    layer_count: u32,
    count: u32,
) -> Vec<u32> {
    let mut previous_outputs = vec![0; layer_count as usize];
    let mut context = 0;
    let mut answer = Vec::new();
    let mut position = 0;
    while answer.len() < count as usize {
        let index = position as usize;
        let token = match prompt.get(index) {
            Some(token) => *token,
            None => answer[index - prompt.len()],
        };
        context = extend_context(context, token);
        let mut state = context;
        for (layer, previous_output) in (0..).zip(&mut previous_outputs) {
            state = run_layer(state, layer, position, *previous_output);
            *previous_output = state;
        }
        position += 1;
        if position as usize >= prompt.len() {
            answer.push(token_of_state(state));
        }
    }
    answer
}
