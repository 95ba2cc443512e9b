//! Whom this member goes to by itself: others for what it lacks, seeds, and all of them when it leaves.

use super::*;

impl Membership {
    /// Tells a random member which facts are known here, a part of the names at a time.
    pub(super) fn exchange(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.exchange_at = now - self.stood + EXCHANGE * self.rng.random_range(0.5..1.0);
        let live = self.live_addresses();
        if live.is_empty() {
            return;
        }
        let to = live[self.rng.random_range(0..live.len())];
        let mut versions = Vec::new();
        {
            let state = self.shared.lock();
            let names: Vec<&String> = state.known.iter().chain([&self.own.name]).collect();
            let at = names
                .iter()
                .position(|name| **name > self.cursor)
                .unwrap_or(0);
            let mut bytes = 0;
            for name in names[at..].iter().chain(&names[..at]) {
                // A name, its length, and two numbers.
                bytes += name.len() + 16;
                if bytes > BODY_MOST - 128 {
                    break;
                }
                versions.push((
                    (*name).clone(),
                    state.book.version(name).unwrap_or_default(),
                ));
            }
        }
        self.cursor = versions.last().map_or(String::new(), |last| last.0.clone());
        self.send(to, &Body::Versions(self.own.clone(), versions), out);
    }

    pub(super) fn live_addresses(&self) -> Vec<SocketAddr> {
        self.foca
            .iter_members()
            .map(|member| member.id().address)
            .collect()
    }

    /// Asks at addresses from the settings who is there: at once and ever more rarely while alone, and now and then
    /// one that no live member has: two halves that forgot each other meet again there.
    pub(super) fn ask(&mut self, now: Seconds, out: &mut Vec<Output>) {
        let live = self.live_addresses();
        let missing = |seed: &&SocketAddr| **seed != self.own.address && !live.contains(seed);
        let missing: Vec<SocketAddr> = self
            .settings
            .seed_addresses
            .iter()
            .filter(missing)
            .copied()
            .collect();
        let pause = if live.is_empty() {
            let pause = self.ask_pause;
            self.ask_pause = (self.ask_pause * 2.0).min(ASK_MOST);
            for &seed in &missing {
                self.send(seed, &Body::Hello(self.own.clone()), out);
            }
            pause
        } else {
            self.ask_pause = ASK;
            if !missing.is_empty() {
                let seed = missing[self.rng.random_range(0..missing.len())];
                self.send(seed, &Body::Hello(self.own.clone()), out);
            }
            ASK_MOST
        };
        self.ask_at = now - self.stood + pause * self.rng.random_range(0.5..1.0);
    }

    pub(super) fn leave(&mut self, now: Seconds, out: &mut Vec<Output>) {
        self.facts.leaving = true;
        self.publish();
        // Word that it leaves goes ahead of the end, to some who tell the rest.
        self.detector(now, out, |foca, wants| foca.gossip(wants));
        self.over = true;
        self.detector(now, out, |foca, wants| foca.leave_cluster(wants));
    }
}
