//! What is told, asked and probed: programs, the list, machines, the next wake.

use super::*;

const TELL_SPEND: f64 = 0.004; // Points of the result that messages may cost.
const KNOWN_MOST: usize = 10_000; // With more programs known than this, old ones are forgotten,
const ASK_LOST: Seconds = 6.0; // A call for the list that has brought nothing for this long has failed.
const PROBE_SPEND: f64 = 0.001; // Points of the result that probes may cost.
const STALE: Seconds = 1.0; // A report older than this is worth a probe.

impl Scheduler {
    /// Tells the others which programs are where: a start without the program is mostly too late, and their
    /// programs are seen nowhere. Where messages are barred or dear, homes must do. Harm: a program that is
    /// gone draws some starts until what was told has aged.
    pub(super) fn tell(&mut self, now: Seconds, out: &mut Vec<Action>) {
        let told = std::mem::take(&mut self.to_tell);
        if self.tells() {
            let bytes = told
                .iter()
                .flat_map(|pair| [pair.0.to_le_bytes(), pair.1.to_le_bytes()]);
            let bytes: Vec<u8> = bytes.flatten().collect();
            out.extend(bytes.chunks(256).map(|part| Action::Gossip(part.to_vec())));
        }
        if self.programs.len() > KNOWN_MOST {
            self.programs.retain(|_, &mut until| now < until);
        }
    }

    fn tells(&self) -> bool {
        let share = (self.settings.scheduler_count - 1) as f64 * 8.0 / 256.0;
        self.settings.allows_gossip
            && share > 0.0
            && self.settings.costs.gossip_message * share <= TELL_SPEND
    }

    /// Whether the programs of a service are known here: its tasks come here alone, or all tell of theirs.
    pub(super) fn informed(&self) -> bool {
        self.settings.single_scheduler_per_service
            || self.settings.scheduler_count == 1
            || self.tells()
    }

    pub(super) fn keep_list(&mut self, now: Seconds, out: &mut Vec<Action>) {
        let list = &mut self.list;
        if list.asked_at.is_some_and(|at| now - at > ASK_LOST) {
            (list.subscribed, list.asked_at, list.ask_at) = (false, None, now);
        }
        if !list.subscribed && now >= list.ask_at {
            (list.subscribed, list.asked_at) = (true, Some(now));
            out.push(Action::SubscribeEndpoints);
        }
    }

    /// Probes machines whose reports are old, as often as the price allows.
    pub(super) fn probe(&mut self, now: Seconds, out: &mut Vec<Action>) {
        if !self.settings.allows_load_polls || self.settings.load_reports == LoadReportSource::None
        {
            return;
        }
        let price = self.settings.costs.load_poll;
        let spend = if price > 0.0 {
            PROBE_SPEND / price
        } else {
            1.0
        };
        let each = (self.machines.len() as f64 / (self.rate.0 * spend).max(0.1)).max(STALE);
        for (&id, machine) in &mut self.machines {
            let due = now - machine.report_at.max(machine.probe_at) >= each;
            if due && machine.ready() && !cold(machine, &self.settings.safety_limits, now) {
                machine.probe_at = now;
                out.push(Action::PollLoad(id));
            }
        }
    }

    pub(super) fn wake(&mut self, now: Seconds, out: &mut Vec<Action>) {
        let probe = if self.settings.allows_load_polls {
            now + STALE / 2.0
        } else {
            f64::INFINITY
        };
        let list = match self.list.asked_at {
            Some(asked) => asked + ASK_LOST + 0.01,
            None if self.list.subscribed => f64::INFINITY,
            None => self.list.ask_at,
        };
        let at = probe.min(list).min(self.retry_at);
        if at.is_finite() && at < self.next_wake {
            self.next_wake = at;
            out.push(Action::SetTimer {
                after: (at - now).max(0.001),
                token: (at.max(0.0) * 1e6) as u64,
            });
        }
    }
}
