//! Dense indices into the tables of this module. An index stays valid until the entry is released.

macro_rules! dense_index {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $name {
            /// Creates the index of the entry at a position of its table.
            pub fn new(position: usize) -> Self {
                debug_assert!(u32::try_from(position).is_ok());
                Self(position as u32)
            }

            /// Returns the position of the entry in its table.
            pub fn position(self) -> usize {
                self.0 as usize
            }
        }
    };
}

dense_index! {
    /// Index of an executor in the [`ExecutorTable`](super::ExecutorTable).
    ExecutorIndex
}
dense_index! {
    /// Index of a function in the [`FunctionTable`](super::FunctionTable).
    FunctionIndex
}
dense_index! {
    /// Index of an open invocation in the [`InvocationTable`](super::InvocationTable).
    InvocationIndex
}
