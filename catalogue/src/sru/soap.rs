//! SRU over SOAP 1.1 (formerly SRW).

use super::Operation;
use crate::escape;
use crate::record::tree::{self, Element};
use std::collections::BTreeMap;

/// The namespace of the envelope.
const NAMESPACE: &str = "http://schemas.xmlsoap.org/soap/envelope/";

/// Wraps a response in an envelope.
pub fn wrap(response: &str) -> String {
    format!(
        "<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<SOAP:Envelope xmlns:SOAP=\"{NAMESPACE}\"><SOAP:Body>\
         {response}</SOAP:Body></SOAP:Envelope>"
    )
}

/// The fault response to an invalid request.
pub fn fault(code: &str, message: &str) -> String {
    wrap(&format!(
        "<SOAP:Fault><faultcode>SOAP:{code}</faultcode><faultstring>{}</faultstring></SOAP:Fault>",
        escape(message)
    ))
}

/// Parses an envelope into the operation and its parameters by name.
pub fn read(body: &str) -> Result<(Operation, BTreeMap<String, String>), String> {
    let root = tree::read(body).map_err(|problem| problem.to_string())?;
    let namespace = tree::root(body).map(|(_, namespace)| namespace);
    if root.name != "Envelope" || namespace.as_deref() != Some(NAMESPACE) {
        return Err("not a SOAP 1.1 envelope".to_owned());
    }
    // No header is supported, so a mandatory one is an error.
    let must_understand = |e: &Element| {
        e.attribute("mustUnderstand")
            .is_some_and(|v| v == "1" || v == "true")
    };
    if root
        .all("Header")
        .flat_map(|h| &h.children)
        .any(must_understand)
    {
        return Err("unsupported header with mustUnderstand".to_owned());
    }
    let request = root
        .all("Body")
        .next()
        .and_then(|b| b.children.first())
        .ok_or("the SOAP body is empty")?;
    let operation = match request.name.as_str() {
        "searchRetrieveRequest" => Operation::SearchRetrieve,
        "scanRequest" => Operation::Scan,
        "explainRequest" => Operation::Explain,
        other => return Err(format!("not an SRU request: {other}")),
    };
    let mut parameters = BTreeMap::new();
    for parameter in &request.children {
        parameters
            .entry(parameter.name.clone())
            .or_insert_with(|| parameter.text.clone());
    }
    Ok((operation, parameters))
}

#[cfg(test)]
mod tests;
