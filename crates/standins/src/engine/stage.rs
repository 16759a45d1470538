//! The KV state of sequences, and how a step runs.
//!
//! A step is validated completely before any of its layers runs, so a rejected
//! step changes no state. An activation consists of a header, with the data of
//! the prompt that the last layer needs, and the hidden state of each
//! position.

use std::{
    collections::BTreeMap,
    ops::Range,
    time::{Duration, Instant},
};

use chestnutreach_engine::{
    SequenceError, SequenceId, SequenceOutput, SequenceStep, StepInput,
    StepOutput,
};

use super::{
    model::{extend_context, run_layer, text_of_token, token_of_state},
    options::EngineOptions,
    prefix_cache::PrefixCache,
    prompt::Prompt,
};

/// Bytes of an activation's header, which holds two 32-bit integers.
const HEADER_BYTES: usize = 8;
/// Bytes of the hidden state of one position.
const STATE_BYTES: usize = 8;

/// The layers that an engine has loaded, and the sequences in its memory.
#[derive(Debug)]
pub(super) struct Stage {
    layers: Range<u32>,
    layer_count: u32,
    cache_tokens: u64,
    sequence_idle: Duration,
    sequences: BTreeMap<SequenceId, Sequence>,
    sequence_tokens: u64,
    prefixes: PrefixCache,
}

/// A sequence in memory.
#[derive(Clone, Debug)]
struct Sequence {
    next_position: u32,
    last_run: Instant,
    /// Hash of the tokens so far; 0 on later stages.
    context: u64,
    /// Each layer's output at the previous position.
    previous_outputs: Vec<u64>,
    header: Header,
}

/// Data of a prompt that the last layer needs.
#[derive(Clone, Copy, Debug, Default)]
struct Header {
    prompt_tokens: u32,
    /// Token of the answer after which the engine stops; 0 for none.
    stop_after: u32,
}

/// Input of the first loaded layer, and the context after the input.
struct Inputs {
    header: Header,
    context: u64,
    states: Vec<u64>,
}

impl Stage {
    pub(super) fn new(options: &EngineOptions) -> Stage {
        Stage {
            layers: options.first_layer..options.end_layer,
            layer_count: options.layer_count,
            cache_tokens: options.cache_tokens,
            sequence_idle: Duration::from_millis(options.sequence_idle_ms),
            sequences: BTreeMap::new(),
            sequence_tokens: 0,
            prefixes: PrefixCache::default(),
        }
    }

    pub(super) fn layers(&self) -> Range<u32> {
        self.layers.clone()
    }

    pub(super) fn sequence_count(&self) -> usize {
        self.sequences.len()
    }

    pub(super) fn used_tokens(&self) -> u64 {
        self.sequence_tokens + self.prefixes.used_tokens()
    }

    /// Replaces the loaded layers and drops every sequence.
    pub(super) fn replace_layers(&mut self, layers: Range<u32>) {
        self.layers = layers;
        self.sequences.clear();
        self.sequence_tokens = 0;
        self.prefixes = PrefixCache::default();
    }

    /// Drops a sequence. Returns whether the sequence was in memory.
    pub(super) fn release(&mut self, id: SequenceId) -> bool {
        let Some(sequence) = self.sequences.remove(&id) else {
            return false;
        };
        self.sequence_tokens -= u64::from(sequence.next_position);
        true
    }

    /// Runs the loaded layers on a step.
    pub(super) fn run(
        &mut self,
        step: &SequenceStep,
    ) -> Result<SequenceOutput, SequenceError> {
        let mut sequence = self.sequence_for(step)?;
        let inputs = self.inputs(step, &sequence)?;
        let span = inputs.states.len() as u32;
        self.reserve(step.sequence, span)?;
        let is_prompt = step.position == 0;
        let cached_tokens =
            if is_prompt { self.cache_prompt(&inputs.states) } else { 0 };
        sequence.last_run = Instant::now();
        sequence.context = inputs.context;
        sequence.header = inputs.header;
        let states = sequence.run(self.layers.clone(), inputs.states);
        let output = self.output(&sequence, &states);
        self.sequences.insert(step.sequence, sequence);
        let prompt_tokens = match step.input {
            StepInput::Prompt { .. } => inputs.header.prompt_tokens,
            _ => 0,
        };
        Ok(SequenceOutput { span, prompt_tokens, cached_tokens, output })
    }

    /// Returns the sequence of a step, new if it isn't in memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the step doesn't start at the sequence's next
    /// position.
    fn sequence_for(
        &self,
        step: &SequenceStep,
    ) -> Result<Sequence, SequenceError> {
        let known = self.sequences.get(&step.sequence);
        let next = known.map_or(0, |sequence| sequence.next_position);
        if step.position != next {
            return Err(SequenceError::OutOfOrder(format!(
                "sequence {}: the step starts at position {}, expected {next}",
                step.sequence, step.position
            )));
        }
        Ok(known.cloned().unwrap_or_else(|| Sequence::new(&self.layers)))
    }

    fn inputs(
        &self,
        step: &SequenceStep,
        sequence: &Sequence,
    ) -> Result<Inputs, SequenceError> {
        let is_first = self.layers.start == 0;
        match (&step.input, step.position, is_first) {
            (
                StepInput::Prompt { request_json, delivered_tokens },
                0,
                true,
            ) => prompt_inputs(request_json, delivered_tokens),
            (StepInput::Token(token), 1.., true) => {
                let context = extend_context(sequence.context, *token);
                let states = vec![context];
                Ok(Inputs { header: sequence.header, context, states })
            }
            (StepInput::Activation { span, bytes }, _, false) => {
                activation_inputs(*span, bytes)
            }
            _ => Err(SequenceError::BadRequest(format!(
                "unexpected kind of input at layer {}, position {}",
                self.layers.start, step.position
            ))),
        }
    }

