//! A request that was let in, as its handler gets it.

use std::{sync::Arc, time::Instant};

use chestnutreach_http::ReceivedRequest;
use chestnutreach_protocol::RequestId;

use crate::{
    terms::Terms,
    view::{AccountView, ServiceView},
};

/// What every handler gets.
pub(crate) struct Call {
    pub(crate) received: ReceivedRequest,
    pub(crate) account: Arc<AccountView>,
    pub(crate) service: Arc<ServiceView>,
    pub(crate) terms: Terms,
    pub(crate) request: RequestId,
    pub(crate) arrived: Instant,
}
