//! The same log gives the same state, also through a snapshot at any index.

use crate::fleet::{Log, assign, engine, envelope, named, observation, pool, register};
use garnet_control::{ClaimCommand, Command, CommandEnvelope, ControlState};
use garnet_types::{
    ClaimId, EngineRole, Fence, GatewayId, IdempotencyKey, MachineState, Millis, RequestId,
    TenantId,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use EngineRole::{Decode, Prefill};

fn role() -> impl Strategy<Value = EngineRole> {
    prop_oneof![
        Just(EngineRole::Prefill),
        Just(EngineRole::Decode),
        Just(EngineRole::Mixed)
    ]
}

fn claim(key: u8, request: u64) -> ClaimCommand {
    ClaimCommand {
        tenant: TenantId::new("tenant"),
        key: IdempotencyKey::new(format!("key-{key}")),
        body_hash: u64::from(key),
        claim: ClaimId {
            gateway: GatewayId::new("gateway"),
            request: RequestId(request),
        },
    }
}

fn command() -> impl Strategy<Value = Command> {
    let number = 0..4_usize;
    prop_oneof![
        number.clone().prop_map(register),
        (number.clone(), role()).prop_map(|(number, role)| Command::Observe {
            engine: engine(number),
            observation: observation(role),
        }),
        (number.clone(), role()).prop_map(|(number, role)| assign(number, role)),
        number
            .clone()
            .prop_map(|number| Command::BeginOrder(engine(number))),
        (number.clone(), role(), 1..30_u64).prop_map(|(number, role, index)| {
            Command::SettleOrder {
                engine: engine(number),
                fence: Fence {
                    term: crate::fleet::TERM,
                    index,
                },
                observation: observation(role),
            }
        }),
        number.prop_map(|number| Command::SetMachine {
            backend: engine(number),
            state: MachineState::Leaving,
        }),
        (0..3_u8, 0..3_u64).prop_map(|(key, request)| Command::Claim(claim(key, request))),
        (0..3_u8, 0..3_u64).prop_map(|(key, request)| Command::ReleaseClaim(claim(key, request))),
        "[ab]".prop_map(|name| Command::PutPolicy {
            document: format!("# {name}"),
            name,
        }),
        "[ab]".prop_map(Command::WithdrawPolicy),
    ]
}

fn any_envelope() -> impl Strategy<Value = CommandEnvelope> {
    let id = prop::option::of(0..6_u8);
    let expected = prop::option::of(0..6_u64);
    (command(), id, expected, 0..200_000_000_u64).prop_map(|(command, id, expected, at)| {
        let plain = match id {
            Some(id) => named(&format!("command-{id}"), expected, command),
            None => envelope(command),
        };
        CommandEnvelope {
            at: Millis(at),
            ..plain
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(128)
    })]

    #[test]
    fn a_snapshot_at_any_index_changes_nothing(
        envelopes in prop::collection::vec(any_envelope(), 1..40),
        cut in 0..40_usize,
    ) {
        let mut straight = Log::default();
        let mut restored = Log::default();
        for (position, envelope) in envelopes.iter().enumerate() {
            if position == cut {
                restored.state = ControlState::decode(&restored.state.encode().expect("its own format"))
                    .expect("a complete snapshot");
            }
            let answer = straight.apply_envelope(envelope);
            prop_assert_eq!(answer, restored.apply_envelope(envelope));
        }
        prop_assert_eq!(straight.state, restored.state);
    }

    #[test]
    fn a_pool_never_has_two_engines_out(
        envelopes in prop::collection::vec(any_envelope(), 1..60),
    ) {
        let mut log = pool(&[Prefill, Prefill, Decode, Decode]);
        for envelope in &envelopes {
            log.apply_envelope(envelope);
            let out = log
                .state
                .configuration
                .backends
                .values()
                .filter(|record| record.order.is_some())
                .count();
            prop_assert!(out <= 1);
        }
    }

    #[test]
    fn damaged_snapshots_are_an_error_and_never_a_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = ControlState::decode(&bytes);
    }
}
