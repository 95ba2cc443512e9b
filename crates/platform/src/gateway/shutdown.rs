//! The word to end: what is still answered, and when the program ends.

use super::*;

impl Gateway {
    /// After the word to end: all that is open gets an answer, then the program ends.
    pub(super) fn leave(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let Some(at) = self.leaving.filter(|at| now - at > LEAVE_AFTER) else { return };
        let latest = now - at > LEAVE_LATEST;
        if latest {
            for id in self.table.open() {
                let Some(Stage::Open { attempt, may_have_run, .. }) = self.table.get(id).map(|r| r.stage)
                else {
                    continue;
                };
                // What may run can't be refused: its owner would ask again at once.
                let harmless = attempt.is_none() && !may_have_run;
                let word = if harmless { cause::CONGESTED } else { cause::FAILED };
                self.reply(id, Message::release(id, word).bytes(), out);
                self.cancel_request(now, id, out);
            }
        }
        if latest || self.table.count() == 0 {
            out.push(Output::End);
        }
    }
}
