//! Units that all packages share, and a budget of bytes. No I/O.

pub mod byte_budget;

use std::ops::{Add, AddAssign, Div, Mul, Neg, Sub, SubAssign};

/// Seconds: a time on the caller's clock, or a duration.
pub type Seconds = f64;

/// An amount of each resource that a machine has or a task requests.
///
/// Also used for ratios of two such amounts, one for each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPU, in cores.
    pub cpu: f64,
    /// Memory, in the memory unit of the caller.
    pub memory: f64,
}

impl Resources {
    /// No CPU and no memory.
    pub const ZERO: Self = Self::new(0.0, 0.0);

    /// `cpu` cores and `memory` memory units.
    #[must_use]
    #[inline]
    pub const fn new(cpu: f64, memory: f64) -> Self {
        Self { cpu, memory }
    }

    /// The result of `function` for each resource.
    #[must_use]
    #[inline]
    pub fn map(self, function: impl Fn(f64) -> f64) -> Self {
        Self::new(function(self.cpu), function(self.memory))
    }

    /// The result of `function` for each resource of both amounts.
    #[must_use]
    #[inline]
    pub fn zip_with(self, other: Self, function: impl Fn(f64, f64) -> f64) -> Self {
        Self::new(
            function(self.cpu, other.cpu),
            function(self.memory, other.memory),
        )
    }

    /// The larger of both amounts, for each resource.
    #[must_use]
    #[inline]
    pub fn max(self, other: Self) -> Self {
        self.zip_with(other, f64::max)
    }

    /// The smaller of both amounts, for each resource.
    #[must_use]
    #[inline]
    pub fn min(self, other: Self) -> Self {
        self.zip_with(other, f64::min)
    }

    /// Whether `predicate` holds for CPU or for memory.
    #[must_use]
    #[inline]
    pub fn any(self, predicate: impl Fn(f64) -> bool) -> bool {
        predicate(self.cpu) || predicate(self.memory)
    }

    /// Whether each amount is at most that of `available`.
    #[must_use]
    #[inline]
    pub fn fits_in(self, available: Self) -> bool {
        self.cpu <= available.cpu && self.memory <= available.memory
    }

    /// The larger of the two components; meaningful for ratios.
    #[must_use]
    #[inline]
    pub fn max_component(self) -> f64 {
        self.cpu.max(self.memory)
    }
}

impl Add for Resources {
    type Output = Self;

    #[inline]
    fn add(self, other: Self) -> Self {
        self.zip_with(other, |a, b| a + b)
    }
}

impl Sub for Resources {
    type Output = Self;

    #[inline]
    fn sub(self, other: Self) -> Self {
        self.zip_with(other, |a, b| a - b)
    }
}

impl Mul for Resources {
    type Output = Self;

    #[inline]
    fn mul(self, other: Self) -> Self {
        self.zip_with(other, |a, b| a * b)
    }
}

impl Mul<f64> for Resources {
    type Output = Self;

    #[inline]
    fn mul(self, factor: f64) -> Self {
        self.map(|amount| amount * factor)
    }
}

impl Div for Resources {
    type Output = Self;

    #[inline]
    fn div(self, other: Self) -> Self {
        self.zip_with(other, |a, b| a / b)
    }
}

impl Neg for Resources {
    type Output = Self;

    #[inline]
    fn neg(self) -> Self {
        self.map(|amount| -amount)
    }
}

impl AddAssign for Resources {
    #[inline]
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl SubAssign for Resources {
    #[inline]
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
