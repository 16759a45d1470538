//! The writes that create a generation.

use serde::{Deserialize, Serialize};

use super::{Accepted, Head};
use crate::{
    hex,
    table::{Condition, Write},
};

/// Key of the head row.
pub(super) const HEAD_KEY: &str = "manifest/head";

/// Row of an accepted submission.
#[derive(Deserialize, Serialize)]
pub(super) struct SubmissionRow {
    pub(super) generation: u64,
    #[serde(with = "hex::digest")]
    pub(super) root: [u8; 32],
}

/// The transaction of a submission: writes of the head row and of the
/// submission's row.
pub(super) struct Change {
    condition: Condition,
    pub(super) head: Head,
    pub(super) token: String,
}

impl Change {
    /// Creates the change that follows `base`, the version and content of the
    /// head row; none before the first generation.
    pub(super) fn new(
        base: Option<(u64, Head)>,
        submission: &str,
        root: [u8; 32],
    ) -> Change {
        let (condition, generation, parent_submission) = match base {
            None => (Condition::Absent, 1, None),
            Some((version, head)) => {
                let condition = Condition::Version(version);
                (condition, head.generation + 1, Some(head.submission))
            }
        };
        let submission = submission.to_owned();
        let head = Head { generation, submission, parent_submission, root };
        let token = request_token(&head);
        Change { condition, head, token }
    }

    pub(super) fn accepted(&self) -> Accepted {
        Accepted { generation: self.head.generation }
    }

    pub(super) fn writes(&self) -> Vec<Write> {
        let Head { generation, root, .. } = self.head;
        let head = Write {
            key: HEAD_KEY.to_owned(),
            value: Some(encode(&self.head)),
            condition: self.condition,
        };
        let submission = Write {
            key: submission_key(&self.head.submission),
            value: Some(encode(&SubmissionRow { generation, root })),
            condition: Condition::Absent,
        };
        vec![head, submission]
    }
}

/// Derives the request token from the writes: a repeat by a new process counts
/// as the same transaction.
fn request_token(head: &Head) -> String {
    let digest = blake3::hash(&encode(head));
    hex::encode(&digest.as_bytes()[..16])
}

/// Key of the row of a submission.
pub(super) fn submission_key(submission: &str) -> String {
    format!("manifest/submission/{submission}")
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain fields always serialize")
}