    /// Reserves memory for positions, evicting idle sequences and cached
    /// prefixes if necessary.
    fn reserve(
        &mut self,
        id: SequenceId,
        span: u32,
    ) -> Result<(), SequenceError> {
        let span = u64::from(span);
        if self.sequence_tokens + span > self.cache_tokens {
            self.release_idle(id);
        }
        let used = self.sequence_tokens + span;
        let Some(free) = self.cache_tokens.checked_sub(used) else {
            return Err(SequenceError::NoMemory);
        };
        self.prefixes.shrink_to(free);
        self.sequence_tokens = used;
        Ok(())
    }

    /// Drops the sequences that have been idle for too long, except for one.
    fn release_idle(&mut self, kept: SequenceId) {
        let limit = self.sequence_idle;
        let is_idle =
            |sequence: &Sequence| sequence.last_run.elapsed() >= limit;
        let others = self.sequences.iter().filter(|(id, _)| **id != kept);
        let idle: Vec<SequenceId> =
            others.filter(|(_, s)| is_idle(s)).map(|(id, _)| *id).collect();
        for id in idle {
            self.release(id);
        }
    }

    /// Caches a prompt. Returns how many of its positions were cached already.
    fn cache_prompt(&mut self, states: &[u64]) -> u32 {
        let cached_tokens = self.prefixes.lookup(states);
        self.prefixes.insert(states);
        self.prefixes.shrink_to(self.cache_tokens - self.sequence_tokens);
        cached_tokens
    }

    fn output(&self, sequence: &Sequence, states: &[u64]) -> StepOutput {
        if self.layers.end < self.layer_count {
            return StepOutput::Activation(encode_activation(
                sequence.header,
                states,
            ));
        }
        let last = states.last().expect("a step covers at least one position");
        let token = token_of_state(*last);
        let text = text_of_token(token);
        StepOutput::Token { token, text, is_stop: sequence.is_stop() }
    }
}

impl Sequence {
    fn new(layers: &Range<u32>) -> Sequence {
        Sequence {
            next_position: 0,
            last_run: Instant::now(),
            context: 0,
            previous_outputs: vec![0; layers.len()],
            header: Header::default(),
        }
    }

    /// Returns the output of the layers at each position.
    fn run(&mut self, layers: Range<u32>, mut states: Vec<u64>) -> Vec<u64> {
        for state in &mut states {
            for (layer, previous) in
                layers.clone().zip(&mut self.previous_outputs)
            {
                *state =
                    run_layer(*state, layer, self.next_position, *previous);
                *previous = *state;
            }
            self.next_position += 1;
        }
        states
    }

    /// Whether the token generated after the positions so far ends the answer.
    fn is_stop(&self) -> bool {
        let Header { prompt_tokens, stop_after } = self.header;
        let ordinal = (self.next_position + 1).saturating_sub(prompt_tokens);
        stop_after > 0 && ordinal >= stop_after
    }
}

fn prompt_inputs(
    request_json: &[u8],
    delivered_tokens: &[u32],
) -> Result<Inputs, SequenceError> {
    let prompt = Prompt::parse(request_json).map_err(|e| {
        SequenceError::BadRequest(format!("the request can't be parsed: {e}"))
    })?;
    let header = Header {
        prompt_tokens: prompt.tokens.len() as u32,
        stop_after: prompt.stop_after.unwrap_or(0),
    };
    let mut context = 0;
    let mut states = Vec::new();
    for token in prompt.tokens.iter().chain(delivered_tokens) {
        context = extend_context(context, *token);
        states.push(context);
    }
    Ok(Inputs { header, context, states })
}

fn activation_inputs(
    span: u32,
    bytes: &[u8],
) -> Result<Inputs, SequenceError> {
    let expected = HEADER_BYTES + span as usize * STATE_BYTES;
    if span == 0 || bytes.len() != expected {
        return Err(SequenceError::BadRequest(format!(
            "{} bytes of activation for {span} positions, expected {expected}",
            bytes.len()
        )));
    }
    let (header, states) = bytes.split_at(HEADER_BYTES);
    let (prompt_tokens, stop_after) = header.split_at(HEADER_BYTES / 2);
    let header = Header {
        prompt_tokens: read_u32(prompt_tokens),
        stop_after: read_u32(stop_after),
    };
    let states = states.chunks_exact(STATE_BYTES).map(read_u64).collect();
    Ok(Inputs { header, context: 0, states })
}

fn encode_activation(header: Header, states: &[u64]) -> Vec<u8> {
    let length = HEADER_BYTES + states.len() * STATE_BYTES;
    let mut bytes = Vec::with_capacity(length);
    bytes.extend(header.prompt_tokens.to_le_bytes());
    bytes.extend(header.stop_after.to_le_bytes());
    for state in states {
        bytes.extend(state.to_le_bytes());
    }
    bytes
}

fn read_u32(bytes: &[u8]) -> u32 {
    u32::from_le_bytes(bytes.try_into().expect("four bytes"))
}

fn read_u64(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes.try_into().expect("eight bytes"))
}
