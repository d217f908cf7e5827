use futures_channel::mpsc;
use futures_util::StreamExt;
use masticstair_core::id::HostId;
use slog::warn;
use std::rc::Rc;

use crate::Gateway;
use crate::cold_permit::take_cold_permit;
use crate::control::{ControlHost, answer_findings, answer_subscribe, order_evacuation};
use crate::gateway_evacuations::install_evacuations;
use crate::gateway_event::GatewayEvent;
use crate::install_catalog::install_catalog;
use crate::messages::{Message, Reply, decode, encode};
use crate::request_permit::take_permit;
use crate::stages::{cancel_stage, release_results, run_stage};
use crate::status::gateway_status;

/// Handles messages, catalogs and questions of other threads; each message runs in its own task.
pub(crate) async fn handle_events(
    gw: Rc<Gateway>,
    control: Option<Rc<ControlHost>>,
    mut events: mpsc::UnboundedReceiver<GatewayEvent>,
) {
    while let Some(event) = events.next().await {
        match event {
            GatewayEvent::Catalog(document) => {
                install_catalog(&gw, document.version, &document.content);
                if let Some(control) = &control {
                    control.record_catalog(gw.now(), &gw.catalog);
                    control.changed.notify();
                }
            }
            GatewayEvent::Evacuations(listing) => install_evacuations(&gw, listing),
            GatewayEvent::Evacuate { data_centre, action, after, reply } => {
                let (gw, control) = (gw.clone(), control.clone());
                monoio::spawn(async move {
                    let outcome =
                        order_evacuation(&gw, control.as_deref(), data_centre, action, after).await;
                    // The caller may have stopped waiting.
                    drop(reply.send(outcome));
                });
            }
            // The caller may have stopped waiting.
            GatewayEvent::Status(reply) => drop(reply.send(gateway_status(&gw))),
            GatewayEvent::Message { from, content, reply } => {
                let (gw, control) = (gw.clone(), control.clone());
                monoio::spawn(async move {
                    let answer = answer_message(&gw, control.as_deref(), from, &content).await;
                    match answer.and_then(|answer| encode(&answer)) {
                        // The peer may have stopped waiting.
                        Ok(answer) => drop(reply.send(answer)),
                        Err(e) => {
                            warn!(gw.log, "cannot answer peer message"; "reason" => e.as_ref())
                        }
                    }
                });
            }
        }
    }
}

async fn answer_message(
    gw: &Rc<Gateway>,
    control: Option<&ControlHost>,
    from: HostId,
    content: &[u8],
) -> Result<Reply, Box<str>> {
    Ok(match (decode(content)?, control) {
        (Message::Subscribe(request), Some(control)) => {
            let reply = answer_subscribe(gw, control, &from, request).await;
            Reply::Subscribe(Box::new(reply))
        }
        (Message::Subscribe(_), None) => Reply::Refused("this host is no control host".into()),
        (Message::Stage(_), _) if gw.is_stopping() => Reply::Refused("this host stops".into()),
        (Message::Stage(request), _) => Reply::Stage(run_stage(gw, from, *request).await),
        (Message::Cancel(cancel), _) => {
            cancel_stage(gw, from, cancel);
            Reply::Done
        }
        (Message::Release(release), _) => {
            let stages = gw.stages.service_of(&release.service);
            release_results(gw, &stages, release.results);
            Reply::Done
        }
        (Message::Ping, _) => Reply::Done,
        (Message::Findings(request), Some(_)) => {
            Reply::Findings(answer_findings(gw, request).await)
        }
        (Message::Permit(notice), _) => Reply::Permit(take_permit(gw, notice)),
        (Message::ColdPermit(request), _) => Reply::Permit(take_cold_permit(gw, request)),
        (Message::Streams(records), Some(_)) => {
            gw.streams.borrow_mut().merge(gw.now(), records);
            Reply::Done
        }
        (Message::FindStream(attempt), Some(_)) => {
            Reply::Stream(gw.streams.borrow().find(gw.now(), &attempt).cloned())
        }
        (Message::Streams(_) | Message::FindStream(_) | Message::Findings(_), None) => {
            Reply::Refused("this host is no control host".into())
        }
    })
}
