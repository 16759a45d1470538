//! An authenticated and admitted request.

use std::{sync::Arc, time::Instant};

use chestnutreach_http::ReceivedRequest;
use chestnutreach_protocol::RequestId;

use crate::{
    request_options::RequestOptions,
    view::{AccountView, ServiceView},
};

/// An authenticated and admitted request, as passed to its handler.
pub(crate) struct Call {
    pub(crate) received: ReceivedRequest,
    pub(crate) account: Arc<AccountView>,
    pub(crate) service: Arc<ServiceView>,
    pub(crate) options: RequestOptions,
    pub(crate) request: RequestId,
    pub(crate) arrived: Instant,
}
