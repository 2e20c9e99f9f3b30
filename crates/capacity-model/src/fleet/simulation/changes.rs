//! Steps of a scenario: machines that go down and come back, a cut, and what the store tells of it.

use super::*;

impl Simulation {
    pub(super) fn changes(&mut self, change: &Change) {
        match change {
            Change::Down(machines, down) => machines
                .iter()
                .for_each(|&machine| self.goes_down(machine, *down)),
            Change::Up(machines) => machines.iter().for_each(|&machine| self.comes_up(machine)),
            Change::Cut(region) => self.cut = Some(*region),
            Change::Healed => self.cut = None,
            Change::Tells(executors, listed) => self.tells(executors, *listed),
            Change::Shares(region, shares) => self.shares(*region, *shares),
        }
    }

    fn goes_down(&mut self, machine: Machine, down: Down) {
        match machine {
            Machine::FrontEnd(number) => self.front_end_down(number),
            Machine::Executor(number) => self.executor_down(number, down),
        }
    }

    fn comes_up(&mut self, machine: Machine) {
        match machine {
            Machine::FrontEnd(number) => self.front_end_up(number),
            Machine::Executor(number) => {
                self.executors[number].state = State::Up;
                self.executors[number].since = self.shared.now;
                self.executors_up += 1;
            }
        }
    }

    fn front_end_down(&mut self, number: usize) {
        let now = self.shared.now;
        let state = &mut self.front_ends[number].state;
        state.is_up = false;
        let region = state.place.region;
        // The order does not matter: each is counted alike.
        for call in std::mem::take(&mut state.open).into_values() {
            self.shared
                .ledger
                .answered(now, call.came, region, FinalAnswer::FrontEndLost);
        }
        state.sent.clear();
    }

    fn front_end_up(&mut self, number: usize) {
        let life = self.front_ends[number].state.life + 1;
        self.front_ends[number] = self.front_end(number, life);
        self.list_all(number);
        self.set_share(number, false);
        // A share of its own comes once all others must have seen it.
        let notice = Notice {
            front_end: number,
            life,
            told: Told::Share,
        };
        let key = self.notices.insert(notice) as u32;
        self.shared
            .queue
            .push(self.shared.now + SHARE_PAUSE, Event::Notice(key));
    }

    /// Tells a front end the whole list as the store has it.
    pub(super) fn list_all(&mut self, front_end: usize) {
        let rows: Vec<Endpoint> = (0..self.executors.len())
            .map(|x| self.row(x, EndpointState::Ready))
            .collect();
        self.play(front_end, |engine, now, host| {
            engine.on_endpoint_update(now, EndpointUpdateKind::Full, &rows, host)
        });
    }

    fn row(&self, executor: usize, standing: EndpointState) -> Endpoint {
        self.shared
            .topology
            .row(executor, standing, self.executors[executor].since)
    }

    fn executor_down(&mut self, number: usize, down: Down) {
        let executor = &mut self.executors[number];
        executor.state = match down {
            Down::Restarting => State::Refusing,
            Down::Silent => State::Silent,
        };
        let lost = executor.clear();
        executor.life += 1;
        self.shared.executor_lives[number] = executor.life;
        self.executors_up -= 1;
        self.in_hand[number].set(0);
        for function in lost.copies {
            self.holders[function as usize].retain(|&holder| usize::from(holder) != number);
        }
        if down == Down::Silent {
            for key in lost.unstarted {
                self.shared.requests.remove(key as usize);
            }
            return;
        }
        for key in lost.unstarted {
            self.answer(key, DispatchStatus::Reset);
        }
        for key in lost.running {
            // The request itself stays until the end of its work would have come.
            let copy = self.shared.requests[key as usize];
            let answered = self.shared.requests.insert(copy) as u32;
            self.answer(answered, DispatchStatus::Reset);
        }
    }

    /// Sends a change of executors to the front ends that are up and have the store, each at its own time.
    fn tells(&mut self, executors: &[usize], listed: Listed) {
        let standing = match listed {
            Listed::Ready => EndpointState::Ready,
            Listed::Gone => EndpointState::Gone,
        };
        let rows: Rc<[Endpoint]> = executors.iter().map(|&x| self.row(x, standing)).collect();
        for front_end in 0..self.front_ends.len() {
            let state = &self.front_ends[front_end].state;
            if !state.is_up || self.cut == Some(state.place.region) {
                continue;
            }
            let life = state.life;
            let delay = ROSTER_DELAY * self.random.random::<f64>();
            let key = self.notices.insert(Notice {
                front_end,
                life,
                told: Told::Rows(rows.clone()),
            }) as u32;
            self.shared
                .queue
                .push(self.shared.now + delay, Event::Notice(key));
        }
    }

    pub(super) fn notice(&mut self, key: u32) {
        let Notice {
            front_end,
            life,
            told,
        } = self.notices.remove(key as usize);
        let state = &self.front_ends[front_end].state;
        if !state.is_up || state.life != life {
            return;
        }
        match told {
            Told::Share => self.set_share(front_end, true),
            Told::Rows(rows) => self.play(front_end, |engine, now, host| {
                engine.on_endpoint_update(now, EndpointUpdateKind::Delta, &rows, host);
            }),
        }
    }

    fn shares(&mut self, region: u8, shares: bool) {
        for front_end in 0..self.front_ends.len() {
            let state = &self.front_ends[front_end].state;
            if state.is_up && state.place.region == region {
                self.set_share(front_end, shares);
            }
        }
    }

    /// Tells a front end whether it has a part of what all strictly share. The count stays as it is: indices of
    /// front ends that are away leave holes, and slots go by the greatest.
    fn set_share(&mut self, front_end: usize, shares: bool) {
        let front_ends = self.plan.size.front_ends;
        let view = MembershipView {
            front_ends: front_ends as f64,
            slot_count: front_ends.next_power_of_two() as f64,
            front_end_index: front_end as f64,
            has_budget_share: shares,
        };
        self.play(front_end, |engine, now, host| {
            engine.on_membership_change(now, view, host)
        });
    }
}
