//! The records of a lease in the store: the grant and its renewals.

use crate::Token;
use serde_json::{Value as Json, json};

/// The grant of a role.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Grant {
    /// The owner; `None` after the role was released.
    pub owner: Option<String>,
    /// The incarnation of the owner; `None` while the role is offered but not yet acquired.
    pub incarnation: Option<u64>,
    /// The number of consecutive owners that failed before their lease was stable.
    pub failures: u64,
    /// Why the role is parked: no gatherer may acquire it. `None` if it is not parked.
    pub parked: Option<String>,
    /// How the grant came about.
    pub reason: String,
    /// The previous owner.
    pub previous_owner: Option<String>,
}

impl Grant {
    /// The stored form.
    pub fn to_json(&self) -> Json {
        json!({
            "owner": self.owner,
            "life": self.incarnation,
            "deaths": self.failures,
            "parked": self.parked,
            "why": self.reason,
            "from": self.previous_owner,
        })
    }

    /// Parses the stored form. A grant that cannot be parsed counts as parked: an owner that runs
    /// another version of the program may be using it.
    pub fn parse(text: &str) -> Grant {
        Grant::try_parse(text).unwrap_or_else(|| Grant {
            parked: Some("its entry cannot be read".to_owned()),
            ..Grant::default()
        })
    }

    fn try_parse(text: &str) -> Option<Grant> {
        let json: Json = serde_json::from_str(text).ok()?;
        let string = |key: &str| json[key].as_str().map(str::to_owned);
        Some(Grant {
            owner: string("owner"),
            incarnation: json["life"].as_u64(),
            failures: json["deaths"].as_u64()?,
            parked: string("parked"),
            reason: string("why").unwrap_or_default(),
            previous_owner: string("from"),
        })
    }
}

/// The last renewal of a grant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Renewal {
    /// The token of the grant.
    pub token: Token,
    /// The number of renewals of the grant.
    pub count: u64,
    /// The number of successes of the owner's work.
    pub successes: u64,
}

impl Renewal {
    pub(super) fn to_json(self) -> Json {
        json!({"token": self.token.to_json(), "count": self.count, "good": self.successes})
    }

    pub(super) fn parse(text: &str) -> Option<Renewal> {
        let json: Json = serde_json::from_str(text).ok()?;
        Some(Renewal {
            token: Token::from_json(&json["token"])?,
            count: json["count"].as_u64()?,
            successes: json["good"].as_u64()?,
        })
    }
}
