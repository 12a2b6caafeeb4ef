//! A gateway process while its leader is of a version without reports of ended runs.

use std::time::Duration;

use garnet_control::{ControlReply, GatewayRequest};
use garnet_quarantine::RunReport;
use garnet_runtime::frames::{self, FrameReader, FrameWriter};
use garnet_types::EncodingVersion;
use garnet_wire::Frame;
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

use crate::running::Running;

/// Time without a result after which the gateway is taken to hang. The test makes no claim
/// about speed.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Accepts a connection of version 11, and closes those of other versions.
async fn accept_version_11(listener: &TcpListener) -> (FrameReader, FrameWriter) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let (mut reader, mut writer) = frames::split(stream);
        let accepted = reader.accept().await.expect("a hello");
        if accepted.version == EncodingVersion::V11 {
            writer.welcome(&accepted).await.expect("an open connection");
            return (reader, writer);
        }
    }
}

/// Keeps connections of version 11 open, as a leader of that version that is slow to answer.
async fn lead(listener: &TcpListener) {
    loop {
        let (mut reader, _writer) = accept_version_11(listener).await;
        while let Ok(Some(_)) = reader.next().await {}
    }
}

/// The first request on a connection to a replica that does not lead, if it is a report.
async fn first_report(stream: TcpStream) -> Option<RunReport> {
    let (mut reader, mut writer) = frames::split(stream);
    let accepted = reader.accept().await.ok()?;
    writer.welcome(&accepted).await.ok()?;
    let Ok(Some(Frame::Gateway(request))) = reader.next().await else {
        return None;
    };
    if let GatewayRequest::Runs(report) = request {
        return Some(report);
    }
    let (leader, last_known) = (None, None);
    let refusal = Frame::Control(ControlReply::NotLeader { leader, last_known });
    // The gateway may close the connection meanwhile.
    let _closed = writer.send(refusal).await;
    None
}

/// Runs during which an engine crashed would otherwise reach no replica.
#[test]
fn a_report_connection_is_opened_while_the_leader_is_of_version_11() {
    smol::block_on(async {
        let (leader, leader_address) = listen().await;
        let (replica, replica_address) = listen().await;
        let _gateway = Running::start_with(&[leader_address, replica_address]);
        let receiving = async {
            loop {
                let (stream, _) = replica.accept().await.expect("a connection");
                if let Some(report) = first_report(stream).await {
                    return report;
                }
            }
        };
        let leading = async {
            lead(&leader).await;
            unreachable!("it leads until the test ends");
        };
        let timeout = async {
            Timer::after(HANG_TIMEOUT).await;
            panic!("no report connection was opened");
        };
        let report = smol::future::or(receiving, smol::future::or(leading, timeout)).await;
        assert_eq!(report, RunReport::default());
    });
}
