//! The records of a lease in the store: the grant and its renewals.

use crate::Token;
use serde_json::{Value as Json, json};

/// The grant of a role.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Grant {
    /// The owner; `None` after the role was released.
    pub owner: Option<String>,
    /// The incarnation of the owner; `None` where the role is offered and not acquired yet.
    pub incarnation: Option<u64>,
    /// How many owners in a row failed before their lease was stable.
    pub failures: u64,
    /// Why no gatherer may acquire the role, where it is parked.
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

    /// Reads the stored form. A grant that cannot be read counts as parked: an owner of another
    /// version of the program may be acting on it.
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
    /// How often the grant was renewed.
    pub count: u64,
    /// How often the owner's work has succeeded.
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
