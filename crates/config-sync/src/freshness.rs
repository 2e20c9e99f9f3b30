//! Until when the view is certainly current.
//!
//! Only a **linearizable** read proves anything: if its question was sent at `asked_at` and answered at revision `R`,
//! then all that was committed before `asked_at` has a revision of at most `R`; once all changes up to `R` are
//! applied, the view is current as of `asked_at`. Watch progress alone proves nothing: a member that is cut off from
//! its quorum goes on sending it with its own old revision.

use std::collections::VecDeque;

/// Answered questions that wait for the watch at most. When full, the newest is replaced: the older ones are settled
/// first.
const MAX_QUESTIONS: usize = 8;

/// An answered barrier whose revision isn't applied yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Question {
    asked_at: f64,
    revision: i64,
}

#[derive(Clone, Debug)]
pub(crate) struct Freshness {
    as_of: f64,
    questions: VecDeque<Question>,
}

impl Default for Freshness {
    fn default() -> Freshness {
        Freshness {
            as_of: f64::NEG_INFINITY,
            questions: VecDeque::new(),
        }
    }
}

impl Freshness {
    /// The view is certainly current as of this time.
    pub(crate) fn as_of(&self) -> f64 {
        self.as_of
    }

    /// A barrier that was asked at this time was answered at this revision.
    pub(crate) fn answered(&mut self, asked_at: f64, revision: i64) {
        if self.questions.len() == MAX_QUESTIONS {
            self.questions.pop_back();
        }
        self.questions.push_back(Question { asked_at, revision });
    }

    /// All changes up to this revision are applied to a view that follows the store.
    pub(crate) fn applied(&mut self, revision: i64) {
        let as_of = self
            .questions
            .iter()
            .filter(|q| q.revision <= revision)
            .map(|q| q.asked_at);
        self.as_of = as_of.fold(self.as_of, f64::max);
        self.questions
            .retain(|question| question.revision > revision);
    }

    /// Since when a question has waited for a revision beyond this one; infinite if none does.
    pub(crate) fn waiting_since(&self, received: i64) -> f64 {
        let waiting = self
            .questions
            .iter()
            .filter(|question| question.revision > received);
        waiting
            .map(|question| question.asked_at)
            .fold(f64::INFINITY, f64::min)
    }

    /// Forgets the questions that wait for a revision beyond this one.
    pub(crate) fn forget_waiting(&mut self, received: i64) {
        self.questions
            .retain(|question| question.revision <= received);
    }

    /// Forgets what was answered and not settled.
    pub(crate) fn forget_questions(&mut self) {
        self.questions.clear();
    }
}
