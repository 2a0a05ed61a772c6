//! Task that asks control processes for permits to send to endpoints that have named limits.

use std::rc::Rc;

use agate_limit::permit::Answer;
use agate_wire::permit::Question;
use tokio::time::sleep_until;

use crate::gate::Gate;
use crate::sync::Steer;

/// Asks for permits whenever requests could use some, until the future is dropped.
pub async fn run(gate: Rc<Gate>, steer: Rc<dyn Steer>) {
    loop {
        let question = gate.choice.next_question().await;
        actix_rt::spawn(ask(gate.clone(), steer.clone(), question));
    }
}

/// Asks for permits, and wakes the requests that wait once there are some or others may be asked for.
async fn ask(gate: Rc<Gate>, steer: Rc<dyn Steer>, question: Question) {
    let answer = find(&gate, &*steer, &question).await;
    let opening = gate.choice.record_answer(&question.endpoint, answer);
    sleep_until(opening).await;
    gate.admission.wake();
}

/// Asks the control processes in order until one answers; `None` if none does.
async fn find(gate: &Gate, steer: &dyn Steer, question: &Question) -> Option<Answer> {
    for address in gate.control_processes() {
        match steer.permits(address, question.clone()).await {
            Ok(reply) => return Some(reply.into()),
            Err(err) => {
                let endpoint = &question.endpoint;
                tracing::info!(event = "permits_failed", %address, endpoint, error = %err);
            }
        }
    }
    None
}
