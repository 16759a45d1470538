//! A small JSON parser.

use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq)]
pub enum Json {
    #[default]
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&NULL),
            _ => &NULL,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

pub fn parse(text: &str) -> Option<Json> {
    let mut parser = Parser { rest: text.as_bytes() };
    parser.value()
}

struct Parser<'a> {
    rest: &'a [u8],
}

impl Parser<'_> {
    fn skip(&mut self) {
        while let Some((b' ' | b'\n' | b'\r' | b'\t', rest)) =
            self.rest.split_first()
        {
            self.rest = rest;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.skip();
        match self.rest.split_first() {
            Some((first, rest)) if *first == byte => {
                self.rest = rest;
                true
            }
            _ => false,
        }
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.rest.first()? {
            b'{' => {
                self.eat(b'{');
                let mut table = BTreeMap::new();
                while !self.eat(b'}') {
                    let name = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    table.insert(name, self.value()?);
                    self.eat(b',');
                }
                Some(Json::Table(table))
            }
            b'[' => {
                self.eat(b'[');
                let mut list = Vec::new();
                while !self.eat(b']') {
                    list.push(self.value()?);
                    self.eat(b',');
                }
                Some(Json::List(list))
            }
            b'"' => self.string().map(Json::Text),
            _ => {
                let end = self
                    .rest
                    .iter()
                    .position(|b| b",]} \n\r\t".contains(b))
                    .unwrap_or(self.rest.len());
                let word = std::str::from_utf8(&self.rest[..end]).ok()?;
                self.rest = &self.rest[end..];
                match word {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    _ => word.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if !self.eat(b'"') {
            return None;
        }
        let mut out = Vec::new();
        loop {
            let (first, rest) = self.rest.split_first()?;
            self.rest = rest;
            match first {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let (escaped, rest) = self.rest.split_first()?;
                    self.rest = rest;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        other => out.push(*other),
                    }
                }
                byte => out.push(*byte),
            }
        }
    }
}

/// Base64 of some bytes.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] =
        b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..part.len()].copy_from_slice(part);
        let word = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for at in 0..4 {
            let index = (word >> (18 - 6 * at)) & 63;
            match at <= part.len() {
                true => out.push(ALPHABET[index as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
