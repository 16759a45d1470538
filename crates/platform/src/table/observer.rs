//! Who is told of each call, to count it.

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

/// What became of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// It was done.
    Done,
    /// A condition did not hold.
    Conflict,
    /// It was not done.
    Failed,
    /// It may have been done.
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

type Tell = dyn Fn(TableCall, CallResult) + Send + Sync;

/// Told of each call; nobody unless set.
#[derive(Clone, Default)]
pub(super) struct Observer {
    tell: Option<Arc<Tell>>,
}

impl Observer {
    pub(super) fn new(
        tell: impl Fn(TableCall, CallResult) + Send + Sync + 'static,
    ) -> Observer {
        Observer { tell: Some(Arc::new(tell)) }
    }

    /// Tells of a call and hands its result on.
    pub(super) fn note<T>(
        &self,
        call: TableCall,
        result: Result<T, TableError>,
    ) -> Result<T, TableError> {
        if let Some(tell) = &self.tell {
            tell(call, CallResult::of(&result));
        }
        result
    }
}

impl fmt::Debug for Observer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_set = self.tell.is_some();
        f.debug_struct("Observer").field("is_set", &is_set).finish()
    }
}
