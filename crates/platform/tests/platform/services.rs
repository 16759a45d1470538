//! The table, object and VM list clients against their stand-ins.

use std::{
    collections::BTreeMap,
    io::{Read as _, Write as _},
    net::{Ipv4Addr, TcpListener},
    sync::Arc,
    thread,
    time::Duration,
};

use chestnutreach_platform::{
    ObjectClient, TableClient, VmListClient,
    table::{CallResult, Condition, Row, TableCall, TableError, Write},
    vm_list::{VmEntry, VmState},
};
use chestnutreach_standins::{
    closed_address,
    platform::{Down, FaultSettings, Faults, serve_vm_list},
};
use http_types::Method;
use rstest::rstest;

use crate::support::{CALL_TIMEOUT, call, listen, run};

fn write(key: &str, value: Option<&str>, condition: Condition) -> Write {
    let value = value.map(|v| v.as_bytes().to_vec());
    Write { key: key.to_owned(), value, condition }
}

fn row(version: u64, value: &str) -> Row {
    Row { version, value: value.as_bytes().to_vec() }
}

/// A write to the row "a", which has version 2.
struct WriteCase {
    write: Write,
    expected: Result<(), TableError>,
    remaining: Option<Row>,
}

#[rstest]
#[case::any(WriteCase {
    write: write("a", Some("3"), Condition::Any),
    expected: Ok(()),
    remaining: Some(row(3, "3")),
})]
#[case::version(WriteCase {
    write: write("a", Some("3"), Condition::Version(2)),
    expected: Ok(()),
    remaining: Some(row(3, "3")),
})]
#[case::old_version(WriteCase {
    write: write("a", Some("3"), Condition::Version(1)),
    expected: Err(TableError::Conflict { failed: vec![1] }),
    remaining: Some(row(2, "2")),
})]
#[case::present(WriteCase {
    write: write("a", Some("3"), Condition::Absent),
    expected: Err(TableError::Conflict { failed: vec![1] }),
    remaining: Some(row(2, "2")),
})]
#[case::delete(WriteCase {
    write: write("a", None, Condition::Version(2)),
    expected: Ok(()),
    remaining: None,
})]
fn a_failed_condition_fails_all_writes_of_a_transaction(
    #[case] case: WriteCase,
) {
    run(|platform| async move {
        let table = platform.table();
        let first = write("a", Some("1"), Condition::Absent);
        table.write(first, "t1").await.unwrap();
        let second = write("a", Some("2"), Condition::Version(1));
        table.write(second, "t2").await.unwrap();
        let other = write("b", Some("x"), Condition::Absent);
        let both = vec![other, case.write];
        let result = table.transact(both, "t3").await;
        assert_eq!(result, case.expected);
        assert_eq!(table.read("a").await, Ok(case.remaining));
        let has_other = table.read("b").await.unwrap().is_some();
        assert_eq!(has_other, result.is_ok());
    });
}

#[test]
fn repeats_with_the_same_token_are_applied_once() {
    run(|platform| async move {
        let table = platform.table();
        let add = write("a", Some("1"), Condition::Any);
        for _ in 0..3 {
            table.write(add.clone(), "t").await.unwrap();
        }
        assert_eq!(table.read("a").await, Ok(Some(row(1, "1"))));
        let other = write("a", Some("2"), Condition::Any);
        let refused = table.write(other, "t").await;
        assert!(matches!(refused, Err(TableError::Protocol { .. })));
    });
}

#[test]
fn all_rows_are_read_if_the_service_returns_them_in_several_responses() {
    run(|platform| async move {
        let table = platform.table();
        let keys: Vec<_> = (0..230).map(|n| format!("k{n}")).collect();
        let rows: BTreeMap<_, _> =
            keys.iter().map(|key| (key.clone(), row(1, key))).collect();
        for (number, chunk) in keys.chunks(100).enumerate() {
            let writes = chunk
                .iter()
                .map(|key| write(key, Some(key), Condition::Absent))
                .collect();
            table.transact(writes, &format!("t{number}")).await.unwrap();
        }
        let mut requested = keys;
        requested.push("missing".to_owned());
        assert_eq!(table.read_many(&requested).await, Ok(rows));
    });
}

struct FaultCase {
    faults: FaultSettings,
    has_response: bool,
    is_ambiguous: bool,
    is_throttled: bool,
}

#[rstest]
#[case::down(FaultCase {
    faults: FaultSettings {
        down: Down::Unavailable,
        ..FaultSettings::default()
    },
    has_response: true,
    is_ambiguous: false,
    is_throttled: false,
})]
#[case::closed(FaultCase {
    faults: FaultSettings { down: Down::Closed, ..FaultSettings::default() },
    has_response: false,
    is_ambiguous: true,
    is_throttled: false,
})]
#[case::lost_response(FaultCase {
    faults: FaultSettings { lose_answers: 1, ..FaultSettings::default() },
    has_response: false,
    is_ambiguous: true,
    is_throttled: false,
})]
#[case::error(FaultCase {
    faults: FaultSettings {
        error_permille: 1000,
        ..FaultSettings::default()
    },
    has_response: true,
    is_ambiguous: true,
    is_throttled: false,
})]
#[case::throttled(FaultCase {
    faults: FaultSettings { max_writes_per_s: 1, ..FaultSettings::default() },
    has_response: true,
    is_ambiguous: false,
    is_throttled: true,
})]
fn an_error_states_whether_the_write_may_have_been_applied(
    #[case] case: FaultCase,
) {
    run(|platform| async move {
        let table = platform.table();
        let first = write("a", Some("1"), Condition::Absent);
        table.write(first, "t1").await.unwrap();
        platform.set_faults(case.faults);
        let second = write("b", Some("1"), Condition::Absent);
        let error = table.write(second, "t2").await.unwrap_err();
        let has_response = error.to_string().contains("status");
        assert_eq!(has_response, case.has_response, "{error}");
        match error {
            TableError::Ambiguous { .. } => assert!(case.is_ambiguous),
            TableError::Unavailable { is_throttled, .. } => {
                assert!(!case.is_ambiguous);
                assert_eq!(is_throttled, case.is_throttled);
            }
            other => panic!("{other}"),
        }
    });
}

