//! Short forms of long rows, for responses to other entries.
//!
//! A long row, such as a configuration with thousands of routes, is compressed.
//! If the receiver has the value before the last change, the compressed form
//! refers to that value, so that its length follows the change and not the
//! row: links of small VMs carry a change to many receivers in time.

use std::{
    collections::BTreeMap,
    io::{self, Read as _, Write as _},
};

use chestnutreach_site::StoreVersion;
use zstd::stream::{read::Decoder, write::Encoder};

use crate::table::RowChange;

/// Rows shorter than this are sent as they are.
pub const MIN_LONG_ROW_BYTES: usize = 4_096;
/// Limit on the length of a row that is read from a short form.
pub const MAX_ROW_BYTES: usize = 8 << 20;
/// The fastest level: small VMs have a small share of a core.
const LEVEL: i32 = 1;
/// Binary logarithm of the distance over which repetitions are found. It
/// covers a row and its base of `MAX_ROW_BYTES` each.
const MAX_WINDOW_LOG: u32 = 24;
const MIN_WINDOW_LOG: u32 = 16;

/// Short forms of the last versions of rows, each made once.
#[derive(Debug, Default)]
pub struct ShortRows {
    forms: BTreeMap<String, Vec<ShortForm>>,
}

/// A short form of one version of a row.
#[derive(Debug)]
struct ShortForm {
    version: StoreVersion,
    base: Option<StoreVersion>,
    bytes: Vec<u8>,
}

impl ShortRows {
    /// Starts without forms.
    pub fn new() -> ShortRows {
        ShortRows::default()
    }

    /// The short form of a row for receivers that have `base`; `None` if the
    /// row is short or deleted.
    pub fn short_form(
        &mut self,
        row: &RowChange,
        base: Option<&RowChange>,
    ) -> Option<&[u8]> {
        let value = row.value.as_deref()?;
        if value.len() < MIN_LONG_ROW_BYTES {
            return None;
        }
        let base_version = base.map(|base| base.version);
        let forms = self.forms.entry(row.key.clone()).or_default();
        forms.retain(|form| form.version == row.version);
        let known = forms.iter().position(|form| form.base == base_version);
        let at = match known {
            Some(at) => at,
            None => {
                let base_value = base.and_then(|base| base.value.as_deref());
                let bytes = compress(value, base_value.unwrap_or_default());
                let version = row.version;
                forms.push(ShortForm { version, base: base_version, bytes });
                forms.len() - 1
            }
        };
        Some(&forms[at].bytes)
    }
}

/// Compresses a value against a base, which may be empty.
///
/// # Panics
///
/// Panics if memory for the compressor cannot be allocated.
pub fn compress(value: &[u8], base: &[u8]) -> Vec<u8> {
    try_compress(value, base).expect("writes to memory do not fail")
}

fn try_compress(value: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let reach = (value.len() + base.len()).max(1);
    let window_log = reach.ilog2() + 1;
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.window_log(window_log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG))?;
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.include_checksum(true)?;
    encoder.set_pledged_src_size(Some(value.len() as u64))?;
    encoder.write_all(value)?;
    encoder.finish()
}

/// Reads a value that [`compress`] made with the same base.
///
/// # Errors
///
/// The bytes are no short form, are of another base, or the value is longer
/// than [`MAX_ROW_BYTES`].
pub fn try_decompress(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut decoder = Decoder::with_ref_prefix(bytes, base)?;
    decoder.window_log_max(MAX_WINDOW_LOG)?;
    let mut value = Vec::new();
    decoder.take(MAX_ROW_BYTES as u64 + 1).read_to_end(&mut value)?;
    if value.len() > MAX_ROW_BYTES {
        let message = format!("the row is longer than {MAX_ROW_BYTES} bytes");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(value)
}
