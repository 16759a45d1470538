//! The plain service counts each run, including runs whose response is lost or
//! late.

use std::time::Duration;

use async_io::block_on;
use chestnutreach_http::{Client, ClientError, ClientOptions};
use chestnutreach_standins::{
    plain::{PlainRecord, PlainResponse},
    record::Numbered,
    standin_thread::StandinThread,
};
use http_types::{Method, Request};

const TIMEOUT: Duration = Duration::from_secs(10);

async fn send(
    client: &Client,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, Vec<u8>), ClientError> {
    let mut request = Request::new(method, client.url(path).unwrap());
    request.set_body(body);
    for (name, value) in headers {
        request.insert_header(*name, *value);
    }
    let (response, body) = client.send(request, timeout).await?;
    Ok((response.status().into(), body))
}

#[test]
fn counts_runs_per_body() {
    let standin = StandinThread::plain().unwrap();
    let client = Client::new(standin.address(), ClientOptions::new());
    block_on(async {
        let mut runs = Vec::new();
        for body in ["receipt 1", "receipt 2", "receipt 1"] {
            let headers = [("x-request-id", body)];
            let sent = send(
                &client,
                Method::Post,
                "/receipts",
                &headers,
                body,
                TIMEOUT,
            );
            let (status, body) = sent.await.unwrap();
            assert_eq!(status, 200);
            let response: PlainResponse =
                serde_json::from_slice(&body).unwrap();
            assert_eq!(response.path, "/receipts");
            runs.push(response.run);
        }
        assert_eq!(runs, [1, 1, 2]);
        let sent = send(&client, Method::Post, "/fail", &[], "", TIMEOUT);
        assert_eq!(sent.await.unwrap().0, 500);
        let record = record(&client).await;
        let ids: Vec<&str> =
            record.iter().map(|r| r.entry.request_id.as_str()).collect();
        assert_eq!(ids, ["receipt 1", "receipt 2", "receipt 1", ""]);
    });
}

#[test]
fn call_that_times_out_is_counted() {
    let standin = StandinThread::plain().unwrap();
    let client = Client::new(standin.address(), ClientOptions::new());
    let short_timeout = Duration::from_millis(100);
    block_on(async {
        let headers = [("x-sleep-ms", "5000")];
        let sent =
            send(&client, Method::Put, "/a", &headers, "", short_timeout);
        let error = sent.await.unwrap_err();
        assert!(matches!(error, ClientError::Timeout { .. }));
        assert_eq!(record(&client).await.len(), 1);
    });
}

#[test]
fn call_whose_response_is_lost_is_counted() {
    let standin = StandinThread::plain().unwrap();
    let client = Client::new(standin.address(), ClientOptions::new());
    block_on(async {
        let faults = r#"{"lose_answers":true}"#;
        let sent = send(&client, Method::Put, "/faults", &[], faults, TIMEOUT);
        assert_eq!(sent.await.unwrap().0, 200);
        let sent = send(&client, Method::Get, "/a", &[], "", TIMEOUT);
        let error = sent.await.unwrap_err();
        assert!(matches!(error, ClientError::Lost { .. }), "{error:?}");
        assert_eq!(record(&client).await.len(), 1);
    });
}

async fn record(client: &Client) -> Vec<Numbered<PlainRecord>> {
    let sent = send(client, Method::Get, "/record", &[], "", TIMEOUT);
    let (_, body) = sent.await.unwrap();
    let text = String::from_utf8(body).unwrap();
    text.lines().map(|l| serde_json::from_str(l).unwrap()).collect()
}