#[test]
fn the_callback_receives_the_result_of_each_call() {
    run(|platform| async move {
        let (sender, observed) = async_channel::unbounded();
        let address = platform.table_address();
        let table = TableClient::new(address, CALL_TIMEOUT).on_call(
            move |call, result| {
                sender.try_send((call, result)).unwrap();
            },
        );
        let add = || write("a", Some("1"), Condition::Absent);
        table.write(add(), "t1").await.unwrap();
        table.write(add(), "t2").await.unwrap_err();
        table.read("a").await.unwrap();
        platform.set_faults(FaultSettings {
            lose_answers: 1,
            ..FaultSettings::default()
        });
        let other = write("b", Some("1"), Condition::Any);
        table.write(other, "t3").await.unwrap_err();
        let expected = [
            (TableCall::Write, CallResult::Done),
            (TableCall::Write, CallResult::Conflict),
            (TableCall::Read, CallResult::Done),
            (TableCall::Write, CallResult::Unknown),
        ];
        for call in expected {
            assert_eq!(observed.try_recv(), Ok(call));
        }
        assert!(observed.is_empty());
    });
}

#[test]
fn a_write_over_a_refused_connection_is_not_applied() {
    run(|_| async move {
        let table = TableClient::new(closed_address(), CALL_TIMEOUT);
        let add = write("a", Some("1"), Condition::Any);
        let error = table.write(add, "t").await.unwrap_err();
        assert!(matches!(error, TableError::Unavailable { .. }), "{error}");
    });
}

/// The stand-in shares the message types with the client, so it cannot detect
/// a wrong encoding. This test compares the JSON text with the documented
/// format.
#[test]
fn requests_have_the_documented_format() {
    use chestnutreach_platform::wire::*;
    let text = r#"{"TransactItems":[{"Put":{"TableName":"t","Item":{"#
        .to_owned()
        + r#""pk":{"S":"a"},"v":{"B":"eA=="},"ver":{"N":"2"}},"#
        + r#""ConditionExpression":"ver = :ver","#
        + r#""ExpressionAttributeValues":{":ver":{"N":"1"}}}}],"#
        + r#""ClientRequestToken":"token"}"#;
    let request: TransactWriteItemsRequest =
        serde_json::from_str(&text).unwrap();
    let TransactWriteItem::Put(put) = &request.transact_items[0] else {
        panic!("{request:?}");
    };
    assert_eq!(put.item["v"], AttributeValue::B("eA==".to_owned()));
    assert_eq!(serde_json::to_string(&request).unwrap(), text);
}

#[test]
fn an_object_is_stored_under_its_key() {
    run(|platform| async move {
        let objects = platform.objects();
        assert_eq!(objects.read("a/b").await, Ok(None));
        objects.put("a/b", b"body").await.unwrap();
        assert_eq!(objects.read("a/b").await, Ok(Some(b"body".to_vec())));
        assert!(objects.put("a?b", b"").await.is_err());
        let other = ObjectClient::new(closed_address(), CALL_TIMEOUT);
        assert!(other.read("a/b").await.is_err());
    });
}

/// The timeout of a call limits the wait for a response and pauses in it, not
/// the length of an object.
#[test]
fn an_object_that_takes_longer_than_the_timeout_is_read() {
    const TIMEOUT: Duration = Duration::from_millis(400);
    const PAUSE: Duration = Duration::from_millis(60);
    const PIECES: usize = 12;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        let _ = socket.read(&mut [0; 4_096]);
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-length: {PIECES}\r\n\r\n");
        let _ = socket.write_all(head.as_bytes());
        for _ in 0..PIECES {
            thread::sleep(PAUSE);
            let _ = socket.write_all(b"a");
        }
    });
    let objects = ObjectClient::new(address, TIMEOUT);
    let read = async_io::block_on(objects.read("a"));
    assert_eq!(read, Ok(Some(vec![b'a'; PIECES])));
}

#[test]
fn the_vm_list_client_reports_states_delays_and_outages() {
    run(|platform| async move {
        let (listener, address) = listen();
        let faults = Arc::new(Faults::new());
        let executor = platform.executor.clone();
        let serving = serve_vm_list(listener, faults, executor);
        platform.executor.spawn(serving).detach();
        let list = VmListClient::new(address, CALL_TIMEOUT);
        let body = r#"[{"vm":"vm-1","state":"leaving"}]"#;
        call(address, Method::Put, "/vms", body).await;
        let vm = "vm-1".to_owned();
        let entry = VmEntry { vm, state: VmState::Leaving };
        assert_eq!(list.list().await, Ok(vec![entry]));

        let lag = r#"{"lag_ms":3600000}"#;
        call(address, Method::Put, "/faults", lag).await;
        assert_eq!(list.list().await, Ok(vec![]));

        let down = r#"{"down":"unavailable"}"#;
        call(address, Method::Put, "/faults", down).await;
        assert!(list.list().await.is_err());
    });
}
