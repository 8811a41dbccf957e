//! Helpers shared by the tests of all crates.

/// Declares one `#[test]` function per case, which calls a check function with its arguments.
///
/// ```
/// fn check_sum(left: u32, right: u32, sum: u32) {
///     assert_eq!(left + right, sum);
/// }
/// marjoramwing_testing::cases! { check_sum:
///     small_numbers => (1, 2, 3);
///     zero => (0, 0, 0);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($check:path: $($name:ident => ($($argument:expr),* $(,)?);)+) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),*);
            }
        )+
    };
}
