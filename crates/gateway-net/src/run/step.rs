//! One step of the event loop: inputs go to the gateway, and its outputs are carried out.

use super::EventLoop;
use std::rc::Rc;
use tidespur_gateway::message::{Decoder, Message};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, Output};
use tidespur_net::clock;

impl EventLoop {
    pub(super) fn step(self: &Rc<Self>, inputs: Vec<Input>) {
        let mut inputs = inputs;
        while !inputs.is_empty() {
            // The gateway knows of connections that were closed here meanwhile.
            inputs.retain(|input| match input {
                Input::DownstreamClosed(client) => self.remove_client(*client),
                Input::UpstreamEnded(upstream) => self.close_upstream(*upstream),
                _ => true,
            });
            let mut out = Vec::new();
            let before = self.gateway.borrow().next_wake();
            for input in &inputs {
                match input {
                    Input::DownstreamMessage(..) | Input::UpstreamMessage(..) => {
                        tracing::trace!(?input)
                    }
                    Input::Tick | Input::DownstreamChecked(..) | Input::UpstreamChecked(_) => {}
                    _ => tracing::debug!(scheduler = self.name, ?input),
                }
            }
            self.gateway
                .borrow_mut()
                .step(clock::now(), std::mem::take(&mut inputs), &mut out);
            if self.gateway.borrow().next_wake() < before {
                self.wake.add_permits(1);
            }
            for output in out {
                match &output {
                    Output::CloseDownstream(_)
                    | Output::Upstream(
                        PoolAction::Dial(..) | PoolAction::HalfClose(_) | PoolAction::Close(_),
                    ) => {
                        tracing::debug!(scheduler = self.name, ?output);
                    }
                    _ => tracing::trace!(?output),
                }
                self.apply_output(output, &mut inputs);
            }
        }
    }

    fn apply_output(self: &Rc<Self>, output: Output, inputs: &mut Vec<Input>) {
        match output {
            Output::WriteDownstream(client, bytes) => {
                inputs.extend(self.write_client(client, &bytes))
            }
            Output::CloseDownstream(client) => self.close_client(client),
            Output::CheckDownstream(client) => {
                let seen = self.check_client(client);
                self.answer_after_completions(inputs, Input::DownstreamChecked(client, seen));
            }
            Output::Upstream(PoolAction::CheckPeer(upstream)) => {
                self.check_upstream(upstream);
                self.answer_after_completions(inputs, Input::UpstreamChecked(upstream));
            }
            Output::Upstream(action) => inputs.extend(self.on_upstream(action)),
            Output::Log(line) => tracing::info!(scheduler = self.name, "{line}"),
            Output::StopListening => {
                self.stop_listening();
                self.answer_after_completions(inputs, Input::ListeningStopped);
            }
            Output::Exit(within) => {
                self.exit_within.set(Some(within));
                self.wake.add_permits(1);
            }
        }
    }

    /// Answers an output, after the completions that have arrived until now.
    fn answer_after_completions(&self, inputs: &mut Vec<Input>, answer: Input) {
        inputs.extend(self.queue.borrow_mut().take_completions());
        inputs.push(answer);
    }

    /// Decodes the bytes that were read last into inputs.
    pub(super) fn decode(
        &self,
        decoder: &mut Decoder,
        read: usize,
        said: impl Fn(Message) -> Input,
        malformed: Input,
    ) -> Vec<Input> {
        decoder.feed(&self.buffer.borrow()[..read]);
        let mut inputs = Vec::new();
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => inputs.push(said(message)),
                Ok(None) => return inputs,
                Err(error) => {
                    tracing::debug!(scheduler = self.name, %error, ?malformed);
                    inputs.push(malformed);
                    return inputs;
                }
            }
        }
    }
}
