//! Reporting of each call's result, for metrics.

use std::{fmt, sync::Arc};

use super::errors::TableError;

/// A kind of call to the table service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableCall {
    /// Reads rows.
    Read,
    /// Writes rows.
    Write,
}

/// Result of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The call was carried out.
    Done,
    /// A condition failed.
    Conflict,
    /// The call was not carried out.
    Failed,
    /// The call may have been carried out.
    Unknown,
}

impl CallResult {
    fn of<T>(result: &Result<T, TableError>) -> CallResult {
        match result {
            Ok(_) => CallResult::Done,
            Err(TableError::Conflict { .. }) => CallResult::Conflict,
            Err(TableError::Ambiguous { .. }) => CallResult::Unknown,
            Err(TableError::Unavailable { .. })
            | Err(TableError::Protocol { .. }) => CallResult::Failed,
        }
    }
}

type Callback = dyn Fn(TableCall, CallResult) + Send + Sync;

/// Optional callback that receives the result of each call.
#[derive(Clone, Default)]
pub(super) struct Observer {
    callback: Option<Arc<Callback>>,
}

impl Observer {
    pub(super) fn new(
        callback: impl Fn(TableCall, CallResult) + Send + Sync + 'static,
    ) -> Observer {
        Observer { callback: Some(Arc::new(callback)) }
    }

    /// Reports a call to the callback and returns its result unchanged.
    pub(super) fn record<T>(
        &self,
        call: TableCall,
        result: Result<T, TableError>,
    ) -> Result<T, TableError> {
        if let Some(callback) = &self.callback {
            callback(call, CallResult::of(&result));
        }
        result
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_set = self.callback.is_some();
        f.debug_struct("Observer").field("is_set", &is_set).finish()
    }
}
