//! Names of teams as values of headers.

use marjoramwing_exchange::team;
use marjoramwing_testing::cases;

/// Guards against a name that is cut, folded into two headers or taken for another one.
fn check_value(name: &str, expected: &str) {
    assert_eq!(team::encode_name(name).as_bytes(), expected.as_bytes());
}

cases! { check_value:
    usual_name => ("conad-1", "conad-1");
    capital_letters => ("Laboratorio", "Laboratorio");
    spaces_within => ("La Bottega", "La Bottega");
    other_scripts => ("Università ٣", "Università ٣");
    percent_sign => ("50%20", "50%20");
    line_break => ("a\r\nTenant-Id: b", "UTF-8''a%0D%0ATenant-Id%3A%20b");
    null => ("a\0b", "UTF-8''a%00b");
    spaces_around => (" a", "UTF-8''%20a");
    extended_notation => ("UTF-8''%20a", "UTF-8''UTF-8%27%27%2520a");
    no_text => ("", "");
}
