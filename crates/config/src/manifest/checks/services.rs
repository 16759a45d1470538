//! Validation of services.

use super::{Checker, FirstUsers};
use crate::manifest::{Service, ServiceKind, schema::*};

/// URL paths that entries handle themselves.
const RESERVED_PATHS: &[&str] = &["/v1"];

impl Checker<'_> {
    pub(super) fn check_services(&mut self) {
        for (name, service) in &self.manifest.services {
            let heading = format!("{SERVICE_KEYWORD} {name}");
            self.check_deadlines(&heading, service);
        }
        self.check_models();
        self.check_plain_paths();
    }

    fn check_deadlines(&mut self, heading: &str, service: &Service) {
        let max_ms = service.max_deadline_ms;
        let limited = [
            (DEFAULT_DEADLINE_MS.key, service.default_deadline_ms),
            (FIRST_TOKEN_OBJECTIVE_MS.key, service.first_token_objective_ms),
        ];
        for (key, value_ms) in limited {
            if value_ms > max_ms {
                let message = format!(
                    "{value_ms} ms is longer than max-deadline-ms, \
                     {max_ms} ms",
                );
                self.report(heading, key, message);
            }
        }
    }

    fn check_models(&mut self) {
        let mut users = FirstUsers::default();
        for (name, service) in &self.manifest.services {
            let ServiceKind::Language { model, .. } = &service.kind else {
                continue;
            };
            if let Some(other) = users.insert(model, name) {
                let heading = format!("{SERVICE_KEYWORD} {name}");
                let message =
                    format!("{model} is also the model of [service {other}]");
                self.report(&heading, MODEL.key, message);
            }
        }
    }

    fn check_plain_paths(&mut self) {
        let mut checked: Vec<(&str, &str)> = Vec::new();
        for (name, service) in &self.manifest.services {
            let ServiceKind::Plain { path } = &service.kind else {
                continue;
            };
            self.check_plain_path(name, path, &checked);
            checked.push((name, path));
        }
    }

    fn check_plain_path(
        &mut self,
        name: &str,
        path: &str,
        checked: &[(&str, &str)],
    ) {
        let heading = format!("{SERVICE_KEYWORD} {name}");
        for reserved in RESERVED_PATHS {
            if overlaps(path, reserved) {
                let message =
                    format!("{path} overlaps {reserved}, which is reserved");
                self.report(&heading, PATH_PREFIX.key, message);
            }
        }
        for (other, other_path) in checked {
            if overlaps(path, other_path) {
                let message = format!(
                    "{path} overlaps {other_path} of [service {other}]",
                );
                self.report(&heading, PATH_PREFIX.key, message);
            }
        }
    }
}

/// Whether the paths are equal or one is a prefix of the other.
fn overlaps(a: &str, b: &str) -> bool {
    is_under(a, b) || is_under(b, a)
}

fn is_under(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
