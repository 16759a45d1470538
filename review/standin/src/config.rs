//! The operator's configuration of a small deployment.

pub const KEY_ONE: &str = "n2ctnfzs989anu6wsjnb";
pub const KEY_TWO: &str = "w7pq1mzs4x0anu6wtr5c";

/// Routes: `/st/` resumable streams, `/lk/` idempotent, `/on/` not idempotent.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, prefix: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"desk.example\",\"prefix\":\
             \"{prefix}\",\"priority\":1,\"public\":false,{rest}}}"
        )
    };
    let routes = [
        route(
            "r-st",
            "/st/",
            "\"kind\":\"streaming\",\"timeout-ms\":20000,\
             \"target-latency-ms\":500,\"service\":\"desk\",\
             \"max-attempts\":2,\"sticky\":true,\"resumable\":true,\
             \"gap-target-ms\":200",
        ),
        route(
            "r-lk",
            "/lk/",
            "\"kind\":\"idempotent\",\"timeout-ms\":1500,\
             \"target-latency-ms\":300,\"service\":\"ledger\",\
             \"max-attempts\":2",
        ),
        route(
            "r-on",
            "/on/",
            "\"kind\":\"non_idempotent\",\"timeout-ms\":1500,\
             \"target-latency-ms\":300,\"service\":\"ledger\",\
             \"max-attempts\":2",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"desk\",\"health-path\":\"/health\",\
         \"max-connections\":1138,\"engine\":{{\"slots\":192,\"stride\":2,\
         \"step_ms\":20.0,\"per_seq_ms\":0.004,\"context_per_k\":0.005,\
         \"read_per_s\":196000.0,\"pairs_per_m\":0.166,\"chunk\":512,\
         \"usual\":{{\"prompt\":760,\"answer\":168}},\"report_lag_ms\":200.0,\
         \"layers\":4,\"layer-mb\":1750,\"kv-token-bytes\":590000,\
         \"activation-bytes\":29500,\"link-mbps\":480000,\"pipe-mbps\":13000,\
         \"models\":[{{\"name\":\"m\",\"load-s\":0.3}}],\
         \"kinds\":[{{\"name\":\"card\",\"mb\":72000,\"pace\":1.4,\
         \"read-x\":1.0}}]}}}},\
         {{\"name\":\"ledger\",\"health-path\":\"/health\",\
         \"max-connections\":110}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":1048576,\
         \"header-timeout-ms\":5000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"t-one\",\"api-keys\":[\"{KEY_ONE}\"]}},\
         {{\"name\":\"t-two\",\"api-keys\":[\"{KEY_TWO}\"]}}]}}",
        routes.join(",")
    )
}
