//! Small `Copy` keys that refer to entries of a primary map.

/// An index into a [`PrimaryMap`](crate::primary::PrimaryMap).
pub trait EntityKey: Copy + Eq {
    /// Creates the key with this dense index.
    ///
    /// # Panics
    ///
    /// Panics if the index does not fit in 32 bits.
    fn from_index(index: usize) -> Self;

    /// Returns the dense index of this key.
    fn index(self) -> usize;
}

/// Declares a key type; its `Display` and `Debug` output is the prefix followed by the index.
#[macro_export]
macro_rules! entity_key {
    ($(#[$attribute:meta])* $visibility:vis struct $name:ident, $prefix:literal) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $visibility struct $name(u32);

        impl $crate::key::EntityKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("a map holds fewer than 2^32 entities"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl ::std::fmt::Debug for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                ::std::fmt::Display::fmt(self, f)
            }
        }
    };
}
