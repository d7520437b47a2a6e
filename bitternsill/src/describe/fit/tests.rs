//! Tests of `describe::fit`.

use super::*;
use serde_json::json;

#[test]
fn own_descriptions_fit_and_others_are_told_where_they_do_not() {
    let limits = Limits::default();
    let (open, streams) = (openapi::describe(&limits), asyncapi::describe());
    assert_eq!(check(&open, &limits), Some(Vec::new()));
    assert_eq!(check(&streams, &limits), Some(Vec::new()));
    assert_eq!(check(&json!({"listen": {}}), &limits), None);
    let mut other = open.clone();
    other["openapi"] = "2.0".into();
    other["paths"]["/orders"] = json!({"get": {}});
    other["paths"]["/_health"]["delete"] = json!({});
    other["paths"]["/api"]["post"]["parameters"][0]["name"] = "X-Order".into();
    other["paths"]["/api"]["post"]["responses"]["302"] = json!({});
    if let Some(responses) = other["paths"]["/api"]["post"]["responses"].as_object_mut() {
        responses.remove("503");
    }
    let mut said = check(&other, &limits).unwrap();
    let mut other = streams;
    other["channels"]["store"]["messages"]["erase"] = json!({});
    other["channels"]["orders"] = json!({});
    other["channels"]["members"]["messages"]["list"]["payload"]["required"] =
        json!(["rev", "colour"]);
    said.extend(check(&other, &limits).unwrap());
    insta::assert_snapshot!(said.join("\n"));
}
