//! Servers in trouble that respond with a status that there is not. No caller may take what they send for
//! the response to its request.

mod common;

use common::call;
use common::early_servers::{
    check_item, start_fleet, EarlyEnd, EarlyResponse, ReadBefore, PATHS, REQUEST,
};
use foxwheel_platform::online;
use hyper::{Method, StatusCode};

/// Returns a complete response with this status.
fn response_with_status(status: &str) -> String {
    let signature = online::SIGNATURE;
    format!("HTTP/1.1 {status} Odd\r\n{signature}: s\r\ncontent-length: 4\r\n\r\nodd!")
}

/// Statuses that the protocol does not have were passed on.
#[actix_web::test]
async fn response_with_a_status_that_does_not_exist_is_delivered() {
    for status in ["000", "099", "101", "199", "600", "999"] {
        let fleet = start_fleet(EarlyResponse {
            read_before: ReadBefore::Head,
            response: response_with_status(status),
            end: EarlyEnd::Reset,
        })
        .await;
        for path in PATHS {
            let received = call(fleet.fronts[0], Method::POST, path, REQUEST, &[], "a").await;
            let received = received.expect("a response");
            assert_eq!(received.status, StatusCode::BAD_GATEWAY, "{status} {path}");
            assert!(received.body.is_empty(), "{status} {path}");
        }
        fleet.cancel.cancel();
    }
}

#[actix_web::test]
async fn item_fails_because_of_a_status_that_does_not_exist() {
    for status in ["101", "600"] {
        check_item(EarlyResponse {
            read_before: ReadBefore::Head,
            response: response_with_status(status),
            end: EarlyEnd::Reset,
        })
        .await;
    }
}
