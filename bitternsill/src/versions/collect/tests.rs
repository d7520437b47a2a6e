//! Tests of `versions::collect`.

use super::*;

#[test]
fn a_kept_file_says_whose_it_is_whatever_the_gatherer_is_called() {
    for name in ["g1", "../../etc/passwd", "a.b c", "größe", ""] {
        let file = file_name(name, 0xfeed_0000_0000_0007, 12);
        let file = file.to_str().unwrap();
        assert!(!file.contains('/') && !file.starts_with(".."), "{file}");
        assert_eq!(
            parts(file),
            Some((name.to_owned(), 0xfeed_0000_0000_0007, 12))
        );
    }
    assert_eq!(parts("g1.000000.trail"), None);
    assert_eq!(whole_letters("aü".as_bytes()[..2].to_vec()), "a");
}
