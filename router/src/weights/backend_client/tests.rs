//! Log lines name the responses to orders as the operators' documentation lists them.

use super::OrderResponse;

#[test]
fn log_names_are_stable() {
    let responses = [
        OrderResponse::UpToDate,
        OrderResponse::Accepted,
        OrderResponse::Conflict,
        OrderResponse::StaleToken,
        OrderResponse::LeaseLost,
        OrderResponse::Unknown,
    ];
    assert_eq!(
        responses.map(|response| response.to_string()),
        [
            "Holds",
            "Taken",
            "Overtaken",
            "Fenced",
            "NotGiven",
            "Unknown"
        ]
    );
}
