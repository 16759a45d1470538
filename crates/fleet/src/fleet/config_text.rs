//! Settings of a fleet's daemons, and its manifest.

use std::fmt::Write as _;

use chestnutreach_config::key_digest;

use super::{ACCOUNTS, DATA_CENTRES, Daemon, Fleet, Platform, side_name};

impl Fleet {
    pub(super) fn settings(
        &self,
        role: &str,
        vm: &str,
        daemon: Daemon,
        sections: &str,
    ) -> String {
        let Platform { table, objects, vm_list } = self.platform;
        let Daemon { inner, ops, control } = daemon;
        format!(
            "{}role = {role}\nvm = {vm}\ndata-centre = {}\n\
             inner-address = {inner}\nops-address = {ops}\n\
             control-address = {control}\n\n\
             {}level = {}\n\n\
             {}\n\
             {}table-address = {table}\nobject-address = {objects}\n\
             vm-list-address = {vm_list}\n\n{sections}",
            self.section("node"),
            DATA_CENTRES[0],
            self.section("log"),
            self.plan.log_level,
            self.section("links"),
            self.section("platform"),
        )
    }

    /// Header and planned settings of a section.
    pub(super) fn section(&self, name: &str) -> String {
        let mut text = format!("[{name}]\n");
        for (key, value) in self.plan.settings.get(name).into_iter().flatten()
        {
            let _ = writeln!(text, "{key} = {value}");
        }
        text
    }

    /// The fleet's manifest.
    pub fn manifest_text(&self) -> String {
        let mut text = format!(
            "[deployment]\nname = kaolack-small\n\
             recovery-weight-percent = 20\n\n\
             [accelerator a40]\nprice-micros-per-hour = 1100000\n\
             prompt-tokens-per-s = 1000000\noutput-tokens-per-s = 100000\n\n\
             [service desk-llm]\nkind = language\nmodel = desk-llm\n\
             layer-count = {}\nmax-context-tokens = 16384\n\
             default-deadline-ms = 20000\nmax-deadline-ms = 60000\n\
             objective-per-10000 = 9950\nfirst-token-objective-ms = 900\n\n",
            self.plan.layer_count
        );
        if self.plan.plain_servers > 0 {
            text.push_str(
                "[service ledger-app]\nkind = plain\npath = /ledger-app\n\
                 default-deadline-ms = 5000\nmax-deadline-ms = 30000\n\
                 objective-per-10000 = 9990\n\
                 first-token-objective-ms = 500\n\n",
            );
        }
        self.write_data_centres(&mut text);
        self.write_accounts(&mut text);
        self.write_servers(&mut text);
        text
    }

    fn write_data_centres(&self, text: &mut String) {
        for data_centre in DATA_CENTRES {
            let _ = write!(
                text,
                "[data-centre {data_centre}]\nregion = kaolack\n\n"
            );
        }
        for (at, a) in DATA_CENTRES.iter().enumerate() {
            for b in &DATA_CENTRES[at + 1..] {
                let _ = write!(
                    text,
                    "[path {a} {b}]\nlatency-us = 200\n\
                     bandwidth-mbit-per-s = 10000\n\n"
                );
            }
        }
    }

    fn write_accounts(&self, text: &mut String) {
        let services = if self.plan.plain_servers > 0 {
            "desk-llm, ledger-app"
        } else {
            "desk-llm"
        };
        for (name, key, weight) in ACCOUNTS {
            let _ = write!(
                text,
                "[account {name}]\nkey-digests = {}\nweight = {weight}\n\
                 services = {services}\n\n",
                key_digest(key)
            );
        }
    }

    fn write_servers(&self, text: &mut String) {
        for (at, server) in self.sides.keys().enumerate() {
            let (first, end) = self.layers(server);
            let is_plain = end == 0;
            let service = if is_plain { "ledger-app" } else { "desk-llm" };
            let _ = write!(
                text,
                "[backend-server {server}]\nservice = {service}\n\
                 data-centre = {}\nvm = {}\nside-address = {}\n\
                 max-running = {}\n",
                DATA_CENTRES[at % DATA_CENTRES.len()],
                side_name(server),
                self.side_address(server),
                self.plan.max_running,
            );
            if !is_plain {
                let _ = write!(
                    text,
                    "accelerator = a40\nfirst-layer = {first}\n\
                     end-layer = {end}\ncache-tokens = 1000000\n\
                     checks-fencing = yes\n"
                );
            }
            text.push('\n');
        }
    }
}
