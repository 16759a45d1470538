//! One-dimensional tensors.
//!
//! Tensors are serialized from iterators, and deserialized texts borrow from
//! the message, so that a row allocates only the data that is kept.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer, Serialize, Serializer, de, ser::SerializeStruct,
};

use super::WireError;

/// Element type of a tensor.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Datatype {
    Uint32,
    Bytes,
}

/// A tensor to serialize.
pub(super) struct Column<I> {
    name: &'static str,
    datatype: Datatype,
    rows: usize,
    data: I,
}

impl<I: Iterator + Clone> Column<I> {
    pub(super) fn uint32(name: &'static str, rows: usize, data: I) -> Self {
        Column { name, datatype: Datatype::Uint32, rows, data }
    }

    pub(super) fn bytes(name: &'static str, rows: usize, data: I) -> Self {
        Column { name, datatype: Datatype::Bytes, rows, data }
    }
}

impl<I> Serialize for Column<I>
where
    I: Iterator + Clone,
    I::Item: Serialize,
{
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        let mut tensor = s.serialize_struct("Tensor", 4)?;
        tensor.serialize_field("name", self.name)?;
        tensor.serialize_field("shape", &[self.rows])?;
        tensor.serialize_field("datatype", &self.datatype)?;
        tensor.serialize_field("data", &Elements(&self.data))?;
        tensor.end()
    }
}

struct Elements<'a, I>(&'a I);

impl<I> Serialize for Elements<'_, I>
where
    I: Iterator + Clone,
    I::Item: Serialize,
{
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_seq(self.0.clone())
    }
}

/// A deserialized tensor.
#[derive(Deserialize)]
pub(super) struct Tensor<'a> {
    #[serde(borrow)]
    name: Cow<'a, str>,
    #[serde(borrow)]
    data: Vec<Element<'a>>,
}

impl<'a> Tensor<'a> {
    pub(super) fn number(&self, row: usize) -> Result<u32, WireError> {
        match &self.data[row] {
            Element::Number(number) => Ok(*number),
            Element::Text(_) => Err(self.error("is not UINT32")),
        }
    }

    pub(super) fn text(&self, row: usize) -> Result<&str, WireError> {
        match &self.data[row] {
            Element::Text(text) => Ok(text),
            Element::Number(_) => Err(self.error("is not BYTES")),
        }
    }

    fn error(&self, what: &str) -> WireError {
        WireError::new(format!("tensor {:?} {what}", self.name))
    }
}

/// The tensors of a message.
pub(super) struct Tensors<'a> {
    tensors: Vec<Tensor<'a>>,
    rows: usize,
}

impl<'a> Tensors<'a> {
    /// Creates the set of tensors, which must all have `rows` elements.
    pub(super) fn new(
        tensors: Vec<Tensor<'a>>,
        rows: usize,
    ) -> Result<Tensors<'a>, WireError> {
        for tensor in &tensors {
            let count = tensor.data.len();
            if count != rows {
                let what = format!("has {count} elements, not {rows}");
                return Err(tensor.error(&what));
            }
        }
        Ok(Tensors { tensors, rows })
    }

    /// Creates the set of tensors, which must have as many elements as the
    /// first tensor.
    pub(super) fn with_equal_rows(
        tensors: Vec<Tensor<'a>>,
    ) -> Result<Tensors<'a>, WireError> {
        let rows = tensors.first().map_or(0, |t| t.data.len());
        Tensors::new(tensors, rows)
    }

    pub(super) fn rows(&self) -> usize {
        self.rows
    }

    pub(super) fn find(&self, name: &str) -> Option<&Tensor<'a>> {
        self.tensors.iter().find(|t| t.name == name)
    }

    pub(super) fn require(
        &self,
        name: &str,
    ) -> Result<&Tensor<'a>, WireError> {
        let missing = || WireError::new(format!("no tensor {name:?}"));
        self.find(name).ok_or_else(missing)
    }
}

enum Element<'a> {
    Number(u32),
    Text(Cow<'a, str>),
}

impl<'de: 'a, 'a> Deserialize<'de> for Element<'a> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(ElementVisitor)
    }
}

struct ElementVisitor;

impl<'de> de::Visitor<'de> for ElementVisitor {
    type Value = Element<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string, or a number of 32 bits")
    }

    fn visit_u64<E: de::Error>(self, v: u64) -> Result<Element<'de>, E> {
        let number = u32::try_from(v).map_err(|_| {
            E::invalid_value(de::Unexpected::Unsigned(v), &self)
        })?;
        Ok(Element::Number(number))
    }

    fn visit_borrowed_str<E>(self, v: &'de str) -> Result<Element<'de>, E> {
        Ok(Element::Text(Cow::Borrowed(v)))
    }

    fn visit_str<E>(self, v: &str) -> Result<Element<'de>, E> {
        Ok(Element::Text(Cow::Owned(v.to_owned())))
    }
}
