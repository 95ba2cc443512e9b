//! Load shedding (admission control) by loop lag: how far a loop is behind its work, and which new work it turns away.
//!
//! A loop that can't keep up is late with all it owes: answers, ends, the list of machines. Being late makes more
//! work (time-outs, new connections, owners that come again), so that a short burst can keep a loop drowned for
//! good. [`LoadShedder`] is told how late the loop comes to what is due, and turns new work away at once, least
//! worth first, until it is in time again. What was taken is never touched.
//!
//! The lateness that counts is the least one of a window, as in CoDel (Nichols and Jacobson, "Controlling Queue
//! Delay", 2012): a burst that is worked off within the window sheds nothing.
//!
//! No clock, no I/O, no chance: the same marks and questions give the same words.

/// Seconds.
pub type Seconds = f64;

/// A loop that was never less late than this many of the shortest aim, over a window, is behind: whatever it takes
/// now misses that aim by the wait alone. Sooner would do harm: who is turned away comes again, and turning away is
/// work too, so that shedding feeds itself (at 0.2 a flood of a modelled loop's own speed had two of three pieces shed,
/// and without shedding none was lost).
const LAGGING: f64 = 1.0;
/// One that was once less late than this share of it in a window has caught up.
const IN_TIME: f64 = 0.25;
/// Windows, as a share of the shortest aim, and at least this long.
const WINDOW: f64 = 0.2;
const WINDOW_LEAST: Seconds = 0.1;
/// In each window behind, this share more of the new work is turned away, unless the loop catches up already; in
/// each window in time this much less. Up is slow, as it takes a while to act, and between the two nothing changes:
/// else it would swing.
const MORE: f64 = 0.02;
const LESS: f64 = 0.1;
/// However late, some new work is taken: else nothing would show that the loop can do it again.
const SHED_MOST: f64 = 0.95;
/// What is known of the mix of classes fades by this with each piece of new work.
const FADE: f64 = 0.995;

/// Sheds the load of one loop.
#[derive(Clone, Debug)]
pub struct LoadShedder {
    aim: Seconds,
    worths: Vec<f64>,
    /// How much of the new work each class is, lately.
    mix: Vec<f64>,
    /// Parts of a piece of work that were to be turned away, by class, until they make a whole one.
    parts: Vec<f64>,
    began: Option<Seconds>,
    least: Seconds,
    /// The least lateness of the window before.
    before: Seconds,
    share: f64,
}

impl LoadShedder {
    /// A loop in time. `aim`: the shortest time within which work should be answered, in seconds; `worths`: what
    /// one piece of work of each class is worth.
    pub fn new(aim: Seconds, worths: Vec<f64>) -> Self {
        let none = vec![0.0; worths.len()];
        let aim = if aim.is_finite() { aim.max(0.0) } else { 1.0 };
        let (mix, parts) = (none.clone(), none);
        Self {
            aim,
            worths,
            mix,
            parts,
            began: None,
            least: f64::INFINITY,
            before: 0.0,
            share: 0.0,
        }
    }

    /// A loop in time, over classes by aim, in seconds, and worth: the shortest aim counts.
    pub fn for_classes(classes: impl Iterator<Item = (Seconds, f64)>) -> Self {
        let (aims, worths): (Vec<Seconds>, Vec<f64>) = classes.unzip();
        Self::new(aims.into_iter().fold(f64::INFINITY, f64::min), worths)
    }

    /// Something that was due, or came, so many seconds ago is handled only at `now`.
    pub fn observe_lag(&mut self, now: Seconds, lag: Seconds) {
        let began = *self.began.get_or_insert(now);
        self.least = self.least.min(lag.max(0.0));
        if now - began < (WINDOW * self.aim).max(WINDOW_LEAST) {
            return;
        }
        if self.least > LAGGING * self.aim {
            let more = if self.least < self.before { 0.0 } else { MORE };
            self.share = (self.share + more).min(SHED_MOST);
        } else if self.least < IN_TIME * self.aim {
            self.share = (self.share - LESS).max(0.0);
        }
        (self.began, self.before, self.least) = (Some(now), self.least, f64::INFINITY);
    }

    /// Whether a new piece of work of this class is taken; else it is to be turned away at once.
    pub fn admit(&mut self, class: usize) -> bool {
        if class >= self.worths.len() {
            return true;
        }
        for (i, mix) in self.mix.iter_mut().enumerate() {
            *mix = *mix * FADE + if i == class { 1.0 - FADE } else { 0.0 };
        }
        let part = self.part(class);
        if part <= 0.0 {
            return true;
        }
        self.parts[class] += part;
        if self.parts[class] < 1.0 {
            return true;
        }
        self.parts[class] -= 1.0;
        false
    }

    /// The share of a class that is turned away: all of those worth less goes first.
    fn part(&self, class: usize) -> f64 {
        let all: f64 = self.mix.iter().sum();
        let worth = self.worths[class];
        let below = |other: &(&f64, &f64)| *other.0 < worth;
        let less: f64 = self
            .worths
            .iter()
            .zip(&self.mix)
            .filter(below)
            .map(|(_, mix)| mix)
            .sum();
        let alike: f64 = self
            .worths
            .iter()
            .zip(&self.mix)
            .filter(|o| *o.0 == worth)
            .map(|(_, mix)| mix)
            .sum();
        if alike <= 0.0 {
            return self.share;
        }
        ((self.share * all - less) / alike).clamp(0.0, SHED_MOST)
    }

    /// The share of the new work that is turned away now, from 0 to 1.
    pub fn shed_fraction(&self) -> f64 {
        self.share
    }
}
