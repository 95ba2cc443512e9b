//! One step of the event loop: passes inputs to the gateway and executes its outputs.

use super::EventLoop;
use std::rc::Rc;
use tidespur_gateway::message::{Decoder, Message};
use tidespur_gateway::pool::PoolAction;
use tidespur_gateway::{Input, Output};
use tidespur_net::clock;

impl EventLoop {
    /// Passes inputs to the gateway and executes its outputs, until they result in no further inputs.
    pub(super) fn step(self: &Rc<Self>, mut inputs: Vec<Input>) {
        while !inputs.is_empty() {
            // Connections that were closed here before are skipped: the gateway knows of their ends.
            inputs.retain(|input| match input {
                Input::DownstreamClosed(client) => self.remove_client(*client),
                Input::UpstreamEnded(upstream) | Input::UpstreamReset(upstream) => {
                    self.close_upstream(*upstream)
                }
                _ => true,
            });
            let mut outputs = Vec::new();
            let previous_wake = self.gateway.borrow().next_wake();
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
                .step(clock::now(), std::mem::take(&mut inputs), &mut outputs);
            if self.gateway.borrow().next_wake() < previous_wake {
                self.wake.add_permits(1);
            }
            for output in outputs {
                match &output {
                    Output::CloseDownstream(_)
                    | Output::Upstream(
                        PoolAction::Dial(..) | PoolAction::HalfClose(_) | PoolAction::Close(_),
                    ) => {
                        tracing::debug!(scheduler = self.name, ?output);
                    }
                    _ => tracing::trace!(?output),
                }
                self.execute_output(output, &mut inputs);
            }
        }
    }

    /// Executes an output, and adds the inputs that result at once.
    fn execute_output(self: &Rc<Self>, output: Output, inputs: &mut Vec<Input>) {
        match output {
            Output::WriteDownstream(client, bytes) => {
                inputs.extend(self.write_client(client, &bytes))
            }
            Output::CloseDownstream(client) => self.close_client(client),
            Output::CheckDownstream(client) => {
                let check = self.check_client(client);
                self.push_after_completions(inputs, Input::DownstreamChecked(client, check));
            }
            Output::Upstream(PoolAction::CheckPeer(upstream)) => {
                self.check_upstream(upstream);
                self.push_after_completions(inputs, Input::UpstreamChecked(upstream));
            }
            Output::Upstream(action) => inputs.extend(self.execute_pool_action(action)),
            Output::Log(line) => tracing::info!(scheduler = self.name, "{line}"),
            Output::StopListening => {
                self.stop_listening();
                self.push_after_completions(inputs, Input::ListeningStopped);
            }
            Output::Exit(flush_timeout) => {
                self.flush_timeout.set(Some(flush_timeout));
                self.wake.add_permits(1);
            }
        }
    }

    /// Adds the completions that have arrived so far, and then the input that answers an output.
    fn push_after_completions(&self, inputs: &mut Vec<Input>, answer: Input) {
        inputs.extend(self.queue.borrow_mut().take_completions());
        inputs.push(answer);
    }

    /// Decodes the first `read` bytes of the read buffer. Returns an input for each complete message, and `malformed`
    /// at the first message that can't be decoded.
    pub(super) fn decode(
        &self,
        decoder: &mut Decoder,
        read: usize,
        to_input: impl Fn(Message) -> Input,
        malformed: Input,
    ) -> Vec<Input> {
        decoder.feed(&self.read_buffer.borrow()[..read]);
        let mut inputs = Vec::new();
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => inputs.push(to_input(message)),
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
