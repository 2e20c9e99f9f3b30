//! Violations of the rules, injected into the traffic so that the checks can be seen to find them.

use super::Rehearsal;
use orchidtally_standin::any_port;
use orchidtally_standin::client::{Ask, Caller};
use orchidtally_standin::executor::Executor;
use orchidtally_standin::rogue::Rogue;
use orchidtally_witness::Standing;
use std::rc::Rc;

impl Rehearsal {
    /// Plants a breach of a rule in the traffic.
    pub(super) async fn sabotage(self: Rc<Self>, rule: u8) {
        let rogue = Rogue::new(&self.stage, 0, self.day.front_ends);
        let quiet = |e: &&Rc<Executor>| e.is_up() && !e.draining.get() && e.since() == f64::NEG_INFINITY;
        match rule {
            1 => {
                let Ok(silent) = orchidtally_net::listen(any_port()) else {
                    return;
                };
                let Ok(at) = silent.get_ref().local_addr() else { return };
                let hold = self.stage.spawn(async move {
                    let mut taken = vec![];
                    loop {
                        taken.push(orchidtally_net::accept(&silent).await);
                    }
                });
                let ask = Ask {
                    invocation: self.name(),
                    function: "fn-1".into(),
                    trigger_type: (0, self.terms.trigger_types[0].name.clone()),
                    time_left: 1.0,
                    ..Ask::default()
                };
                // As if it were front end 1, which was not killed then unless the script says so.
                let index = self.front_ends.len() as u32;
                Caller::new(&self.stage, 9_999, index, at, true).invoke(&ask).await;
                drop(hold);
            }
            2 => {
                // Over and over, at other ones each time: on a bad day one of the two may be full, hang or be gone.
                for again in 0..60 {
                    let (rogue, name) = (rogue.clone(), format!("rogue-2-{again}"));
                    let all = self.executors.iter().cycle().skip(again).take(self.executors.len());
                    let two: Vec<_> = all.filter(quiet).take(2).map(|e| e.address).collect();
                    let both = async move {
                        for (n, at) in two.into_iter().enumerate() {
                            rogue.dispatch(at, &name, n as u32, "fn-1", "act").await;
                        }
                    };
                    self.stage.spawn(both).detach();
                    self.stage.sleep(0.05).await;
                }
            }
            3 => {
                self.stage.spawn(rogue.clone().watch(self.publisher.address)).detach();
                self.stage.sleep(0.3).await;
                let Some(e) = self.executors.iter().find(quiet) else { return };
                self.tell(e, Standing::Draining);
                self.stage.sleep(2.5 + self.publisher.delay.get()).await;
                rogue.dispatch(e.address, "rogue-3", 0, "fn-1", "look").await;
                self.tell(e, Standing::Ready);
            }
            4 => {
                self.stage.spawn(rogue.clone().watch(self.publisher.address)).detach();
                let Some(e) = self.executors.iter().find(quiet) else { return };
                e.crash();
                self.stage.sleep(0.1).await;
                self.bring_up(e);
                self.stage.sleep(0.5).await;
                for n in 0..400 {
                    let (rogue, at) = (rogue.clone(), e.address);
                    let name = format!("rogue-4-{n}");
                    self.stage
                        .spawn(async move { rogue.dispatch(at, &name, 0, "fn-1", "look").await })
                        .detach();
                }
            }
            _ => {
                for n in 0..400 {
                    let e = &self.executors[n % self.executors.len()];
                    let (rogue, at) = (rogue.clone(), e.address);
                    self.stage.spawn(async move { rogue.hold(at, "fn-1").await }).detach();
                    if n % 20 == 0 {
                        self.stage.sleep(0.01).await;
                    }
                }
            }
        }
    }
}
