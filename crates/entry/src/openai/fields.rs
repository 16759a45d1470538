//! The parsed fields of a request.
//!
//! A field may be absent or null; the OpenAI API treats both the same. Fields
//! that are not listed here are forwarded to the engine without validation.

use std::{fmt, marker::PhantomData, slice};

use serde::{
    Deserialize, Deserializer,
    de::{IgnoredAny, MapAccess, Visitor, value::MapAccessDeserializer},
};
use serde_json::Value;

/// Body of a request to either endpoint.
#[derive(Deserialize)]
pub(super) struct Body {
    pub(super) model: Option<String>,
    pub(super) messages: Option<Vec<Object<Message>>>,
    pub(super) prompt: Option<Texts>,
    pub(super) max_tokens: Option<u32>,
    pub(super) max_completion_tokens: Option<u32>,
    pub(super) stream: Option<bool>,
    pub(super) stream_options: Option<Object<StreamOptions>>,
    pub(super) stop: Option<Texts>,
    pub(super) temperature: Option<f64>,
    pub(super) top_p: Option<f64>,
    pub(super) presence_penalty: Option<f64>,
    pub(super) frequency_penalty: Option<f64>,
    #[serde(rename = "seed")]
    pub(super) _seed: Option<i64>,
    #[serde(rename = "user")]
    pub(super) _user: Option<String>,
    pub(super) n: Option<u32>,
    pub(super) best_of: Option<u32>,
    pub(super) echo: Option<bool>,
    pub(super) suffix: Option<String>,
    pub(super) logprobs: Option<Value>,
    pub(super) top_logprobs: Option<u32>,
    pub(super) tools: Option<Vec<IgnoredAny>>,
    pub(super) functions: Option<Vec<IgnoredAny>>,
    pub(super) modalities: Option<Vec<String>>,
}

#[derive(Deserialize)]
pub(super) struct StreamOptions {
    pub(super) include_usage: Option<bool>,
}

#[derive(Deserialize)]
pub(super) struct Message {
    pub(super) role: Option<String>,
    pub(super) content: Option<Content>,
}

#[derive(Deserialize)]
#[serde(untagged, expecting = "expected a string or a list of parts")]
pub(super) enum Content {
    Text(String),
    Parts(Vec<Object<Part>>),
}

#[derive(Deserialize)]
pub(super) struct Part {
    #[serde(rename = "type")]
    pub(super) kind: Option<String>,
    pub(super) text: Option<String>,
}

/// One text or a list of texts.
#[derive(Deserialize)]
#[serde(untagged, expecting = "expected a string or a list of strings")]
pub(super) enum Texts {
    One(String),
    Many(Vec<String>),
}

impl Texts {
    pub(super) fn as_slice(&self) -> &[String] {
        match self {
            Texts::One(text) => slice::from_ref(text),
            Texts::Many(texts) => texts,
        }
    }
}

/// A value that must be a JSON object. A derived `Deserialize` alone would
/// also accept a list of the fields in order.
pub(super) struct Object<T>(pub(super) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Object<T>, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(
        self,
        map: A,
    ) -> Result<Object<T>, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(Object)
    }
}
