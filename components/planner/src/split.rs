//! The division of a pool's engines among the roles.

use garnet_types::EngineRole;

/// Number of engines of each role.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Split {
    /// Engines that only prefill.
    pub prefill: u32,
    /// Engines that only decode.
    pub decode: u32,
    /// Engines that do both.
    pub mixed: u32,
}

impl Split {
    /// Counts the engines of each role.
    pub fn of(roles: impl Iterator<Item = EngineRole>) -> Self {
        let mut split = Split::default();
        for role in roles {
            *split.count_mut(role) += 1;
        }
        split
    }

    /// Whether each phase has at least one engine.
    pub fn serves_both_phases(&self) -> bool {
        self.prefill + self.mixed > 0 && self.decode + self.mixed > 0
    }

    /// The split after one engine changes its role. Returns `None` if no engine has the role
    /// `from` or if a phase would be left without an engine.
    pub fn after(&self, from: EngineRole, to: EngineRole) -> Option<Split> {
        let mut next = *self;
        let count = next.count_mut(from);
        *count = count.checked_sub(1)?;
        *next.count_mut(to) += 1;
        next.serves_both_phases().then_some(next)
    }

    /// The split while an engine of `role` is out of service.
    pub fn without(&self, role: EngineRole) -> Split {
        let mut next = *self;
        let count = next.count_mut(role);
        *count = count.saturating_sub(1);
        next
    }

    fn count_mut(&mut self, role: EngineRole) -> &mut u32 {
        match role {
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Decode => &mut self.decode,
            EngineRole::Mixed => &mut self.mixed,
        }
    }
}
