//! Steps of a scenario: machines that go down and come back, a cut, and the endpoint updates of the store.

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
            Change::EndpointUpdate(executors, listed) => {
                self.send_endpoint_update(executors, *listed)
            }
            Change::BudgetShare(region, has_share) => {
                self.set_region_budget_share(*region, *has_share)
            }
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
        let incarnation = self.front_ends[number].state.incarnation + 1;
        self.front_ends[number] = self.front_end(number, incarnation);
        self.list_all(number);
        self.set_budget_share(number, false);
        // It gets its share once all the other front ends must have noticed it.
        let notice = Notice {
            front_end: number,
            incarnation,
            content: NoticeContent::BudgetShare,
        };
        let key = self.notices.insert(notice) as u32;
        self.shared
            .queue
            .push(self.shared.now + BUDGET_SHARE_DELAY, Event::Notice(key));
    }

    /// Sends a front end the full endpoint list as the store has it.
    pub(super) fn list_all(&mut self, front_end: usize) {
        let rows: Vec<Endpoint> = (0..self.executors.len())
            .map(|executor| self.row(executor, EndpointState::Ready))
            .collect();
        self.play(front_end, |engine, now, host| {
            engine.on_endpoint_update(now, EndpointUpdateKind::Full, &rows, host)
        });
    }

    fn row(&self, executor: usize, state: EndpointState) -> Endpoint {
        self.shared
            .topology
            .row(executor, state, self.executors[executor].since)
    }

    fn executor_down(&mut self, number: usize, down: Down) {
        let executor = &mut self.executors[number];
        executor.state = match down {
            Down::Restarting => State::Refusing,
            Down::Silent => State::Silent,
        };
        let lost = executor.clear();
        executor.incarnation += 1;
        self.shared.executor_incarnations[number] = executor.incarnation;
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
    fn send_endpoint_update(&mut self, executors: &[usize], listed: Listed) {
        let state = match listed {
            Listed::Ready => EndpointState::Ready,
            Listed::Gone => EndpointState::Gone,
        };
        let rows: Rc<[Endpoint]> = executors
            .iter()
            .map(|&executor| self.row(executor, state))
            .collect();
        for front_end in 0..self.front_ends.len() {
            let state = &self.front_ends[front_end].state;
            if !state.is_up || self.cut == Some(state.place.region) {
                continue;
            }
            let incarnation = state.incarnation;
            let delay = ROSTER_DELAY * self.random.random::<f64>();
            let key = self.notices.insert(Notice {
                front_end,
                incarnation,
                content: NoticeContent::Endpoints(rows.clone()),
            }) as u32;
            self.shared
                .queue
                .push(self.shared.now + delay, Event::Notice(key));
        }
    }

    pub(super) fn notice(&mut self, key: u32) {
        let Notice {
            front_end,
            incarnation,
            content,
        } = self.notices.remove(key as usize);
        let state = &self.front_ends[front_end].state;
        if !state.is_up || state.incarnation != incarnation {
            return;
        }
        match content {
            NoticeContent::BudgetShare => self.set_budget_share(front_end, true),
            NoticeContent::Endpoints(rows) => self.play(front_end, |engine, now, host| {
                engine.on_endpoint_update(now, EndpointUpdateKind::Delta, &rows, host);
            }),
        }
    }

    fn set_region_budget_share(&mut self, region: u8, has_share: bool) {
        for front_end in 0..self.front_ends.len() {
            let state = &self.front_ends[front_end].state;
            if state.is_up && state.place.region == region {
                self.set_budget_share(front_end, has_share);
            }
        }
    }

    /// Tells a front end whether it has a share of the budgets that all front ends divide. The count of front ends does
    /// not change: front ends that are down keep their indices, and time slots are counted by the highest index.
    fn set_budget_share(&mut self, front_end: usize, has_share: bool) {
        let front_ends = self.plan.size.front_ends;
        let view = MembershipView {
            front_ends: front_ends as f64,
            slot_count: front_ends.next_power_of_two() as f64,
            front_end_index: front_end as f64,
            has_budget_share: has_share,
        };
        self.play(front_end, |engine, now, host| {
            engine.on_membership_change(now, view, host)
        });
    }
}
