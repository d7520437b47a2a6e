//! Tests of `record`.

use super::*;

const DC: &str = "<oai_dc:dc xmlns:oai_dc=\"http://www.openarchives.org/OAI/2.0/oai_dc/\" \
    xmlns:dc=\"http://purl.org/dc/elements/1.1/\"><dc:title>The Moon &amp; I</dc:title>\
    <dc:creator>Rabbit, A.</dc:creator><dc:subject>Moon</dc:subject><dc:date>2001</dc:date>\
    <dc:identifier>c-17</dc:identifier><dc:language>eng</dc:language></oai_dc:dc>";

#[test]
fn fields_survive_every_schema_and_syntax() {
    let record = Record::new(DC.to_owned());
    let fields = record.fields().unwrap();
    assert_eq!(fields.0.len(), 6);
    for schema in [Schema::Dc, Schema::Mods, Schema::MarcXml] {
        let other = Record::new(record.to_xml(schema, false).unwrap());
        assert_eq!(other.schema, Some(schema));
        let mut back = other.fields().unwrap();
        back.0.sort();
        let mut wanted = fields.clone();
        wanted.0.sort();
        assert_eq!(back, wanted, "{schema:?}");
    }
    for (syntax, _) in SYNTAXES {
        let bytes = record.to_bytes(*syntax, Schema::Dc, false).unwrap();
        let back = Record::from_bytes(*syntax, &bytes).unwrap();
        assert_eq!(
            back.value("dc.title").as_deref(),
            Some("The Moon & I"),
            "{syntax:?}"
        );
        assert_eq!(
            back.value("dc.identifier").as_deref(),
            Some("c-17"),
            "{syntax:?}"
        );
    }
}

#[test]
fn brief_records_are_reduced_and_unknown_schemas_are_not_converted() {
    let record = Record::new(DC.to_owned());
    let brief = record.to_xml(Schema::Dc, true).unwrap();
    assert!(
        brief.contains("Rabbit") && !brief.contains("subject"),
        "{brief}"
    );
    let unknown = Record::new("<odd><title>x</title></odd>".to_owned());
    assert_eq!(
        (unknown.schema, unknown.to_xml(Schema::Mods, false)),
        (None, Err(RecordError::UnknownSchema))
    );
    // Some small servers return Dublin Core without a namespace.
    assert_eq!(
        Record::new("<dc><title>x</title></dc>".to_owned()).schema,
        Some(Schema::Dc)
    );
}

#[test]
fn fingerprint_depends_only_on_text() {
    let same = Record::new(DC.replace("dc:", "x:"));
    let record = Record::new(DC.to_owned());
    assert_eq!(
        Record::new(DC.replace("><", ">\n <")).fingerprint(),
        record.fingerprint()
    );
    assert_eq!(same.fingerprint(), record.fingerprint());
    assert_ne!(
        Record::new(DC.replace("c-17", "c-18")).fingerprint(),
        record.fingerprint()
    );
}
